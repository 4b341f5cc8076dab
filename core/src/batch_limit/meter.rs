//! Measurement of a backend server's speed.

use {
    crate::{cost::Rates, time::Timestamp},
    std::time::Duration,
};

/// Time constant of the average gap between tokens. It is longer than the prefill of one prompt,
/// during which the gaps are longer.
const GAP_TIME_CONSTANT_S: f64 = 0.5;

/// Size in tokens of a prefill sample that has half the weight in the average prefill rate. Until
/// as many tokens have been prefilled, smaller samples have it.
const PREFILL_WINDOW_TOKENS: f64 = 2_000.0;

/// Moving averages of the prefill rate and of the gap between tokens.
pub(super) struct Meter {
    prefill_rate: f64,
    /// Gap that is assumed before the first measurement.
    assumed_gap_s: f64,
    /// Tokens generated lately, and the time that their requests took for them; both fade. A long gap
    /// counts for as much as it lasted: an average of the gaps by time would count it by the square.
    tokens: f64,
    elapsed_s: f64,
    /// Tokens prefilled so far, at most [`PREFILL_WINDOW_TOKENS`].
    prefill_tokens: f64,
    last_token: Timestamp,
}

impl Meter {
    pub(super) fn new(rates: Rates) -> Self {
        Self {
            prefill_rate: rates.prefill,
            assumed_gap_s: 1.0 / rates.decode,
            tokens: 0.0,
            elapsed_s: 0.0,
            prefill_tokens: 0.0,
            last_token: Timestamp::START,
        }
    }

    /// The average rates. While requests decode and the last token is older than the average gap,
    /// the decode rate is derived from its age.
    pub(super) fn rates(&self, is_decoding: bool, now: Timestamp) -> Rates {
        let last_token_age_s = match is_decoding {
            true => now.since(self.last_token).as_secs_f64(),
            false => 0.0,
        };
        Rates::new(self.prefill_rate, 1.0 / self.gap_s().max(last_token_age_s))
    }

    /// Average gap between two tokens of a request.
    fn gap_s(&self) -> f64 {
        match self.tokens > 0.0 {
            true => self.elapsed_s / self.tokens,
            false => self.assumed_gap_s,
        }
    }

    /// Resets the age of the last token, after the backend server was idle.
    pub(super) fn resume(&mut self, now: Timestamp) {
        self.last_token = now;
    }

    pub(super) fn first_token(&mut self, prefill_tokens: u32, elapsed: Duration, now: Timestamp) {
        self.last_token = now;
        let tokens = f64::from(prefill_tokens.max(1));
        let weight = tokens / (tokens + self.prefill_tokens);
        self.prefill_tokens = (self.prefill_tokens + tokens).min(PREFILL_WINDOW_TOKENS);
        let sample = elapsed.as_secs_f64() / tokens;
        let time_per_token = (1.0 - weight) / self.prefill_rate + weight * sample;
        self.prefill_rate = 1.0 / time_per_token.max(1e-9);
    }

    pub(super) fn token_gap(&mut self, tokens: u32, elapsed: Duration, now: Timestamp) {
        let since_last_s = now.since(self.last_token).as_secs_f64();
        self.last_token = now;
        let remaining = (-since_last_s / GAP_TIME_CONSTANT_S).exp();
        self.tokens = self.tokens * remaining + f64::from(tokens.max(1));
        self.elapsed_s = self.elapsed_s * remaining + elapsed.as_secs_f64();
    }
}
