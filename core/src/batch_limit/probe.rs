//! Search for the batch size above which throughput no longer grows enough.

use {super::Settings, crate::time::Timestamp, std::time::Duration};

/// Minimum duration of a phase above or below the centre.
const MIN_PHASE: Duration = Duration::from_millis(500);

/// Minimum number of tokens of each running request in a phase.
const MIN_PHASE_TOKENS: f64 = 8.0;

/// Tokens of each running request that are discarded at the start of a phase, since they were
/// produced by a batch of the previous size.
const SETTLING_TOKENS: f64 = 2.0;

/// Relative distance of the probed limits from the centre.
const AMPLITUDE: f64 = 0.12;

/// Weight of the latest comparison in the moving average of the gain.
const COMPARISON_WEIGHT: f64 = 0.3;

/// Relative step of the centre per comparison and unit of gain above the minimum.
const STEP_RATE: f64 = 0.6;

/// Fraction of the limit that must be in use for a phase to be compared.
const MIN_UTILISATION: f64 = 0.95;

/// Measurements of one phase.
#[derive(Clone, Copy, Default)]
struct Phase {
    batch: f64,
    throughput: f64,
    /// Whether the mean batch size was close to the limit.
    is_full: bool,
}

/// Hill climbing on the batch size: compares the throughput slightly above and below the centre.
pub(super) struct Probe {
    centre: f64,
    is_above: bool,
    /// Moving average of the relative gain in throughput per relative gain in batch size.
    gain: Option<f64>,
    previous: Phase,
    /// Start of the measured part of the phase; unset while the batch settles.
    start: Option<Timestamp>,
    last_update: Timestamp,
    /// Tokens produced in the phase.
    tokens: f64,
    /// Sum of the gaps before these tokens, in seconds.
    gaps_s: f64,
    /// Integral of the number of running requests over the measured part of the phase.
    running_seconds: f64,
    /// Integral of the number of requests that have produced their first token.
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
            last_update: Timestamp::START,
            tokens: 0.0,
            gaps_s: 0.0,
            running_seconds: 0.0,
            decoding_seconds: 0.0,
            running: 0,
            decoding: 0,
        }
    }

    pub(super) fn limit(&self) -> f64 {
        // At least one request, so that small limits are probed too.
        let distance = (self.centre * AMPLITUDE).max(1.0);
        match self.is_above {
            true => self.centre + distance,
            false => self.centre - distance,
        }
    }

    /// Records the number of running requests and of those that have produced their first token.
    pub(super) fn advance(&mut self, running: u32, decoding: u32, now: Timestamp) {
        let elapsed_s = now.since(self.last_update).as_secs_f64();
        self.running_seconds += f64::from(self.running) * elapsed_s;
        self.decoding_seconds += f64::from(self.decoding) * elapsed_s;
        self.last_update = now;
        self.running = running;
        self.decoding = decoding;
    }

    /// Records that one request produced `tokens` tokens `elapsed` after its previous ones.
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
            None if tokens_each >= SETTLING_TOKENS => self.reset(Some(now)),
            Some(start) if tokens_each >= MIN_PHASE_TOKENS && now.since(start) >= MIN_PHASE => {
                self.end_phase(now.since(start).as_secs_f64(), settings);
                self.reset(None);
            }
            _ => {}
        }
    }

    /// Clears the measurements; `start` is that of the measured part, if the batch has settled.
    fn reset(&mut self, start: Option<Timestamp>) {
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
            is_full: running >= self.limit() * MIN_UTILISATION,
        };
        if phase.is_full && self.previous.is_full {
            self.compare(phase, settings);
        }
        self.previous = phase;
        self.is_above = !self.is_above;
    }

    /// Moves the centre according to the relative gain in throughput per relative gain in batch
    /// size.
    fn compare(&mut self, phase: Phase, settings: &Settings) {
        let log_batch_ratio = (phase.batch / self.previous.batch).ln();
        let throughput_ratio = phase.throughput / self.previous.throughput;
        if log_batch_ratio.abs() < AMPLITUDE / 2.0
            || !throughput_ratio.is_finite()
            || throughput_ratio <= 0.0
        {
            return;
        }
        let sample = (throughput_ratio.ln() / log_batch_ratio).clamp(-1.0, 2.0);
        let gain = self.gain.unwrap_or(sample);
        let gain = gain + (sample - gain) * COMPARISON_WEIGHT;
        self.gain = Some(gain);
        let step = (STEP_RATE * (gain - settings.min_relative_gain)).exp();
        let (min, max) = (f64::from(settings.min), f64::from(settings.max));
        self.centre = (self.centre * step).clamp(min, max);
    }
}
