//! The configuration that a router holds: the newest version that it has read, and the proof that
//! no newer one is in force.
//!
//! Answers of the store may be late, repeated or out of order; a version never goes back, and a
//! proof counts only for the version that it was asked for.

use {
    crate::freshness::{BootTime, Freshness},
    std::{sync::Arc, time::Duration},
};

/// One version with its proof.
#[derive(Clone, Debug)]
pub struct CachedConfig<T> {
    /// The configuration.
    pub value: Arc<T>,
    /// Revision of the store that it was read at.
    pub revision: u64,
    /// Age of the newest proof.
    pub freshness: Freshness,
}

impl<T> CachedConfig<T> {
    /// A version that was asked for at `sent`; its proof counts for `limit`.
    pub fn new(value: T, revision: u64, sent: BootTime, limit: Duration) -> Self {
        let mut freshness = Freshness::new(limit);
        freshness.confirm(sent);
        Self {
            value: Arc::new(value),
            revision,
            freshness,
        }
    }

    /// Whether a version that was read at `revision` takes the place of this one.
    pub fn is_older_than(&self, revision: u64) -> bool {
        self.revision < revision
    }

    /// The same version after an answer to a question sent at `sent`, that `revision` is still the
    /// newest; a proof now counts for `limit`. An answer about another version proves nothing.
    pub fn confirmed(&self, revision: u64, sent: BootTime, limit: Duration) -> Self {
        let mut freshness = self.freshness.with_limit(limit);
        if revision == self.revision {
            freshness.confirm(sent);
        }
        Self {
            value: Arc::clone(&self.value),
            revision: self.revision,
            freshness,
        }
    }
}
