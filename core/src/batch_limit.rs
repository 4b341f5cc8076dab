//! Adaptive limit on the requests that run at once on a backend server, and its measured speed.
//!
//! Both are derived from the time to the first token and the time between tokens. The throughput of
//! an engine grows with its batch size, with diminishing returns, while each request gets slower.
//! The limit alternates between values slightly above and below its centre, compares the throughput
//! of both, and moves the centre until a larger batch is no longer worthwhile. Since it compares
//! only measurements that are close in time, a general slowdown of the engine changes the measured
//! rates but not the limit.

mod meter;
mod probe;

use {
    crate::{cost::Rates, tier::Rank, time::Timestamp},
    meter::Meter,
    probe::Probe,
    std::time::Duration,
};

/// Bounds of the limit, and its initial assumptions.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Initial limit.
    pub initial: u32,
    /// Minimum limit.
    pub min: u32,
    /// Maximum limit.
    pub max: u32,
    /// Minimum relative gain in throughput per relative gain in batch size for which the limit is
    /// raised.
    pub min_relative_gain: f64,
    /// Rates assumed before the first measurement. They are high, so that every backend server is
    /// tried; with low ones, a server could stay idle for ever next to a slow one that happened to
    /// be measured first.
    pub rates: Rates,
    /// Whether the limit adapts; otherwise it stays at `initial`.
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
    /// Settings for a fixed limit.
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

/// Maximum prefill work queued in the engine, in seconds at the measured rate.
const MAX_QUEUED_PREFILL_S: f64 = 0.2;

/// Fraction of the limit by which the most urgent rank may exceed it.
const URGENT_HEADROOM: f64 = 0.25;

/// Number of requests that may run at once under `limit`, if the next one has rank `rank`.
pub fn limit_for(limit: u32, rank: Rank) -> u32 {
    if rank != Rank::FIRST {
        return limit;
    }
    limit.saturating_add((f64::from(limit) * URGENT_HEADROOM).ceil() as u32)
}

/// Adaptive limit on the number of running requests.
pub struct BatchLimit {
    settings: Settings,
    running: u32,
    /// Running requests that have produced their first token.
    decoding: u32,
    meter: Meter,
    probe: Probe,
}

impl BatchLimit {
    /// A limit without measurements.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            running: 0,
            decoding: 0,
            meter: Meter::new(settings.rates),
            probe: Probe::new(f64::from(settings.initial)),
        }
    }

    /// The current limit, without the headroom for the most urgent rank.
    pub fn current(&self) -> u32 {
        let limit = match self.settings.is_adaptive {
            true => self.probe.limit().round() as u32,
            false => self.settings.initial,
        };
        limit.clamp(self.settings.min, self.settings.max)
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Whether a request of this rank may start now. The most urgent rank may exceed the limit by
    /// a quarter, so that it need not wait for long requests of other ranks to finish.
    pub fn admits(&self, rank: Rank) -> bool {
        self.running < self.limit_for(rank)
    }

    /// Number of requests that may run at once, if the next one has rank `rank`.
    pub fn limit_for(&self, rank: Rank) -> u32 {
        limit_for(self.current(), rank)
    }

    /// Whether another request may start while the running ones still have `unprefilled_tokens` to
    /// prefill. Engines prefill in order of arrival, so a request that is sent too early only waits
    /// in the engine, where a more urgent one cannot overtake it.
    pub fn has_prefill_room(&self, unprefilled_tokens: u32, now: Timestamp) -> bool {
        let queued_s = f64::from(unprefilled_tokens) / self.rates(now).prefill;
        !self.settings.is_adaptive || queued_s < MAX_QUEUED_PREFILL_S
    }

    /// Measured speed of the backend server for one request at the current batch size.
    pub fn rates(&self, now: Timestamp) -> Rates {
        self.meter.rates(self.decoding > 0, now)
    }

    /// Records that a request was dispatched.
    pub fn started(&mut self, now: Timestamp) {
        if self.running == 0 {
            self.meter.resume(now);
        }
        self.running += 1;
        self.probe.advance(self.running, self.decoding, now);
    }

    /// Records that a dispatched request ended.
    pub fn finished(&mut self, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        // Only cancelled requests end before their first token.
        self.decoding = self.decoding.saturating_sub(1).min(self.running);
        self.probe.advance(self.running, self.decoding, now);
    }

    /// Records that a request with `prefill_tokens` uncached prompt tokens produced its first token
    /// `elapsed` after its dispatch.
    pub fn first_token(&mut self, prefill_tokens: u32, elapsed: Duration, now: Timestamp) {
        self.meter.first_token(prefill_tokens, elapsed, now);
        self.decoding = (self.decoding + 1).min(self.running);
        self.probe.advance(self.running, self.decoding, now);
    }

    /// Records that a running request produced `tokens` tokens `elapsed` after its previous ones.
    pub fn token_gap(&mut self, tokens: u32, elapsed: Duration, now: Timestamp) {
        self.meter.token_gap(tokens, elapsed, now);
        self.probe.token_gap(tokens, elapsed, now, &self.settings);
    }
}
