//! Time as an argument.

use std::time::Duration;

/// A point on one process's monotonic clock, in microseconds since that process started.
///
/// Timestamps of different processes are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The moment the process started.
    pub const START: Self = Self(0);

    /// Builds a timestamp from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a timestamp from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The timestamp `delay` later, saturating at the end of the clock.
    pub fn plus(self, delay: Duration) -> Self {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The timestamp `age` earlier, the start of the process at the earliest.
    pub fn minus(self, age: Duration) -> Self {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// The time from `earlier` to this timestamp, zero if `earlier` is not earlier.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// The duration of so many seconds; nothing below zero, at most a year.
pub fn seconds(seconds: f64) -> Duration {
    const YEAR_S: f64 = 365.0 * 86_400.0;
    Duration::from_secs_f64(seconds.clamp(0.0, YEAR_S))
}
