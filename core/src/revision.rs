//! Revisions of a store that may come back from an older copy of itself.
//!
//! A store that is restored from a copy loses what was written since the copy was made, and gives
//! out the same revision numbers again for other writes. Each such restoration begins a new era, so
//! that a revision is identified by its era and its number.

use {crate::freshness::BootTime, derive_more::Display, std::time::Duration};

/// Time after a restoration within which the operator and the backend servers write again what the
/// store has lost. The platform states about two seconds for backend servers.
const SETTLING_TIME: Duration = Duration::from_millis(2_200);

/// A revision of the store.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{era}/{number}")]
pub struct Revision {
    /// Number of restorations of the store before it.
    pub era: u64,
    /// Number of the revision within the era, as the store gives it out.
    pub number: u64,
}

/// Comparison of an era with the latest one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// It is the latest one, or the first that was observed.
    None,
    /// The store has been restored since.
    Risen,
    /// It has ended: the response was sent before a restoration and arrived after it.
    Ended,
}

/// The latest era of the store that a process has observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraObserver {
    latest: Option<u64>,
    /// When the latest era was first observed, if the store has ever been restored.
    risen: Option<BootTime>,
}

impl EraObserver {
    /// Creates an observer that has observed no era.
    pub const fn new() -> Self {
        Self {
            latest: None,
            risen: None,
        }
    }

    /// Records the era of a response that arrived at `now`. If the first one that a process observes tells of
    /// a restoration, that may have been a moment ago.
    pub fn observe(&mut self, era: u64, now: BootTime) -> EraChange {
        match self.latest {
            Some(latest) if era < latest => EraChange::Ended,
            Some(latest) if era > latest => {
                self.latest = Some(era);
                self.risen = Some(now);
                EraChange::Risen
            }
            Some(_) => EraChange::None,
            None => {
                self.latest = Some(era);
                self.risen = (era > 0).then_some(now);
                EraChange::None
            }
        }
    }

    /// The latest era, or `None` before the first observation.
    pub fn latest(&self) -> Option<u64> {
        self.latest
    }

    /// Whether a read that was sent at `sent` shows all that was acknowledged before. Soon after a
    /// restoration, what the store has lost is not yet written again.
    pub fn is_settled(&self, sent: BootTime) -> bool {
        self.risen
            .is_none_or(|risen| sent >= BootTime(risen.0 + SETTLING_TIME.as_millis() as u64))
    }
}
