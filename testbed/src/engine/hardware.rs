//! Speed and memory of an engine.

use std::time::Duration;

/// What an engine runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hardware {
    /// Time of one step of the batch without any request in it.
    pub step_base: Duration,
    /// Time that each decoding request adds to a step.
    pub step_per_request: Duration,
    /// Prefill rate, tokens per second.
    pub prefill_rate: f64,
    /// Most tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Most requests in the batch at once.
    pub max_batch: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
}

impl Hardware {
    /// The older generation: 50 tokens per second for a lone request.
    pub const fn older() -> Self {
        Self {
            step_base: Duration::from_micros(19_500),
            step_per_request: Duration::from_micros(500),
            prefill_rate: 4_000.0,
            prefill_chunk: 256,
            max_batch: 32,
            cache_blocks: 1_024,
        }
    }

    /// The newer generation: 120 tokens per second for a lone request.
    pub const fn newer() -> Self {
        Self {
            step_base: Duration::from_micros(8_100),
            step_per_request: Duration::from_micros(230),
            prefill_rate: 12_000.0,
            prefill_chunk: 512,
            max_batch: 64,
            cache_blocks: 4_096,
        }
    }

    /// Makes every rate `factor` times as fast, for quick tests.
    pub fn with_speedup(mut self, factor: f64) -> Self {
        self.step_base = self.step_base.div_f64(factor);
        self.step_per_request = self.step_per_request.div_f64(factor);
        self.prefill_rate *= factor;
        self
    }

    /// Sets the most requests in the batch at once.
    pub fn with_max_batch(mut self, requests: usize) -> Self {
        self.max_batch = requests;
        self
    }

    /// Sets the size of the prefix cache.
    pub fn with_cache_blocks(mut self, blocks: usize) -> Self {
        self.cache_blocks = blocks;
        self
    }

    /// Time of one step that decodes `requests` tokens and prefills `prefill_tokens`.
    pub fn step_time(&self, requests: usize, prefill_tokens: u32) -> Duration {
        let decode = self.step_per_request.mul_f64(requests as f64);
        let prefill = Duration::from_secs_f64(f64::from(prefill_tokens) / self.prefill_rate);
        self.step_base + decode + prefill
    }
}
