//! How many requests may run at once on a backend server, and how fast it works them off.
//!
//! Both are learnt from the time to the first token and the time between tokens. The gap between
//! tokens grows with the batch; the limit grows while the gap stays near the best one seen
//! lately, and shrinks when it does not. A best gap is forgotten after a while, so that the limit
//! follows an engine that has become slower.

use {
    crate::{cost::Rates, tier::Rank, time::Timestamp},
    std::{collections::VecDeque, time::Duration},
};

/// Bounds and steps of the limit.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Limit to start with.
    pub initial: u32,
    /// Smallest limit.
    pub min: u32,
    /// Largest limit.
    pub max: u32,
    /// Gap between tokens that is always accepted.
    pub target_gap: Duration,
    /// Largest accepted ratio between the gap and the best gap of late.
    pub tolerance: f64,
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
            target_gap: Duration::from_millis(31),
            tolerance: 2.5,
            rates: Rates::new(20_000.0, 200.0),
            is_adaptive: true,
        }
    }
}

/// Time between two decisions on the limit.
const EPOCH: Duration = Duration::from_millis(250);

/// Epochs for which a best gap is remembered.
const REMEMBERED_EPOCHS: usize = 40;

/// Weight of the newest sample in the averages of a steady engine.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Tokens of prefill over which half of the prefill rate is renewed.
const PREFILL_MEMORY_TOKENS: f64 = 2_000.0;

/// Factor by which the limit shrinks.
const DECREASE: f64 = 0.8;

/// Part of the limit by which the most urgent rank may exceed it.
const URGENT_EXCESS: f64 = 0.25;

/// Adaptive limit of running requests.
pub struct Limit {
    settings: Settings,
    limit: f64,
    running: u32,
    was_full: bool,
    gap_s: Option<f64>,
    prefill_rate: f64,
    last_token: Option<Timestamp>,
    epoch_start: Option<Timestamp>,
    epoch_gap: Mean,
    best_gaps: VecDeque<f64>,
}

impl Limit {
    /// A limit that has measured nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            limit: f64::from(settings.initial),
            running: 0,
            was_full: false,
            gap_s: None,
            prefill_rate: settings.rates.prefill,
            last_token: None,
            epoch_start: None,
            epoch_gap: Mean::default(),
            best_gaps: VecDeque::new(),
        }
    }

    /// Requests that may run at once.
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(self.settings.min, self.settings.max)
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
        let limit = self.current();
        if rank != Rank::FIRST {
            return limit;
        }
        limit + (f64::from(limit) * URGENT_EXCESS).ceil() as u32
    }

    /// Measured speed of the backend server, for one request at the present batch.
    pub fn rates(&self, now: Timestamp) -> Rates {
        let Some(gap_s) = self.gap_s else {
            return Rates::new(self.prefill_rate, self.settings.rates.decode);
        };
        let silence_s = match self.last_token {
            Some(last) if self.running > 0 => now.since(last).as_secs_f64(),
            _ => 0.0,
        };
        Rates::new(self.prefill_rate, 1.0 / gap_s.max(silence_s))
    }

    /// A request was dispatched.
    pub fn started(&mut self, now: Timestamp) {
        if self.running == 0 {
            self.last_token = None;
        }
        self.running += 1;
        self.was_full |= self.running >= self.current();
        self.epoch_start.get_or_insert(now);
    }

    /// A dispatched request ended.
    pub fn finished(&mut self, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        self.end_epoch(now);
    }

    /// The first token came `elapsed` after the dispatch of a request with so many uncached
    /// tokens to prefill.
    pub fn first_token(&mut self, prefill_tokens: u32, elapsed: Duration, now: Timestamp) {
        self.last_token = Some(now);
        let elapsed_s = elapsed.as_secs_f64().max(1e-6);
        let sample = f64::from(prefill_tokens.max(1)) / elapsed_s;
        let weight =
            f64::from(prefill_tokens) / (f64::from(prefill_tokens) + PREFILL_MEMORY_TOKENS);
        // Harmonic mean: times add up, rates do not.
        let time_per_token = (1.0 - weight) / self.prefill_rate + weight / sample;
        self.prefill_rate = 1.0 / time_per_token;
        self.end_epoch(now);
    }

    /// A running request's next `tokens` tokens came `elapsed` after its last ones.
    pub fn token_gap(&mut self, tokens: u32, elapsed: Duration, now: Timestamp) {
        self.last_token = Some(now);
        let sample = elapsed.as_secs_f64() / f64::from(tokens.max(1));
        let gap = self.gap_s.unwrap_or(sample);
        let weight = SAMPLE_WEIGHT / f64::from(self.running.max(1)).sqrt();
        self.gap_s = Some(gap + (sample - gap) * weight);
        self.epoch_gap.add(sample);
        self.end_epoch(now);
    }

    fn end_epoch(&mut self, now: Timestamp) {
        let start = *self.epoch_start.get_or_insert(now);
        if now.since(start) < EPOCH || self.epoch_gap.count == 0 {
            return;
        }
        let gap = self.epoch_gap.value();
        if self.settings.is_adaptive {
            self.adapt(gap);
        }
        self.epoch_start = Some(now);
        self.epoch_gap = Mean::default();
        self.was_full = self.running >= self.current();
    }

    fn adapt(&mut self, gap: f64) {
        self.best_gaps.push_back(gap);
        if self.best_gaps.len() > REMEMBERED_EPOCHS {
            self.best_gaps.pop_front();
        }
        let best = self.best_gaps.iter().copied().fold(f64::INFINITY, f64::min);
        let target = self.settings.target_gap.as_secs_f64();
        if gap > (best * self.settings.tolerance).max(target) {
            self.limit *= DECREASE;
        } else if self.was_full {
            self.limit += 1.0;
        }
        let (min, max) = (self.settings.min, self.settings.max);
        self.limit = self.limit.clamp(f64::from(min), f64::from(max));
    }
}

#[derive(Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        self.sum += sample;
        self.count += 1;
    }

    fn value(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}
