//! Proof that a configuration is still the newest one.
//!
//! A linearizable answer that shows the configuration unchanged proves it for the moment at which
//! the question was *sent*. Times are of a clock that goes on while the machine is suspended, or
//! else a machine that wakes up would believe its old proof.

use std::time::Duration;

/// A point on the clock that counts suspension, in milliseconds since the machine booted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub u64);

impl BootTime {
    /// The time from `earlier` to this point, zero if `earlier` is not earlier.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Age of the newest proof, against the longest that is allowed.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    limit: Duration,
    proved: Option<BootTime>,
}

impl Freshness {
    /// No proof yet; one counts for `limit`.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            proved: None,
        }
    }

    /// Changes how long a proof counts.
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Takes in a proof that was asked for at `sent`; an older one than known changes nothing.
    pub fn confirm(&mut self, sent: BootTime) {
        self.proved = self.proved.max(Some(sent));
    }

    /// Age of the newest proof, if there is one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proved.map(|proved| now.since(proved))
    }

    /// Whether the configuration may decide about API keys now.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.limit)
    }
}
