//! Speed of a backend server, measured from its responses.

use std::time::Duration;

/// Weight of the newest sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a peer's averages each time the peer reports them.
const PEER_WEIGHT: f64 = 0.05;

/// Time per output token before the first measurement, in milliseconds: that of a typical engine.
const INITIAL_DECODE_MS: f64 = 5.0;

/// Time per prompt token before the first measurement, in milliseconds: that of a typical engine.
const INITIAL_PREFILL_MS: f64 = 0.015;

/// Time for which a request occupies its slot before the first measurement, in milliseconds.
const INITIAL_OCCUPANCY_MS: f64 = 300.0;

/// Time to the first event, without the prefill, before the first measurement, in milliseconds:
/// that of a typical engine.
const INITIAL_OVERHEAD_MS: f64 = 50.0;

/// Minimum number of prefilled tokens from which the prefill speed is measured. With fewer tokens,
/// the time to the first event is mostly overhead and updates the overhead instead.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 2_000;

/// Minimum number of output tokens from which the decode speed is measured.
const MIN_DECODE_SAMPLE_TOKENS: u32 = 8;

/// Moving averages of the times that a backend server needs for its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time per output token, in milliseconds; `None` before the first measurement.
    pub decode_ms: Option<f64>,
    /// Time per prompt token, in milliseconds; `None` before the first measurement.
    pub prefill_ms: Option<f64>,
    /// Time to the first event without the prefill, in milliseconds; `None` before the first
    /// measurement.
    pub overhead_ms: Option<f64>,
    /// Time for which a request occupies its slot, in milliseconds; `None` before the first
    /// measurement.
    pub occupancy_ms: Option<f64>,
}

impl Default for Speed {
    fn default() -> Self {
        Self::new()
    }
}

impl Speed {
    /// Creates averages without measurements.
    pub const fn new() -> Self {
        Self {
            decode_ms: None,
            prefill_ms: None,
            overhead_ms: None,
            occupancy_ms: None,
        }
    }

    /// Predicted time from getting a slot to the first event if `tokens` prompt tokens are
    /// prefilled first.
    pub fn first_token(&self, tokens: u32) -> Duration {
        millis(self.overhead() + self.prefill(tokens))
    }

    /// Predicted time to prefill `tokens` prompt tokens.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        millis(self.prefill(tokens))
    }

    fn overhead(&self) -> f64 {
        self.overhead_ms.unwrap_or(INITIAL_OVERHEAD_MS)
    }

    fn prefill(&self, tokens: u32) -> f64 {
        self.prefill_ms.unwrap_or(INITIAL_PREFILL_MS) * f64::from(tokens)
    }

    /// Predicted time to generate `tokens` output tokens.
    pub fn decode(&self, tokens: u32) -> Duration {
        let per_token = self.decode_ms.unwrap_or(INITIAL_DECODE_MS);
        millis(per_token * f64::from(tokens))
    }

    /// Average time for which a request occupies its slot.
    pub fn occupancy(&self) -> Duration {
        millis(self.occupancy_ms.unwrap_or(INITIAL_OCCUPANCY_MS))
    }

    /// Updates the averages with the time to the first event of a request that got a slot at once.
    /// `tokens` prompt tokens were prefilled in that time, including those of the request itself.
    pub fn observe_first_token(&mut self, tokens: u32, elapsed: Duration) {
        let elapsed = to_millis(elapsed);
        if tokens >= MIN_PREFILL_SAMPLE_TOKENS {
            let sample = (elapsed - self.overhead()).max(0.0) / f64::from(tokens);
            update_average(&mut self.prefill_ms, sample, SAMPLE_WEIGHT);
        } else {
            let sample = (elapsed - self.prefill(tokens)).max(0.0);
            update_average(&mut self.overhead_ms, sample, SAMPLE_WEIGHT);
        }
    }

    /// Updates the average with the time in which `tokens` output tokens were generated.
    pub fn observe_decode(&mut self, tokens: u32, elapsed: Duration) {
        if tokens >= MIN_DECODE_SAMPLE_TOKENS {
            let sample = to_millis(elapsed) / f64::from(tokens);
            update_average(&mut self.decode_ms, sample, SAMPLE_WEIGHT);
        }
    }

    /// Updates the average with the time for which a request occupied its slot.
    pub fn observe_occupancy(&mut self, elapsed: Duration) {
        update_average(&mut self.occupancy_ms, to_millis(elapsed), SAMPLE_WEIGHT);
    }

    /// Merges the averages of a peer.
    pub fn merge(&mut self, other: &Self) {
        let pairs = [
            (&mut self.decode_ms, other.decode_ms),
            (&mut self.prefill_ms, other.prefill_ms),
            (&mut self.overhead_ms, other.overhead_ms),
            (&mut self.occupancy_ms, other.occupancy_ms),
        ];
        for (average, reported) in pairs {
            if let Some(reported) = reported {
                update_average(average, reported, PEER_WEIGHT);
            }
        }
    }
}

fn update_average(average: &mut Option<f64>, sample: f64, weight: f64) {
    if !sample.is_finite() || sample < 0.0 {
        return;
    }
    *average = Some(average.map_or(sample, |old| old + (sample - old) * weight));
}

fn to_millis(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * 1_000.0
}

fn millis(millis: f64) -> Duration {
    crate::time::seconds(millis / 1_000.0)
}
