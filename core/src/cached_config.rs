//! The configuration cached by a router: the newest version that it has read, and its freshness.
//!
//! Responses of the store may be late, duplicated or out of order. The version never decreases, and
//! a confirmation is valid only for the version that it was requested for.

use {
    crate::freshness::{BootTime, Freshness},
    std::{sync::Arc, time::Duration},
};

/// One version of the configuration with its freshness.
#[derive(Clone, Debug)]
pub struct CachedConfig<T> {
    /// Configuration.
    pub value: Arc<T>,
    /// Revision of the store at which it was read.
    pub revision: u64,
    /// Freshness of this version.
    pub freshness: Freshness,
}

impl<T> CachedConfig<T> {
    /// A version read by a request that was sent at `sent`; confirmations are valid for `max_age`.
    pub fn new(value: T, revision: u64, sent: BootTime, max_age: Duration) -> Self {
        let mut freshness = Freshness::new(max_age);
        freshness.confirm(sent);
        Self {
            value: Arc::new(value),
            revision,
            freshness,
        }
    }

    /// Whether a version that was read at `revision` replaces this one.
    pub fn is_older_than(&self, revision: u64) -> bool {
        self.revision < revision
    }

    /// The same version, after a request sent at `sent` has confirmed that `revision` is the
    /// newest. Confirmations are now valid for `max_age`. One of another revision does not count.
    pub fn confirmed(&self, revision: u64, sent: BootTime, max_age: Duration) -> Self {
        let mut freshness = self.freshness.with_max_age(max_age);
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
