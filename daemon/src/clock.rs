//! The process's monotonic clock and the machine's boot-time clock.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Instant,
    tamarackdale_core::{freshness::BootTime, time::Timestamp},
};

/// Reads `CLOCK_BOOTTIME`, which also advances while the machine is suspended.
pub fn boottime_now() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    BootTime(seconds * 1_000 + nanos / 1_000_000)
}

/// Monotonic clock that starts at zero when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the clock was started.
    pub fn now(self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
