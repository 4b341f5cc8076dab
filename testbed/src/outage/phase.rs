//! Phases of a run with an outage.

use {derive_more::Display, serde::Serialize, std::time::Duration};

/// Length of the warm-up.
const WARM_UP: Duration = Duration::from_secs(5);

/// Time within which every router must know that the store has gone or returned.
const NOTICE: Duration = Duration::from_secs(5);

/// Phase of a run, by the state of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Up, and caches and rates are not learnt yet.
    WarmUp,
    /// Up.
    Before,
    /// Down since a moment ago.
    Onset,
    /// Down, and known to be.
    Down,
    /// Up again since a moment ago.
    Return,
    /// Up again.
    After,
    /// Answering late.
    Slow,
}

/// The phases of a run, one after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeline {
    phases: Vec<(Phase, Duration)>,
}

impl Timeline {
    /// An outage of this length, between two phases of length `around`; then a slow phase of the
    /// same length, if there is to be one. The onset is part of the outage, and the return of the
    /// time after it.
    pub fn new(around: Duration, outage: Duration, has_slow: bool) -> Self {
        let onset = NOTICE.min(outage);
        let noticed = NOTICE.min(around);
        let mut phases = vec![
            (Phase::WarmUp, WARM_UP),
            (Phase::Before, around),
            (Phase::Onset, onset),
            (Phase::Down, outage - onset),
            (Phase::Return, noticed),
            (Phase::After, around - noticed),
        ];
        if has_slow {
            phases.push((Phase::Slow, around));
        }
        Self { phases }
    }

    /// Length of the whole run.
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|(_, length)| *length).sum()
    }

    /// Phases with the time at which each ends.
    pub fn ends(&self) -> impl Iterator<Item = (Phase, Duration)> {
        self.phases
            .iter()
            .scan(Duration::ZERO, |end, (phase, length)| {
                *end += *length;
                Some((*phase, *end))
            })
    }

    /// Length of a phase; zero if it does not occur.
    pub fn length_of(&self, phase: Phase) -> Duration {
        let mut phases = self.phases.iter();
        let found = phases.find(|(found, _)| *found == phase);
        found.map_or(Duration::ZERO, |(_, length)| *length)
    }

    /// Phase at a time since the start; `None` after the end.
    pub fn phase_at(&self, at: Duration) -> Option<Phase> {
        self.ends()
            .find(|(_, end)| at < *end)
            .map(|(phase, _)| phase)
    }
}
