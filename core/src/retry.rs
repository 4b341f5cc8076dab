//! When a request that was not run is offered again.

use {rand::Rng, std::time::Duration};

/// Bounds of retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries allowed per first attempt, on average.
    pub ratio: f64,
    /// Retries that may be saved up.
    pub burst: f64,
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of any delay.
    pub max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            burst: 50.0,
            base: Duration::from_millis(5),
            max: Duration::from_millis(500),
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

    /// Notes a request's first attempt.
    pub fn first_attempt(&mut self) {
        self.saved = (self.saved + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget; `false` if there is none left.
    pub fn retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Delay before the retry number `retry` (0 the first): random, up to a bound that doubles
    /// each time.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(retry);
        let bound = self
            .settings
            .base
            .saturating_mul(factor)
            .min(self.settings.max);
        bound.mul_f64(rng.random::<f64>())
    }
}
