//! When something that had no effect is tried again.

use std::time::Duration;

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries allowed per first attempt, on average.
    pub ratio: f64,
    /// Retries that may be saved up.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            burst: 50.0,
        }
    }
}

/// Retry budget: a fraction of the traffic.
pub struct Budget {
    settings: Settings,
    saved: f64,
}

impl Budget {
    /// A full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            saved: settings.burst,
        }
    }

    /// Takes over other settings; what was saved is cut to the new burst.
    pub fn update_settings(&mut self, settings: Settings) {
        self.saved = self.saved.min(settings.burst);
        self.settings = settings;
    }

    /// Notes a request's first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget; `false` if there is none left.
    pub fn try_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// Delays that start around `base` and double up to `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap }
    }

    /// The delay before retry number `count` (the first is 0).
    ///
    /// The jitter takes up to half of the delay away; it is drawn from `seed` and `count`, so that
    /// callers with different seeds spread.
    pub fn delay(&self, count: u32, seed: u64) -> Duration {
        let factor = 1u32.checked_shl(count).unwrap_or(u32::MAX);
        let full = self.base.saturating_mul(factor).min(self.cap);
        let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(&count.to_le_bytes(), seed);
        let fraction = f64::from((mixed >> 32) as u32) / f64::from(u32::MAX);
        full.mul_f64(1.0 - fraction / 2.0)
    }
}
