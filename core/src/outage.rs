//! Outages of the platform's store, as the results of calls show them.
//!
//! In an outage, registrations of running servers lapse. Soon after it, a missing registration therefore
//! does not tell that its server is gone.

use {
    crate::time::Timestamp,
    std::{collections::HashMap, hash::Hash, time::Duration},
};

/// Results of the calls to the store, successful and failed.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Time after an outage within which running servers have registered again.
    recovery_time: Duration,
    /// Time of the last failure, or of the first success after it.
    recovering_since: Option<Timestamp>,
    /// Time of the last call, if it succeeded.
    success_at: Option<Timestamp>,
    available: Duration,
}

/// Time for which a missing registration does not tell that its owner is gone.
///
/// Each failure begins the recovery time anew. A store that fails now and then would excuse a missing
/// registration without end, so only the time between two successful calls without a failure counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// Time for which the store has been available so far.
    pub available: Duration,
    /// Time for which the store has to be available for a running process to register again.
    pub limit: Duration,
}

/// Registrations that are missing, with the time for which the store had been available when that was found.
#[derive(Clone, Debug)]
pub struct Missing<K> {
    since: HashMap<K, Duration>,
}

impl<K: Eq + Hash> Default for Missing<K> {
    fn default() -> Self {
        Self {
            since: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> Missing<K> {
    /// Records that a registration is missing. Returns whether there is grace left for it.
    pub fn is_excused(&mut self, key: K, grace: Grace) -> bool {
        let since = self.since.entry(key).or_insert(grace.available);
        grace.available.saturating_sub(*since) < grace.limit
    }

    /// Forgets a registration, which is there again or is gone.
    pub fn remove<Q>(&mut self, key: &Q)
    where
        K: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.since.remove(key);
    }

    /// Forgets the registrations that are not `kept`.
    pub fn retain(&mut self, kept: impl Fn(&K) -> bool) {
        self.since.retain(|key, _| kept(key));
    }

    /// The missing registrations.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.since.keys()
    }

    /// Whether one has used up its grace.
    pub fn has_overdue(&self, grace: Grace) -> bool {
        let is_overdue = |since: &Duration| grace.available.saturating_sub(*since) >= grace.limit;
        self.since.values().any(is_overdue)
    }
}

impl Outage {
    /// Creates the record of a store that has not been called. Running servers register again within
    /// `recovery_time` after an outage.
    pub fn new(recovery_time: Duration) -> Self {
        Self {
            recovery_time,
            recovering_since: None,
            success_at: None,
            available: Duration::ZERO,
        }
    }

    /// Records that a call failed. Returns whether the store was available until then.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        self.success_at = None;
        self.recovering_since.replace(now).is_none()
    }

    /// Records that the store was restored from an older copy, which may lack registrations.
    pub fn record_restoration(&mut self, now: Timestamp) {
        self.recovering_since = Some(now);
    }

    /// Records that a call succeeded. Returns whether an outage is over with that: twice the recovery time
    /// has passed.
    pub fn record_success(&mut self, now: Timestamp) -> bool {
        match self.success_at.replace(now) {
            Some(previous) => self.available += now.since(previous),
            // The last failure may have been some time before the store's return.
            None => self.recovering_since = self.recovering_since.map(|_| now),
        }
        let is_over = |since| now.since(since) > self.recovery_time * 2;
        let over = self.recovering_since.take_if(|since| is_over(*since));
        over.is_some()
    }

    /// Whether there has been an outage that is not over.
    pub fn is_recent(&self) -> bool {
        self.recovering_since.is_some()
    }

    /// Time left, after an outage, in which running servers may register again. `None` if there is none.
    pub fn recovery_time_left(&self, now: Timestamp) -> Option<Duration> {
        let elapsed = now.since(self.recovering_since?);
        let left = self.recovery_time.saturating_sub(elapsed);
        (!left.is_zero()).then_some(left)
    }

    /// The grace of a registration that is missing now. `None` if its owner is gone.
    pub fn grace(&self, now: Timestamp) -> Option<Grace> {
        self.recovery_time_left(now)?;
        Some(self.grace_of(self.recovery_time))
    }

    /// Grace of those who need another time to register again.
    pub fn grace_of(&self, limit: Duration) -> Grace {
        Grace {
            available: self.available,
            limit,
        }
    }
}
