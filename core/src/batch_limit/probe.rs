//! Search for the batch size beyond which throughput no longer grows enough.

use {super::Settings, crate::time::Timestamp, std::time::Duration};

/// Least time on either side of the present value.
const PHASE: Duration = Duration::from_millis(500);

/// Least number of tokens of each running request on either side.
const PHASE_TOKENS: f64 = 8.0;

/// Tokens of each running request that are not counted after a change of side, as they were made
/// by the batch of the other side.
const SETTLING_TOKENS: f64 = 2.0;

/// Relative distance of either side from the present value.
const AMPLITUDE: f64 = 0.12;

/// Weight of the newest comparison in the average.
const COMPARISON_WEIGHT: f64 = 0.3;

/// Relative step of the limit per comparison, for a gain that is one too large.
const STEP: f64 = 0.6;

/// Part of the limit that must be in use for a comparison to count.
const FULL: f64 = 0.95;

/// What was seen in one phase.
#[derive(Clone, Copy, Default)]
struct Phase {
    batch: f64,
    throughput: f64,
    is_full: bool,
}

/// Searches for a batch size by comparing the throughput slightly above and below the present one.
pub(super) struct Probe {
    centre: f64,
    is_above: bool,
    gain: Option<f64>,
    previous: Phase,
    /// When the counted part of the phase began; unset while the batch settles.
    start: Option<Timestamp>,
    last: Timestamp,
    tokens: f64,
    /// Sum of the gaps before those tokens, in seconds.
    gaps_s: f64,
    /// Integral of the running requests over the counted part of the phase.
    running_seconds: f64,
    /// Integral of those that have had their first token.
    decoding_seconds: f64,
    running: u32,
    decoding: u32,
}

impl Probe {
    pub(super) fn new(initial: f64) -> Self {
        Self {
            centre: initial,
            is_above: true,
            gain: None,
            previous: Phase::default(),
            start: None,
            last: Timestamp::START,
            tokens: 0.0,
            gaps_s: 0.0,
            running_seconds: 0.0,
            decoding_seconds: 0.0,
            running: 0,
            decoding: 0,
        }
    }

    pub(super) fn limit(&self) -> f64 {
        // A whole request more or less, so that small limits are probed too.
        let distance = (self.centre * AMPLITUDE).max(1.0);
        match self.is_above {
            true => self.centre + distance,
            false => self.centre - distance,
        }
    }

    /// Takes in that so many requests run from now on, of which so many have had a first token.
    pub(super) fn advance(&mut self, running: u32, decoding: u32, now: Timestamp) {
        let elapsed_s = now.since(self.last).as_secs_f64();
        self.running_seconds += f64::from(self.running) * elapsed_s;
        self.decoding_seconds += f64::from(self.decoding) * elapsed_s;
        self.last = now;
        self.running = running;
        self.decoding = decoding;
    }

    /// Takes in that `tokens` tokens of one request came `elapsed` after its last ones.
    pub(super) fn token_gap(
        &mut self,
        tokens: u32,
        elapsed: Duration,
        now: Timestamp,
        settings: &Settings,
    ) {
        self.advance(self.running, self.decoding, now);
        self.tokens += f64::from(tokens);
        self.gaps_s += elapsed.as_secs_f64();
        let tokens_each = self.tokens / f64::from(self.decoding.max(1));
        match self.start {
            None if tokens_each >= SETTLING_TOKENS => self.begin(Some(now)),
            Some(start) if tokens_each >= PHASE_TOKENS && now.since(start) >= PHASE => {
                self.end_phase(now.since(start).as_secs_f64(), settings);
                self.begin(None);
            }
            _ => {}
        }
    }

    fn begin(&mut self, start: Option<Timestamp>) {
        self.start = start;
        self.tokens = 0.0;
        self.gaps_s = 0.0;
        self.running_seconds = 0.0;
        self.decoding_seconds = 0.0;
    }

    fn end_phase(&mut self, elapsed_s: f64, settings: &Settings) {
        let gap_s = self.gaps_s / self.tokens;
        let running = self.running_seconds / elapsed_s;
        let phase = Phase {
            batch: running,
            throughput: self.decoding_seconds / elapsed_s / gap_s,
            is_full: running >= self.limit() * FULL,
        };
        if phase.is_full && self.previous.is_full {
            self.compare(phase, settings);
        }
        self.previous = phase;
        self.is_above = !self.is_above;
    }

    /// Moves the limit by the relative gain in throughput per relative gain in batch size.
    fn compare(&mut self, phase: Phase, settings: &Settings) {
        let batch_ratio = (phase.batch / self.previous.batch).ln();
        let throughput_ratio = phase.throughput / self.previous.throughput;
        if batch_ratio.abs() < AMPLITUDE / 2.0
            || !throughput_ratio.is_finite()
            || throughput_ratio <= 0.0
        {
            return;
        }
        let sample = (throughput_ratio.ln() / batch_ratio).clamp(-1.0, 2.0);
        let gain = self.gain.unwrap_or(sample);
        let gain = gain + (sample - gain) * COMPARISON_WEIGHT;
        self.gain = Some(gain);
        let step = (STEP * (gain - settings.min_relative_gain)).exp();
        let (min, max) = (f64::from(settings.min), f64::from(settings.max));
        self.centre = (self.centre * step).clamp(min, max);
    }
}
