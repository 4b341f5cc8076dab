//! Freshness of a cached configuration.
//!
//! A linearizable read that finds the configuration unchanged confirms it as of the time at which
//! the read was *sent*. Times are of a clock that also runs while the machine is suspended, since
//! otherwise a machine that resumes would still consider its old configuration fresh.

use std::time::Duration;

/// A point on a clock that includes suspension, in milliseconds since the machine booted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub u64);

impl BootTime {
    /// The time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Time of the latest confirmation, with the age up to which it is valid.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Duration,
    confirmed: Option<BootTime>,
}

impl Freshness {
    /// No confirmation yet; each is valid for `max_age`.
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            confirmed: None,
        }
    }

    /// Changes how long a confirmation is valid.
    pub fn with_max_age(mut self, max_age: Duration) -> Self {
        self.max_age = max_age;
        self
    }

    /// Records a confirmation by a read that was sent at `sent`. An older one than the latest has
    /// no effect.
    pub fn confirm(&mut self, sent: BootTime) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Age of the latest confirmation, if any.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether the configuration is fresh enough to authenticate API keys.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }
}
