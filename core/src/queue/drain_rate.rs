//! Rate at which a queue is drained.

use {
    crate::time::{self, Timestamp},
    std::time::Duration,
};

/// Time constant of the moving average.
const WINDOW_S: f64 = 5.0;

/// Rate assumed before the first measurement, in tokens per second.
const INITIAL_RATE: f64 = 1_000.0;

const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Exponentially weighted moving average of the tokens per second of the started entries. Time
/// during which the queue is empty does not count.
#[derive(Default)]
pub(super) struct DrainRate {
    rate: Option<f64>,
    last: Option<Timestamp>,
    tokens: u64,
}

impl DrainRate {
    /// Starts the next sample when an entry is added to an empty queue.
    pub(super) fn resume(&mut self, now: Timestamp) {
        self.last = Some(now);
        self.tokens = 0;
    }

    pub(super) fn record(&mut self, now: Timestamp, tokens: u64) {
        self.tokens += tokens;
        let last = *self.last.get_or_insert(now);
        let elapsed = now.since(last).as_secs_f64();
        if elapsed < 0.05 {
            return;
        }
        let sample = self.tokens as f64 / elapsed;
        let weight = 1.0 - (-elapsed / WINDOW_S).exp();
        let rate = self.rate.unwrap_or(sample);
        self.rate = Some(rate + (sample - rate) * weight);
        self.last = Some(now);
        self.tokens = 0;
    }

    pub(super) fn time_for(&self, tokens: u64) -> Duration {
        let rate = self.rate.unwrap_or(INITIAL_RATE).max(1.0);
        time::seconds(tokens as f64 / rate).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
