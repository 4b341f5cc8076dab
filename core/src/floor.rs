//! Shed floor of a service: the least urgent rank that is served.
//!
//! Before a process sheds a rank because of overload, it raises the floor to that rank. The floor
//! is propagated with reports and enqueue calls, and the most urgent floor wins. It is sent with
//! its remaining hold time, which only a new shed renews: otherwise processes that exchange their
//! floors would keep them up forever.

use {
    crate::{tier::Rank, time::Timestamp},
    std::{collections::BTreeMap, time::Duration},
};

/// Settings of a shed floor.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time without any shed of a rank after which less urgent ranks are served again.
    pub hold: Duration,
    /// Whether the floor is used.
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

/// A floor as processes send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The least urgent rank that is served.
    pub rank: Rank,
    /// Time until the floor is lowered unless it is renewed.
    pub remaining: Duration,
}

impl Notice {
    /// Notice that all ranks are served.
    pub const OPEN: Self = Self {
        rank: Rank::LAST,
        remaining: Duration::ZERO,
    };
}

/// The shed floor of one service in one process.
pub struct Floor {
    settings: Settings,
    /// Rank that this process itself has shed, and the time until which it is sent to others.
    own: Option<(Rank, Timestamp)>,
    /// End of the hold time of each floor. A less urgent floor that ends later is kept, because it
    /// takes effect when the more urgent ones have ended.
    ends: BTreeMap<Rank, Timestamp>,
}

impl Floor {
    /// Creates a floor at which all ranks are served.
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

    /// The floor to send to other processes.
    pub fn notice(&self, now: Timestamp) -> Notice {
        let held = self.ends.iter().find(|(_, end)| **end > now);
        held.map_or(Notice::OPEN, |(rank, end)| Notice {
            rank: *rank,
            remaining: end.since(now),
        })
    }

    /// Raises the floor to `rank`, which is about to be shed in this process, or renews its hold
    /// time. Returns whether the current floor has changed.
    pub fn raise(&mut self, rank: Rank, now: Timestamp) -> bool {
        let remaining = self.settings.hold;
        self.merge(Notice { rank, remaining }, now)
    }

    /// Like [`Self::raise`], and records that this process itself sheds the rank.
    pub fn raise_own(&mut self, rank: Rank, now: Timestamp) -> bool {
        let rank = self.own(now).map_or(rank, |known| known.min(rank));
        self.own = Some((rank, now.plus(self.settings.hold)));
        self.raise(rank, now)
    }

    /// The most urgent rank that this process itself has shed within the hold time, with what is
    /// left of it.
    pub fn own_notice(&self, now: Timestamp) -> Option<Notice> {
        let (rank, end) = self.own.filter(|(_, end)| *end > now)?;
        Some(Notice {
            rank,
            remaining: end.since(now),
        })
    }

    fn own(&self, now: Timestamp) -> Option<Rank> {
        self.own_notice(now).map(|notice| notice.rank)
    }

    /// Merges the floor of another process. Returns whether the current floor has changed.
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
