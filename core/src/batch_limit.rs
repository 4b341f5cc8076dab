//! How many requests may run at once on a backend server, and how fast it works them off.
//!
//! Both are learnt from the time to the first token and the time between tokens. An engine's
//! throughput grows with its batch, but ever less, while each request gets slower. The limit
//! alternates around its present value and compares the throughput of both sides; it moves until
//! a larger batch is no longer worth it. What it compares is a ratio of two moments close to each
//! other, so that an engine that is slower as a whole keeps its limit, and only its rates change.

mod meter;
mod probe;

use {
    crate::{cost::Rates, tier::Rank, time::Timestamp},
    meter::Meter,
    probe::Probe,
    std::time::Duration,
};

/// Bounds of the limit, and what is assumed before anything was measured.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Limit to start with.
    pub initial: u32,
    /// Smallest limit.
    pub min: u32,
    /// Largest limit.
    pub max: u32,
    /// Relative gain in throughput for which a relative gain in batch size is worth it.
    pub min_relative_gain: f64,
    /// Rates assumed before anything was measured. High ones let every backend server be tried;
    /// low ones would leave it idle for good beside a slow one that was measured first.
    pub rates: Rates,
    /// Whether the limit adapts; if not, it stays at `initial`.
    pub is_adaptive: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial: 16,
            min: 2,
            max: 256,
            min_relative_gain: 0.3,
            rates: Rates::new(20_000.0, 200.0),
            is_adaptive: true,
        }
    }
}

impl Settings {
    /// A limit that stays at `limit`.
    pub fn fixed(limit: u32) -> Self {
        Self {
            initial: limit,
            max: limit,
            min: limit,
            is_adaptive: false,
            ..Self::default()
        }
    }
}

/// Prefill that is given to the engine ahead of time.
const PREFILL_AHEAD_S: f64 = 0.2;

/// Part of the limit by which the most urgent rank may exceed it.
const URGENT_EXCESS: f64 = 0.25;

/// Requests that may run at once under `limit` if the next one has this rank.
pub fn limit_for(limit: u32, rank: Rank) -> u32 {
    if rank != Rank::FIRST {
        return limit;
    }
    limit + (f64::from(limit) * URGENT_EXCESS).ceil() as u32
}

/// Adaptive limit of running requests.
pub struct BatchLimit {
    settings: Settings,
    running: u32,
    /// Running requests that have had their first token.
    decoding: u32,
    meter: Meter,
    probe: Probe,
}

impl BatchLimit {
    /// A limit that has measured nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            running: 0,
            decoding: 0,
            meter: Meter::new(settings.rates),
            probe: Probe::new(f64::from(settings.initial)),
        }
    }

    /// Requests that may run at once.
    pub fn current(&self) -> u32 {
        let limit = match self.settings.is_adaptive {
            true => self.probe.limit().round() as u32,
            false => self.settings.initial,
        };
        limit.clamp(self.settings.min, self.settings.max)
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Whether a request of this rank may start now. The most urgent rank may exceed the limit by
    /// a quarter, so that it does not wait for long requests of other ranks to end.
    pub fn admits(&self, rank: Rank) -> bool {
        self.running < self.limit_for(rank)
    }

    /// Requests that may run at once if the next one has this rank.
    pub fn limit_for(&self, rank: Rank) -> u32 {
        limit_for(self.current(), rank)
    }

    /// Whether another request may start although running ones still have so many tokens to
    /// prefill. Engines prefill in the order of arrival, so that a request that starts early only
    /// waits there instead of here, where more urgent ones can pass it.
    pub fn has_prefill_room(&self, unprefilled_tokens: u32, now: Timestamp) -> bool {
        let ahead_s = f64::from(unprefilled_tokens) / self.rates(now).prefill;
        !self.settings.is_adaptive || ahead_s < PREFILL_AHEAD_S
    }

    /// Measured speed of the backend server, for one request at the present batch.
    pub fn rates(&self, now: Timestamp) -> Rates {
        self.meter.rates(self.decoding > 0, now)
    }

    /// A request was dispatched.
    pub fn started(&mut self, now: Timestamp) {
        if self.running == 0 {
            self.meter.resume(now);
        }
        self.running += 1;
        self.probe.advance(self.running, self.decoding, now);
    }

    /// A dispatched request ended.
    pub fn finished(&mut self, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        // Requests end after their first token, but for cancelled ones.
        self.decoding = self.decoding.saturating_sub(1).min(self.running);
        self.probe.advance(self.running, self.decoding, now);
    }

    /// The first token came `elapsed` after the dispatch of a request with so many uncached
    /// tokens to prefill.
    pub fn first_token(&mut self, prefill_tokens: u32, elapsed: Duration, now: Timestamp) {
        self.meter.first_token(prefill_tokens, elapsed, now);
        self.decoding = (self.decoding + 1).min(self.running);
        self.probe.advance(self.running, self.decoding, now);
    }

    /// A running request's next `tokens` tokens came `elapsed` after its last ones.
    pub fn token_gap(&mut self, tokens: u32, elapsed: Duration, now: Timestamp) {
        self.meter.token_gap(tokens, elapsed, now);
        self.probe.token_gap(tokens, elapsed, now, &self.settings);
    }
}
