//! Compact memory of forgotten attempts.

use {
    crate::{
        id::{Attempt, Boot},
        time::Timestamp,
    },
    std::collections::BTreeMap,
};

/// Bounds on the forgotten attempts of one router, exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bound {
    /// Above the sequence of every forgotten attempt.
    settled: u64,
    /// Above the sequence of every forgotten attempt that was dispatched.
    dispatched: u64,
    /// When an attempt was last forgotten.
    updated: Timestamp,
}

/// For each router, how far its attempts have been forgotten.
///
/// It errs to one side only: an attempt below a bound counts as forgotten even if it never came.
/// It holds a fixed number of routers. Beyond it the longest unchanged one is dropped, and from
/// then on a router without bounds counts as one whose attempts may have been dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Map {
    bounds: BTreeMap<Boot, Bound>,
    capacity: usize,
    dropped: bool,
}

impl Map {
    /// An empty map for at most `capacity` routers.
    pub fn new(capacity: usize) -> Self {
        Self {
            bounds: BTreeMap::new(),
            capacity,
            dropped: false,
        }
    }

    /// Prepares for an enqueue of `attempt`.
    ///
    /// A router without bounds, after some have been dropped, starts anew at this attempt: no
    /// message of a router is in flight for as long as it takes to replace a whole map of routers.
    pub fn admit(&mut self, attempt: Attempt, now: Timestamp) {
        if !self.dropped || self.bounds.contains_key(&attempt.router) {
            return;
        }
        self.make_room();
        let bound = Bound {
            settled: attempt.sequence,
            dispatched: attempt.sequence,
            updated: now,
        };
        self.bounds.insert(attempt.router, bound);
    }

    /// Records that `attempt` is forgotten.
    pub fn forget(&mut self, attempt: Attempt, dispatched: bool, now: Timestamp) {
        if !self.bounds.contains_key(&attempt.router) {
            self.make_room();
        }
        let above = attempt.sequence.saturating_add(1);
        let unsure = dispatched || self.dropped;
        let bound = self.bounds.entry(attempt.router).or_insert(Bound {
            settled: 0,
            dispatched: if unsure { above } else { 0 },
            updated: now,
        });
        bound.settled = bound.settled.max(above);
        bound.updated = now;
        if dispatched {
            bound.dispatched = bound.dispatched.max(above);
        }
    }

    /// Whether `attempt` may have been in the table and been forgotten.
    pub fn may_have_settled(&self, attempt: Attempt) -> bool {
        self.bounds
            .get(&attempt.router)
            .is_some_and(|bound| attempt.sequence < bound.settled)
    }

    /// Whether `attempt` may have been dispatched and forgotten.
    pub fn may_have_run(&self, attempt: Attempt) -> bool {
        match self.bounds.get(&attempt.router) {
            Some(bound) => attempt.sequence < bound.dispatched,
            None => self.dropped,
        }
    }

    fn make_room(&mut self) {
        if self.bounds.len() < self.capacity {
            return;
        }
        let oldest = self
            .bounds
            .iter()
            .min_by_key(|(router, bound)| (bound.updated, **router))
            .map(|(router, _)| *router);
        if let Some(router) = oldest {
            self.bounds.remove(&router);
            self.dropped = true;
        }
    }
}
