//! Outcomes at one backend server within a short window.

use {super::Outcome, crate::time::Timestamp, std::time::Duration};

/// Length of a part of the window.
const PART: Duration = Duration::from_millis(500);

/// Number of parts of the window, which has three seconds.
const PARTS: usize = 6;

/// Numbers of outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) answered: u32,
    pub(super) errors: u32,
    pub(super) broken: u32,
}

impl Counts {
    pub(super) fn outcomes(self) -> u32 {
        self.answered.saturating_add(self.failures())
    }

    pub(super) fn failures(self) -> u32 {
        self.errors.saturating_add(self.broken)
    }

    /// Share of the failures; zero without outcomes.
    pub(super) fn share(self) -> f64 {
        f64::from(self.failures()) / f64::from(self.outcomes().max(1))
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            answered: self.answered.saturating_add(other.answered),
            errors: self.errors.saturating_add(other.errors),
            broken: self.broken.saturating_add(other.broken),
        }
    }
}

/// An upper bound of the probability of at least `failures` among `outcomes`, if each is a failure with
/// probability `usual` (Chernoff).
pub(super) fn chance(failures: u32, outcomes: u32, usual: f64) -> f64 {
    let outcomes = f64::from(outcomes.max(1));
    let share = f64::from(failures) / outcomes;
    if share <= usual || usual >= 1.0 {
        return 1.0;
    }
    let term = |part: f64, expected: f64| match part > 0.0 {
        true => part * (part / expected).ln(),
        false => 0.0,
    };
    let divergence = term(share, usual) + term(1.0 - share, 1.0 - usual);
    (-outcomes * divergence).exp()
}

/// Outcomes of this gateway's requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    parts: [Counts; PARTS],
    /// Number of the newest part since the start of the process.
    newest: u64,
    pub(super) failures_in_row: u32,
    /// Of them, those without a response.
    pub(super) broken_in_row: u32,
    pub(super) unreachable_in_row: u32,
    /// When the failures in a row began.
    pub(super) row_began: Option<Timestamp>,
    pub(super) last_failure: Option<Timestamp>,
    pub(super) last_success: Option<Timestamp>,
}

impl Tally {
    pub(super) fn counts(&self, now: Timestamp) -> Counts {
        let age = part_number(now).saturating_sub(self.newest);
        let oldest = part_number(now).saturating_sub(PARTS as u64 - 1);
        if age >= PARTS as u64 {
            return Counts::default();
        }
        let numbers = oldest..=self.newest;
        numbers.fold(Counts::default(), |sum, number| {
            sum.plus(self.parts[number as usize % PARTS])
        })
    }

    pub(super) fn record_answer(&mut self, now: Timestamp) {
        let part = self.part_mut(now);
        part.answered = part.answered.saturating_add(1);
    }

    /// Records that the server has responded.
    pub(super) fn record_success(&mut self, now: Timestamp) {
        self.last_success = Some(now);
        self.row_began = None;
        self.failures_in_row = 0;
        self.broken_in_row = 0;
        self.unreachable_in_row = 0;
    }

    pub(super) fn record_failure(&mut self, outcome: Outcome, now: Timestamp) {
        let part = self.part_mut(now);
        match outcome {
            Outcome::Error => part.errors = part.errors.saturating_add(1),
            _ => part.broken = part.broken.saturating_add(1),
        }
        self.last_failure = Some(now);
        self.row_began = self.row_began.or(Some(now));
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        match outcome {
            // The server has responded.
            Outcome::Error => {
                self.broken_in_row = 0;
                self.unreachable_in_row = 0;
            }
            Outcome::Unreachable => {
                self.broken_in_row = self.broken_in_row.saturating_add(1);
                self.unreachable_in_row = self.unreachable_in_row.saturating_add(1);
            }
            _ => {
                self.broken_in_row = self.broken_in_row.saturating_add(1);
                self.unreachable_in_row = 0;
            }
        }
    }

    /// Whether the last request within the window got no response.
    pub(super) fn is_failing(&self, now: Timestamp) -> bool {
        self.broken_in_row > 0 && self.counts(now).broken > 0
    }

    /// Forgets the outcomes, but not when the last ones were.
    pub(super) fn clear(&mut self) {
        *self = Self {
            newest: self.newest,
            last_failure: self.last_failure,
            last_success: self.last_success,
            ..Self::default()
        };
    }

    fn part_mut(&mut self, now: Timestamp) -> &mut Counts {
        let number = part_number(now);
        let skipped = number.saturating_sub(self.newest).min(PARTS as u64);
        for ahead in 0..skipped {
            self.parts[(number - ahead) as usize % PARTS] = Counts::default();
        }
        self.newest = self.newest.max(number);
        &mut self.parts[self.newest as usize % PARTS]
    }
}

fn part_number(at: Timestamp) -> u64 {
    at.as_micros() / PART.as_micros() as u64
}
