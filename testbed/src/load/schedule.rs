//! When requests are offered.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::time::Duration,
};

/// Offsets from the start at which requests are offered, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The offsets.
    pub offsets: Vec<Duration>,
}

impl Schedule {
    /// Poisson arrivals at `rate` requests per second for `length`, drawn from `seed`.
    pub fn poisson(rate: f64, length: Duration, seed: u64) -> Self {
        let mut generator = StdRng::seed_from_u64(seed);
        let mut offsets = Vec::new();
        let mut at = 0.0;
        loop {
            let uniform: f64 = generator.random();
            at += -(1.0 - uniform).ln() / rate;
            if at >= length.as_secs_f64() {
                return Self { offsets };
            }
            offsets.push(Duration::from_secs_f64(at));
        }
    }

    /// Evenly spaced arrivals at `rate` requests per second for `length`.
    pub fn even(rate: f64, length: Duration) -> Self {
        let count = (rate * length.as_secs_f64()) as u32;
        let offsets = (0..count)
            .map(|index| Duration::from_secs_f64(f64::from(index) / rate))
            .collect();
        Self { offsets }
    }

    /// `count` requests at once, `at` after the start.
    pub fn burst(at: Duration, count: usize) -> Self {
        Self {
            offsets: vec![at; count],
        }
    }

    /// Both schedules together.
    pub fn merged(mut self, other: Self) -> Self {
        self.offsets.extend(other.offsets);
        self.offsets.sort();
        self
    }
}
