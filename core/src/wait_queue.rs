//! Requests that wait at a router for a free slot at a backend server.
//!
//! More urgent ranks are served first. Within a rank, requests that go on with a stream are served
//! first, then those that can still be on time, and then late ones. Of those that can be on time, the
//! one with the most time left goes first: under overload, serving the oldest first would make every
//! request wait until it is just late. Late requests get the remaining capacity in order of arrival.

use {
    crate::{tier::Rank, time::Timestamp},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Attributes that determine a request's position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingKey {
    /// Rank of the request.
    pub rank: Rank,
    /// Whether it goes on with a stream of which its caller has events. Few backend servers may serve
    /// it, and what was generated is lost without it.
    pub is_resumed: bool,
    /// Whether this is a retry after a refusal. Retries are always late, and are served before
    /// other late requests of their rank.
    pub is_retry: bool,
    /// Latest time at which the request can get a slot and still be on time.
    pub on_time_until: Timestamp,
}

/// Stage of a waiting request within its rank; earlier stages are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It goes on with a stream.
    Resumed,
    /// It can still be on time.
    OnTime,
    /// It is a retry after a refusal.
    Retry,
    /// It is late.
    Late,
}

/// Urgency of a request, comparable between routers; the smaller is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank of the request.
    pub rank: Rank,
    /// Stage within the rank.
    pub stage: Stage,
}

/// Waiting requests, identified by numbers in order of arrival.
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
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next: 0,
        }
    }

    /// Adds a request and returns its number.
    pub fn insert(&mut self, key: SchedulingKey, request: T) -> u64 {
        let number = self.next;
        self.next += 1;
        self.waiting.insert(number, (key, request));
        number
    }

    /// Removes a request. Returns `None` if it is no longer waiting.
    pub fn remove(&mut self, number: u64) -> Option<T> {
        self.waiting.remove(&number).map(|(_, request)| request)
    }

    /// Waiting requests in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (&SchedulingKey, &T)> {
        self.waiting.values().map(|(key, request)| (key, request))
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Numbers of the waiting requests in the order in which they are served.
    pub fn order(&self, now: Timestamp) -> Vec<u64> {
        self.order_by(now, |_| ())
    }

    /// The same order, but requests of the same rank and stage are ordered by `precedence` first. Those
    /// that go on with a stream are not.
    pub fn order_by<P: Ord>(&self, now: Timestamp, precedence: impl Fn(&T) -> P) -> Vec<u64> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(number, (key, request))| {
                let (urgency, latest_first, number) = key.sort_key(*number, now);
                let precedence = (urgency.stage != Stage::Resumed).then(|| precedence(request));
                ((urgency, precedence, latest_first, number), number)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    /// Looks up a waiting request.
    pub fn get(&self, number: u64) -> Option<(&SchedulingKey, &T)> {
        let (key, request) = self.waiting.get(&number)?;
        Some((key, request))
    }
}

impl SchedulingKey {
    /// Urgency of the request at `now`.
    pub fn urgency(&self, now: Timestamp) -> Urgency {
        let stage = match (self.is_resumed, self.is_retry, self.on_time_until > now) {
            (true, _, _) => Stage::Resumed,
            (_, true, _) => Stage::Retry,
            (_, false, true) => Stage::OnTime,
            (_, false, false) => Stage::Late,
        };
        Urgency {
            rank: self.rank,
            stage,
        }
    }

    fn sort_key(&self, number: u64, now: Timestamp) -> (Urgency, Reverse<Timestamp>, u64) {
        let urgency = self.urgency(now);
        let latest_first = match urgency.stage {
            Stage::OnTime => self.on_time_until,
            Stage::Resumed | Stage::Retry | Stage::Late => Timestamp::START,
        };
        (urgency, Reverse(latest_first), number)
    }
}
