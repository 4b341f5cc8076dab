//! Requests that wait at a router for a backend server to have room.
//!
//! The more urgent rank goes first. Within a rank, requests that can still be on time go before
//! those that will be late, and the newest of them first: in a queue that is too long, serving the
//! oldest would make each of them wait until it is just late. Late ones get what is left, in the
//! order of their arrival.

use {
    crate::{tier::Rank, time::Timestamp},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// What decides a request's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingKey {
    /// Rank.
    pub rank: Rank,
    /// Whether the caller comes back after a refusal. It is late already, and goes before others of
    /// its rank that are.
    pub is_retry: bool,
    /// Until when the request can be on time.
    pub on_time_until: Timestamp,
}

/// How a waiting request stands within its rank; the earlier stage is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It can still be on time.
    OnTime,
    /// It is late, and its caller has come back after a refusal.
    Retry,
    /// It is late.
    Late,
}

/// Whose turn comes first, also among requests that wait at different routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank.
    pub rank: Rank,
    /// Stage within the rank.
    pub stage: Stage,
}

/// Waiting requests by the number that each got when it came.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<u64, (SchedulingKey, T)>,
    next: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> WaitQueue<T> {
    /// An empty line.
    pub fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next: 0,
        }
    }

    /// Puts a request in the line; returns its number.
    pub fn insert(&mut self, place: SchedulingKey, request: T) -> u64 {
        let number = self.next;
        self.next += 1;
        self.waiting.insert(number, (place, request));
        number
    }

    /// Takes a request out; none if it has left already.
    pub fn remove(&mut self, number: u64) -> Option<T> {
        self.waiting.remove(&number).map(|(_, request)| request)
    }

    /// Waiting requests, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&SchedulingKey, &T)> {
        self.waiting
            .values()
            .map(|(place, request)| (place, request))
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Numbers of the waiting requests in the order of their turns.
    pub fn order(&self, now: Timestamp) -> Vec<u64> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(number, (place, _))| (place.turn(*number, now), *number))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    /// A waiting request.
    pub fn get(&self, number: u64) -> Option<(&SchedulingKey, &T)> {
        let (place, request) = self.waiting.get(&number)?;
        Some((place, request))
    }
}

impl SchedulingKey {
    /// How urgent the request is now.
    pub fn urgency(&self, now: Timestamp) -> Urgency {
        let stage = match (self.is_retry, self.on_time_until > now) {
            (true, _) => Stage::Retry,
            (false, true) => Stage::OnTime,
            (false, false) => Stage::Late,
        };
        Urgency {
            rank: self.rank,
            stage,
        }
    }

    fn turn(&self, number: u64, now: Timestamp) -> (Urgency, Reverse<Timestamp>, u64) {
        let urgency = self.urgency(now);
        let latest_first = match urgency.stage {
            Stage::OnTime => self.on_time_until,
            Stage::Retry | Stage::Late => Timestamp::START,
        };
        (urgency, Reverse(latest_first), number)
    }
}
