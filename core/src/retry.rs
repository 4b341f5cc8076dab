//! Retry budget, and backoff between the retries of calls that had no effect.

use std::time::Duration;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries allowed per first attempt, on average.
    pub ratio: f64,
    /// Maximum number of retries that can accumulate. Less than one if many routers share a budget.
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

/// Retry budget, which limits retries to a fraction of the first attempts.
pub struct Budget {
    settings: Settings,
    available: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            available: settings.burst,
        }
    }

    /// Updates the settings. The available retries are capped to the new burst.
    pub fn update_settings(&mut self, settings: Settings) {
        self.available = self.available.min(settings.burst);
        self.settings = settings;
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry out of the budget. Returns `false` if none is available.
    pub fn try_retry(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Returns a retry that was taken and not used.
    pub fn return_retry(&mut self) {
        self.available = (self.available + 1.0).min(self.settings.burst);
    }

    /// Takes what is left of a budget whose burst is less than one, and returns whether that was one
    /// retry: with the probability of the fraction, so that all routers together have as many as their
    /// fractions add up to. `random` is from 0 up to but not including 1.
    pub fn try_fraction(&mut self, random: f64) -> bool {
        if self.settings.burst >= 1.0 {
            return false;
        }
        random < std::mem::take(&mut self.available)
    }
}

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// Creates a backoff whose delays start at about `base` and double up to `cap`.
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap }
    }

    /// The delay before retry number `count`, starting at 0.
    ///
    /// Jitter reduces the delay by up to half. It is derived from `seed` and `count`, so that
    /// callers with different seeds do not retry at the same time.
    pub fn delay(&self, count: u32, seed: u64) -> Duration {
        let factor = 1u32.checked_shl(count).unwrap_or(u32::MAX);
        let full = self.base.saturating_mul(factor).min(self.cap);
        let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(&count.to_le_bytes(), seed);
        let fraction = f64::from((mixed >> 32) as u32) / f64::from(u32::MAX);
        full.mul_f64(1.0 - fraction / 2.0)
    }
}
