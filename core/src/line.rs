//! Requests that wait at a router for a backend server to have room.

use {
    crate::{tier::Rank, time::Timestamp},
    std::collections::BTreeMap,
};

/// Place in the line: the more urgent rank first, then callers that come back after a refusal,
/// then the earlier limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Rank.
    pub rank: Rank,
    /// Whether the caller is here for the first time.
    pub is_new: bool,
    /// Time until which the request waits.
    pub until: Timestamp,
    /// Number of the request, which tells equal places apart.
    pub number: u64,
}

/// Waiting requests in order.
#[derive(Debug)]
pub struct Line<T> {
    waiting: BTreeMap<Place, T>,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Line<T> {
    /// An empty line.
    pub fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }

    /// Puts a request in its place.
    pub fn insert(&mut self, place: Place, request: T) {
        self.waiting.insert(place, request);
    }

    /// Takes a request out; none if it has left already.
    pub fn remove(&mut self, place: &Place) -> Option<T> {
        self.waiting.remove(place)
    }

    /// Number of waiting requests that fulfil a condition.
    pub fn count(&self, condition: impl Fn(&Place, &T) -> bool) -> usize {
        let waiting = self.waiting.iter();
        waiting
            .filter(|(place, request)| condition(place, request))
            .count()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Offers room to each waiting request in order; those for which `serve` returns true leave.
    pub fn offer(&mut self, mut serve: impl FnMut(&Place, &mut T) -> bool) {
        self.waiting.retain(|place, request| !serve(place, request));
    }
}
