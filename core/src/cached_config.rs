//! The configuration cached by a router: the newest version that it has read, and its freshness.
//!
//! Responses of the store may be late, duplicated or out of order, and the store may be restored
//! from an older copy. The version never decreases, and a confirmation is valid only for the
//! revision that it was requested for.

use {
    crate::{
        freshness::{BootTime, Freshness},
        revision::Revision,
    },
    std::{sync::Arc, time::Duration},
};

/// One version of the configuration with its freshness.
#[derive(Debug)]
pub struct CachedConfig<T> {
    /// Configuration.
    pub value: Arc<T>,
    /// Version that the operator gave it.
    pub version: u64,
    /// Revision of the store's entry that was last read. After a restoration of the store, it may
    /// be that of an older version.
    pub revision: Revision,
    /// Freshness of this version.
    pub freshness: Freshness,
    /// Set once the store is known to have a newer entry, until that has been read: the age of the
    /// last confirmation up to which this version may still be used.
    pub max_superseded_age: Option<Duration>,
}

impl<T> Clone for CachedConfig<T> {
    fn clone(&self) -> Self {
        Self {
            value: Arc::clone(&self.value),
            ..*self
        }
    }
}

/// A read of the configuration's entry from the store.
#[derive(Clone, Copy, Debug)]
pub struct Reading<T> {
    /// Configuration.
    pub value: T,
    /// Version that the operator gave it.
    pub version: u64,
    /// Revision of the entry.
    pub revision: Revision,
    /// When the read was sent.
    pub sent: BootTime,
    /// Whether the store had everything that was acknowledged before the read, see
    /// [`EraObserver::is_settled`](crate::revision::EraObserver::is_settled).
    pub is_settled: bool,
}

/// What a read means for the cached configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The configuration that was read is in force.
    Applied,
    /// The cached one stays in force: the store shows the same or an older version after a
    /// restoration.
    Kept,
    /// The response is older than the cached configuration and means nothing.
    Outdated,
}

impl<T> CachedConfig<T> {
    /// The first configuration that a process reads; confirmations are valid for `max_age`. The read proves
    /// that it is the newest one only if the store had settled.
    pub fn new(reading: Reading<T>, max_age: Duration) -> Self {
        let mut freshness = Freshness::new(max_age);
        if reading.is_settled {
            freshness.confirm(reading.sent);
        }
        Self {
            value: Arc::new(reading.value),
            version: reading.version,
            revision: reading.revision,
            freshness,
            max_superseded_age: None,
        }
    }

    /// Whether new requests may be handled by this version. One that is merely unconfirmed, as during
    /// an outage of the store, may still be the newest; only API keys require more, see
    /// [`Freshness::is_fresh`].
    pub fn is_usable(&self, now: BootTime) -> bool {
        let Some(max_age) = self.max_superseded_age else {
            return true;
        };
        self.freshness.age(now).is_some_and(|age| age < max_age)
    }

    /// The same version, once the store is known to have a newer entry. It has been the newest up to
    /// its last confirmation, so the time in which a change must take effect, `convergence`, counts
    /// from there.
    pub fn superseded(&self, convergence: Duration) -> Self {
        Self {
            max_superseded_age: Some(convergence),
            ..self.clone()
        }
    }

    /// The same version, after the newer entry turned out to be unusable.
    pub fn retained(&self) -> Self {
        Self {
            max_superseded_age: None,
            ..self.clone()
        }
    }

    /// The configuration after a read of the entry, and what the read meant.
    pub fn updated(&self, reading: Reading<T>, max_age: Duration) -> (Self, Outcome) {
        if reading.revision <= self.revision {
            return (self.clone(), Outcome::Outdated);
        }
        let mut freshness = self.freshness.with_max_age(max_age);
        // Once the store has settled, its entry is at least as new as all that was acknowledged. A
        // cached version that is newer still is then confirmed by an older entry too.
        if reading.is_settled {
            freshness.confirm(reading.sent);
        }
        let is_same_era = reading.revision.era == self.revision.era;
        let is_newer = match is_same_era {
            true => reading.version >= self.version,
            false => reading.version > self.version,
        };
        let (value, version, outcome) = match is_newer {
            true => (Arc::new(reading.value), reading.version, Outcome::Applied),
            false => (Arc::clone(&self.value), self.version, Outcome::Kept),
        };
        let updated = Self {
            value,
            version,
            revision: reading.revision,
            freshness,
            max_superseded_age: None,
        };
        (updated, outcome)
    }

    /// The same version, after a request sent at `sent` has shown that the entry is unchanged since
    /// `revision`. Confirmations are now valid for `max_age`. One of another revision does not
    /// count.
    pub fn confirmed(&self, revision: Revision, sent: BootTime, max_age: Duration) -> Self {
        let mut confirmed = self.clone();
        confirmed.freshness = self.freshness.with_max_age(max_age);
        if revision == self.revision {
            confirmed.freshness.confirm(sent);
            confirmed.max_superseded_age = None;
        }
        confirmed
    }
}
