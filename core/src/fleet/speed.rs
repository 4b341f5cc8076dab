//! Speed of a backend server, learnt from its answers.

use std::time::Duration;

/// Weight of the newest sample in an average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of what a peer has learnt, each time it tells.
const PEER_WEIGHT: f64 = 0.05;

/// Time for a token of output before anything is known, in milliseconds; a usual engine's.
const INITIAL_DECODE_MS: f64 = 5.0;

/// Time for a token of prompt before anything is known, in milliseconds; a usual engine's.
const INITIAL_PREFILL_MS: f64 = 0.015;

/// Time that a request occupies its slot before anything is known, in milliseconds.
const INITIAL_STAY_MS: f64 = 300.0;

/// Time to a first event beside the reading of prompts before anything is known, in milliseconds;
/// a usual engine's.
const INITIAL_OVERHEAD_MS: f64 = 50.0;

/// Fewest prompt tokens ahead of a first event that tell of the speed of reading prompts; with
/// fewer, the time is mostly overhead and tells of that.
const MIN_PREFILL_SAMPLE: u32 = 2_000;

/// Fewest tokens from which the speed of decoding is learnt.
const MIN_DECODE_SAMPLE: u32 = 8;

/// Moving averages of what a backend server takes for its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time for a token of output, in milliseconds; none while nothing is known.
    pub decode_ms: Option<f64>,
    /// Time for a token of prompt, in milliseconds; none while nothing is known.
    pub prefill_ms: Option<f64>,
    /// Time to a first event beside the reading of prompts, in milliseconds; none while nothing is
    /// known.
    pub overhead_ms: Option<f64>,
    /// Time that a request occupies its slot, in milliseconds; none while nothing is known.
    pub occupancy_ms: Option<f64>,
}

impl Default for Speed {
    fn default() -> Self {
        Self::new()
    }
}

impl Speed {
    /// Nothing is known.
    pub const fn new() -> Self {
        Self {
            decode_ms: None,
            prefill_ms: None,
            overhead_ms: None,
            occupancy_ms: None,
        }
    }

    /// Time from a slot to the first event, while so many prompt tokens must be read.
    pub fn first_token(&self, tokens: u32) -> Duration {
        millis(self.overhead() + self.prefill(tokens))
    }

    fn overhead(&self) -> f64 {
        self.overhead_ms.unwrap_or(INITIAL_OVERHEAD_MS)
    }

    fn prefill(&self, tokens: u32) -> f64 {
        self.prefill_ms.unwrap_or(INITIAL_PREFILL_MS) * f64::from(tokens)
    }

    /// Time to write so many output tokens.
    pub fn decode(&self, tokens: u32) -> Duration {
        let per_token = self.decode_ms.unwrap_or(INITIAL_DECODE_MS);
        millis(per_token * f64::from(tokens))
    }

    /// Time that a request occupies its slot on average.
    pub fn occupancy(&self) -> Duration {
        millis(self.occupancy_ms.unwrap_or(INITIAL_STAY_MS))
    }

    /// Learns from the time to the first event of a request that got a slot at once, while so many
    /// prompt tokens had to be read, its own among them.
    pub fn observe_first_token(&mut self, tokens: u32, elapsed: Duration) {
        let elapsed = to_millis(elapsed);
        if tokens >= MIN_PREFILL_SAMPLE {
            let sample = (elapsed - self.overhead()).max(0.0) / f64::from(tokens);
            average(&mut self.prefill_ms, sample, SAMPLE_WEIGHT);
        } else {
            let sample = (elapsed - self.prefill(tokens)).max(0.0);
            average(&mut self.overhead_ms, sample, SAMPLE_WEIGHT);
        }
    }

    /// Learns from the time that `tokens` of output took.
    pub fn observe_decode(&mut self, tokens: u32, elapsed: Duration) {
        if tokens >= MIN_DECODE_SAMPLE {
            let sample = to_millis(elapsed) / f64::from(tokens);
            average(&mut self.decode_ms, sample, SAMPLE_WEIGHT);
        }
    }

    /// Learns from the time that a request occupied its slot.
    pub fn observe_occupancy(&mut self, elapsed: Duration) {
        average(&mut self.occupancy_ms, to_millis(elapsed), SAMPLE_WEIGHT);
    }

    /// Takes in what a peer has learnt.
    pub fn merge(&mut self, other: &Self) {
        let pairs = [
            (&mut self.decode_ms, other.decode_ms),
            (&mut self.prefill_ms, other.prefill_ms),
            (&mut self.overhead_ms, other.overhead_ms),
            (&mut self.occupancy_ms, other.occupancy_ms),
        ];
        for (known, told) in pairs {
            if let Some(told) = told {
                average(known, told, PEER_WEIGHT);
            }
        }
    }
}

fn average(known: &mut Option<f64>, sample: f64, weight: f64) {
    if !sample.is_finite() || sample < 0.0 {
        return;
    }
    *known = Some(known.map_or(sample, |known| known + (sample - known) * weight));
}

fn to_millis(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * 1_000.0
}

fn millis(millis: f64) -> Duration {
    crate::time::seconds(millis / 1_000.0)
}
