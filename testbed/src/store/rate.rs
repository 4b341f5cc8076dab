//! Caps on calls a second.

use std::time::Instant;

/// Token bucket that holds one second's worth of calls.
pub(super) struct Bucket {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl Bucket {
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second: per_second.into(),
            tokens: per_second.into(),
            refilled: Instant::now(),
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.refilled = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
