//! The process's monotonic clock.

use {std::time::Instant, tamarackdale_core::time::Timestamp};

/// Clock that starts when the process does.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present time.
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
