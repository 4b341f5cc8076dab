//! Estimated cost of a request, and the rates at which a backend server processes it.

use {
    crate::{digest::Digest, time},
    std::time::Duration,
};

/// Average length of a text token, in bytes.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one block of a prompt. Prefixes are hashed at block boundaries.
pub const BLOCK_TOKENS: u32 = 64;

/// Maximum number of prefixes hashed per prompt.
pub const MAX_PREFIXES: usize = 128;

const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// Estimated cost of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Tokens to prefill, including cached ones.
    pub prefill_tokens: u32,
    /// Tokens to generate.
    pub decode_tokens: u32,
    /// xxh3 checksums of the prompt's prefixes, one per complete block, shortest first.
    pub prefixes: Vec<u64>,
}

impl Cost {
    /// Estimates the cost of a prompt whose response has at most `max_output_tokens` tokens.
    pub fn estimate(prompt: &str, max_output_tokens: u32) -> Self {
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
        Self {
            prefill_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            decode_tokens: max_output_tokens,
            prefixes: prefixes(prompt.as_bytes()),
        }
    }

    /// Total number of tokens to prefill and to generate.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prefill_tokens) + u64::from(self.decode_tokens)
    }

    /// Tokens to prefill if the first `blocks` blocks of the prompt are cached.
    pub fn uncached_tokens(&self, blocks: u32) -> u32 {
        self.prefill_tokens
            .saturating_sub(blocks.saturating_mul(BLOCK_TOKENS))
    }
}

/// Checksums of the prompt up to the end of each complete block.
fn prefixes(prompt: &[u8]) -> Vec<u64> {
    let mut digest = Digest::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIXES)
        .map(|block| {
            digest.update(block);
            digest.checksum()
        })
        .collect()
}

/// Fraction of a predicted time that a request takes at least. Predictions use the speed of a
/// loaded backend server, which becomes faster if its load decreases in the meantime.
const MIN_TIME_FRACTION: f64 = 0.7;

/// Lower bound of a predicted time. A request is dropped only if the time until its deadline is
/// shorter than this.
pub fn min_time(predicted: Duration) -> Duration {
    predicted.mul_f64(MIN_TIME_FRACTION)
}

/// Measured speed of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Tokens prefilled per second.
    pub prefill: f64,
    /// Tokens generated per second for one running request.
    pub decode: f64,
}

impl Rates {
    /// Creates rates from tokens per second, clamped to at least a thousandth of a token per
    /// second.
    pub fn new(prefill: f64, decode: f64) -> Self {
        const SLOWEST: f64 = 1e-3;
        Self {
            prefill: prefill.max(SLOWEST),
            decode: decode.max(SLOWEST),
        }
    }

    /// The maximum of each rate.
    pub fn max(self, other: Self) -> Self {
        Self {
            prefill: self.prefill.max(other.prefill),
            decode: self.decode.max(other.decode),
        }
    }

    /// Time from dispatch until the given tokens are prefilled and generated.
    pub fn service_time(&self, prefill_tokens: u32, decode_tokens: u32) -> Duration {
        let prefill = f64::from(prefill_tokens) / self.prefill;
        let decode = f64::from(decode_tokens) / self.decode;
        time::seconds(prefill + decode)
    }
}
