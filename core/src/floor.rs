//! Shed floor of a service: the least urgent rank that is served.
//!
//! Before a process sheds a rank for overload it raises the floor to that rank. The floor spreads
//! on reports and enqueues and the most urgent one wins. It travels with the time it still holds,
//! which only a new shed renews, so that processes cannot keep it up by telling each other.

use {
    crate::{tier::Rank, time::Timestamp},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a floor holds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for which a rank has not been shed anywhere before lower ranks are served again.
    pub hold: Duration,
    /// Whether the floor is used at all.
    pub is_enabled: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(500),
            is_enabled: true,
        }
    }
}

/// A floor as it travels: the rank and how long it holds unless it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The least urgent rank that is served.
    pub rank: Rank,
    /// Time until the floor is lowered.
    pub remaining: Duration,
}

impl Notice {
    /// The notice that all ranks are served.
    pub const OPEN: Self = Self {
        rank: Rank::LAST,
        remaining: Duration::ZERO,
    };
}

/// Shed floor as one process knows it.
pub struct Floor {
    settings: Settings,
    /// The last shed of this process's own: its rank and until when others should hear of it.
    own: Option<(Rank, Timestamp)>,
    /// End of each floor that holds. A less urgent floor that ends later is kept, to take effect
    /// when the more urgent ones have ended.
    ends: BTreeMap<Rank, Timestamp>,
}

impl Floor {
    /// A floor that serves all ranks.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            own: None,
            ends: BTreeMap::new(),
        }
    }

    /// The least urgent rank that is served now.
    pub fn current(&self, now: Timestamp) -> Rank {
        self.notice(now).rank
    }

    /// Whether requests of this rank are served now.
    pub fn serves(&self, rank: Rank, now: Timestamp) -> bool {
        !self.current(now).is_more_urgent_than(rank)
    }

    /// What to tell other processes now.
    pub fn notice(&self, now: Timestamp) -> Notice {
        let held = self.ends.iter().find(|(_, end)| **end > now);
        held.map_or(Notice::OPEN, |(rank, end)| Notice {
            rank: *rank,
            remaining: end.since(now),
        })
    }

    /// Raises the floor to `rank`, which is about to be shed here, or renews it. Returns whether
    /// the current floor changed.
    pub fn raise(&mut self, rank: Rank, now: Timestamp) -> bool {
        let remaining = self.settings.hold;
        self.merge(Notice { rank, remaining }, now)
    }

    /// Raises the floor as [`Self::raise`] does, for a rank that this process itself sheds.
    pub fn raise_own(&mut self, rank: Rank, now: Timestamp) -> bool {
        let rank = self.own(now).map_or(rank, |known| known.min(rank));
        self.own = Some((rank, now.plus(self.settings.hold)));
        self.raise(rank, now)
    }

    /// The most urgent rank that this process itself shed of late.
    pub fn own(&self, now: Timestamp) -> Option<Rank> {
        self.own.filter(|(_, end)| *end > now).map(|(rank, _)| rank)
    }

    /// Takes in the floor of another process. Returns whether the current floor changed.
    pub fn merge(&mut self, notice: Notice, now: Timestamp) -> bool {
        if !self.settings.is_enabled || notice.rank == Rank::LAST {
            return false;
        }
        let before = self.current(now);
        self.ends.retain(|_, end| *end > now);
        let end = now.plus(notice.remaining.min(self.settings.hold));
        let known = self.ends.entry(notice.rank).or_insert(end);
        *known = end.max(*known);
        self.current(now) != before
    }
}
