//! When the shed floor is told to all sidecars.

use {
    std::time::Duration,
    tamarackdale_core::{floor::Notice, tier::Rank, time::Timestamp},
};

/// Time after which a floor that still holds is told again, shorter than it holds.
const RENEWAL: Duration = Duration::from_millis(150);

/// The floor that was told last.
#[derive(Default)]
pub struct Spread {
    told: Option<(Rank, Timestamp)>,
}

impl Spread {
    /// Whether the floor is to be told now: it holds, and it is higher than the one that was told
    /// last or was told long ago. It is taken to be told then.
    pub fn is_due(&mut self, notice: Notice, now: Timestamp) -> bool {
        if notice.rank == Rank::LAST {
            self.told = None;
            return false;
        }
        let is_known = self
            .told
            .is_some_and(|(rank, at)| !notice.rank.is_above(rank) && now.since(at) < RENEWAL);
        if !is_known {
            self.told = Some((notice.rank, now));
        }
        !is_known
    }
}
