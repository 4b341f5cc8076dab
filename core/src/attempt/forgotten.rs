//! Compact record of forgotten attempts: per router, an upper bound on their sequence numbers.

use {
    crate::{
        id::{Attempt, Boot},
        time::Timestamp,
    },
    std::collections::BTreeMap,
};

/// Exclusive upper bounds on the sequence numbers of one router's forgotten attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bound {
    /// Bound of all forgotten attempts.
    settled: u64,
    /// Bound of the forgotten attempts that were dispatched.
    dispatched: u64,
    /// When an attempt was last forgotten.
    updated: Timestamp,
}

/// Bounds of the forgotten attempts by router.
///
/// The record is conservative: an attempt below a bound counts as forgotten even if it was never
/// enqueued. The number of routers is limited. When it is exceeded, the least recently updated
/// router is dropped, and from then on any attempt of a router without bounds counts as possibly
/// dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ForgottenAttempts {
    bounds: BTreeMap<Boot, Bound>,
    capacity: usize,
    /// Whether the bounds of any router have been dropped.
    has_dropped: bool,
}

impl ForgottenAttempts {
    /// An empty record for at most `capacity` routers.
    pub fn new(capacity: usize) -> Self {
        Self {
            bounds: BTreeMap::new(),
            capacity,
            has_dropped: false,
        }
    }

    /// Must be called before `attempt` is enqueued.
    ///
    /// Once bounds have been dropped, a router without bounds gets new ones that start at this
    /// attempt. This is safe, since no message stays in flight for as long as it takes to replace
    /// the bounds of all other routers.
    pub fn prepare_enqueue(&mut self, attempt: Attempt, now: Timestamp) {
        if !self.has_dropped || self.bounds.contains_key(&attempt.router) {
            return;
        }
        self.evict_if_full();
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
            self.evict_if_full();
        }
        let end = attempt.sequence.saturating_add(1);
        let may_have_run = dispatched || self.has_dropped;
        let bound = self.bounds.entry(attempt.router).or_insert(Bound {
            settled: 0,
            dispatched: if may_have_run { end } else { 0 },
            updated: now,
        });
        bound.settled = bound.settled.max(end);
        bound.updated = now;
        if dispatched {
            bound.dispatched = bound.dispatched.max(end);
        }
    }

    /// Whether `attempt` may have been in the table and may since have been forgotten.
    pub fn may_have_settled(&self, attempt: Attempt) -> bool {
        self.bounds
            .get(&attempt.router)
            .is_some_and(|bound| attempt.sequence < bound.settled)
    }

    /// Whether `attempt` may have been dispatched and may since have been forgotten.
    pub fn may_have_run(&self, attempt: Attempt) -> bool {
        match self.bounds.get(&attempt.router) {
            Some(bound) => attempt.sequence < bound.dispatched,
            None => self.has_dropped,
        }
    }

    fn evict_if_full(&mut self) {
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
            self.has_dropped = true;
        }
    }
}
