//! Timestamps, which callers pass in as arguments.

use std::time::Duration;

/// A point on the monotonic clock of one process, in microseconds since the process started.
///
/// Timestamps of different processes must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The moment the process started.
    pub const START: Self = Self(0);

    /// Creates a timestamp from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The timestamp `delay` later, saturating at the maximum.
    pub fn plus(self, delay: Duration) -> Self {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The timestamp `age` earlier, saturating at the start of the process.
    pub fn minus(self, age: Duration) -> Self {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Converts seconds to a duration, clamped to the range from zero to one year. What is no number, as a
/// quotient of zeros, is as long as the longest.
pub fn seconds(seconds: f64) -> Duration {
    const YEAR_S: f64 = 365.0 * 86_400.0;
    match seconds.is_nan() {
        true => Duration::from_secs_f64(YEAR_S),
        false => Duration::from_secs_f64(seconds.clamp(0.0, YEAR_S)),
    }
}
