//! Measured speed of a backend server.

use {
    crate::{cost::Rates, time::Timestamp},
    std::time::Duration,
};

/// Time over which gaps are averaged; longer than one prompt's prefill, which stretches them.
const GAP_MEMORY_S: f64 = 2.0;

/// Tokens of prefill over which half of the measured prefill rate is renewed, once as many have
/// been seen.
const PREFILL_MEMORY_TOKENS: f64 = 2_000.0;

/// Averages of prefill rate and gap between tokens.
pub(super) struct Meter {
    prefill_rate: f64,
    gap_s: f64,
    /// Tokens prefilled so far, up to the memory.
    prefill_seen: f64,
    gaps_seen: u32,
    last_token: Timestamp,
}

impl Meter {
    pub(super) fn new(rates: Rates) -> Self {
        Self {
            prefill_rate: rates.prefill,
            gap_s: 1.0 / rates.decode,
            prefill_seen: 0.0,
            gaps_seen: 0,
            last_token: Timestamp::START,
        }
    }

    /// The speed by the averages or, if tokens have stayed away for longer than the average gap,
    /// by the time since the last one.
    pub(super) fn rates(&self, is_decoding: bool, now: Timestamp) -> Rates {
        let silence_s = match is_decoding {
            true => now.since(self.last_token).as_secs_f64(),
            false => 0.0,
        };
        Rates::new(self.prefill_rate, 1.0 / self.gap_s.max(silence_s))
    }

    /// Starts to count silence anew, as the backend server was idle.
    pub(super) fn resume(&mut self, now: Timestamp) {
        self.last_token = now;
    }

    pub(super) fn first_token(&mut self, prefill_tokens: u32, elapsed: Duration, now: Timestamp) {
        self.last_token = now;
        let tokens = f64::from(prefill_tokens.max(1));
        let weight = tokens / (tokens + self.prefill_seen);
        self.prefill_seen = (self.prefill_seen + tokens).min(PREFILL_MEMORY_TOKENS);
        let sample = elapsed.as_secs_f64() / tokens;
        let time_per_token = (1.0 - weight) / self.prefill_rate + weight * sample;
        self.prefill_rate = 1.0 / time_per_token.max(1e-9);
    }

    pub(super) fn token_gap(&mut self, tokens: u32, elapsed: Duration, now: Timestamp) {
        let since_last_s = now.since(self.last_token).as_secs_f64();
        self.last_token = now;
        let sample = elapsed.as_secs_f64() / f64::from(tokens.max(1));
        self.gaps_seen = self.gaps_seen.saturating_add(1);
        // What was assumed before counts for nothing, and the first gaps count alike.
        let weight = 1.0 - (-since_last_s / GAP_MEMORY_S).exp();
        let weight = weight.max(1.0 / f64::from(self.gaps_seen));
        self.gap_s += (sample - self.gap_s) * weight;
    }
}
