//! Scheduling queue of the waiting requests of one process.
//!
//! Tiers are served in strict priority order. Within a tier, organisations share the tokens by
//! weight (start-time fair queueing), and within an organisation the earliest deadline goes first.
//! All operations are logarithmic in the number of waiting entries.

mod deadline_index;
mod drain_rate;
mod entry;
mod rank_queue;

pub use entry::{Entry, LatePolicy};

use {
    crate::{
        cost::Rates,
        failure::{Failure, Reason},
        id::Attempt,
        report::WaitingWork,
        tier::Rank,
        time::Timestamp,
    },
    deadline_index::DeadlineIndex,
    derive_more::{Display, FromStr},
    drain_rate::DrainRate,
    rank_queue::RankQueue,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Scheduling order of a queue.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Order {
    /// Strict tier priority, then fair between organisations, then earliest deadline first.
    #[default]
    Tiers,
    /// First in, first out across all tiers; no entry is dropped because of its deadline.
    FirstIn,
}

/// Capacity and scheduling order of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Scheduling order.
    pub order: Order,
    /// Maximum number of waiting entries.
    pub max_requests: usize,
    /// Maximum number of waiting tokens, to prefill and to generate together.
    pub max_tokens: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            order: Order::Tiers,
            max_requests: 10_000,
            max_tokens: 20_000_000,
        }
    }
}

/// Offset added to the deadline of postponed entries: later than any deadline, so that they sort
/// after all others of their flow.
const POSTPONED: Timestamp = Timestamp::from_micros(u64::MAX / 2);

/// What [`Queue::pop`] does with the entry at the head.
enum PopAction {
    Start,
    Postpone,
    Drop,
}

/// Position of an entry: its rank, its flow within the rank and its sort time within the flow.
struct Position {
    rank: Rank,
    flow: usize,
    time: Timestamp,
}

/// Waiting requests in the order in which they start.
pub struct Queue {
    settings: Settings,
    rank_queues: BTreeMap<Rank, RankQueue>,
    positions: HashMap<Attempt, Position>,
    deadlines: DeadlineIndex,
    drain_rate: DrainRate,
    /// Entries that [`Self::pop`] has passed over, until [`Self::expire`] returns them.
    expired: Vec<Entry>,
    tokens: u64,
    floor: Rank,
}

impl Queue {
    /// Creates an empty queue that accepts all ranks.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            rank_queues: BTreeMap::new(),
            positions: HashMap::new(),
            deadlines: DeadlineIndex::default(),
            drain_rate: DrainRate::default(),
            expired: Vec::new(),
            tokens: 0,
            floor: Rank::LAST,
        }
    }

    /// Adds an entry. Returns the entries that were evicted to make room: entries of less urgent
    /// ranks or, within the same rank, of an organisation with a larger backlog.
    ///
    /// Fails with [`Reason::Overload`] if the rank is less urgent than the floor, or if the queue
    /// is full and not enough entries can be evicted.
    pub fn push(&mut self, entry: Entry, now: Timestamp) -> Result<Vec<Entry>, Failure> {
        if self.floor.is_more_urgent_than(entry.rank) || !self.can_make_room(&entry) {
            return Err(self.overload(entry.rank));
        }
        let mut evicted = Vec::new();
        while !self.has_room(&entry) {
            let Some(victim) = self.evict_for(&entry) else {
                break;
            };
            evicted.push(victim);
        }
        if self.positions.is_empty() {
            self.drain_rate.resume(now);
        }
        self.insert(entry);
        Ok(evicted)
    }

    /// Removes and returns the next entry to start. Entries that can no longer meet their deadline
    /// are skipped: depending on [`Entry::late`], they are returned by the next [`Self::expire`],
    /// or moved behind the other entries of their organisation.
    pub fn pop(&mut self, now: Timestamp, rates: Rates) -> Option<Entry> {
        loop {
            let attempt = self.peek()?.attempt;
            match self.pop_action(attempt, now, rates)? {
                PopAction::Drop => {
                    let entry = self.take(attempt)?;
                    self.expired.push(entry);
                }
                PopAction::Postpone => self.postpone(attempt),
                PopAction::Start => return self.start(attempt, now),
            }
        }
    }

    fn pop_action(&self, attempt: Attempt, now: Timestamp, rates: Rates) -> Option<PopAction> {
        let entry = self.peek()?;
        let is_postponed = self.positions.get(&attempt)?.time >= POSTPONED;
        if self.settings.order == Order::FirstIn || is_postponed || !entry.is_late(now, rates) {
            return Some(PopAction::Start);
        }
        match entry.late {
            LatePolicy::Drop => Some(PopAction::Drop),
            LatePolicy::Finish => Some(PopAction::Postpone),
        }
    }

    fn start(&mut self, attempt: Attempt, now: Timestamp) -> Option<Entry> {
        let rank = self.positions.get(&attempt)?.rank;
        self.rank_queues.get_mut(&rank)?.charge_next();
        let entry = self.take(attempt)?;
        self.drain_rate.record(now, entry.cost.tokens());
        Some(entry)
    }

    /// Moves a late entry behind those of its organisation that can still meet their deadline.
    fn postpone(&mut self, attempt: Attempt) {
        if let Some(entry) = self.take(attempt) {
            let since = entry.deadline.since(Timestamp::START);
            self.insert_at(POSTPONED.plus(since), entry);
        }
    }

    /// The next entry to start, without removing it.
    pub fn peek(&self) -> Option<&Entry> {
        self.rank_queues.values().find_map(RankQueue::peek)
    }

    /// Removes the entries that are dropped because they can no longer meet their deadline at the
    /// given rates. Each is returned with the failure to respond with.
    pub fn expire(&mut self, now: Timestamp, rates: Rates) -> Vec<(Entry, Failure)> {
        let mut expired = std::mem::take(&mut self.expired);
        for attempt in self.deadlines.expired(now, rates) {
            expired.extend(self.take(attempt));
        }
        expired
            .into_iter()
            .map(|entry| {
                let failure = Failure::not_run(Reason::DeadlinePassed)
                    .with_retry_after(self.retry_after(entry.rank));
                (entry, failure)
            })
            .collect()
    }

    /// Removes the entry of an attempt.
    pub fn remove(&mut self, attempt: Attempt) -> Option<Entry> {
        self.take(attempt)
    }

    /// Whether the queue contains the entry of an attempt.
    pub fn contains(&self, attempt: Attempt) -> bool {
        self.positions.contains_key(&attempt)
    }

    /// Raises the floor: from now on, entries of ranks less urgent than `rank` are refused, and
    /// those already waiting are removed and returned. Does nothing if the floor is already at
    /// least as urgent.
    pub fn raise_floor(&mut self, rank: Rank) -> Vec<Entry> {
        if !rank.is_more_urgent_than(self.floor) {
            return Vec::new();
        }
        self.floor = rank;
        let attempts: Vec<Attempt> = self
            .rank_queues
            .range(Rank(rank.0.saturating_add(1))..)
            .filter(|(below, _)| rank.is_more_urgent_than(**below))
            .flat_map(|(_, rank_queue)| rank_queue.attempts())
            .collect();
        attempts
            .into_iter()
            .filter_map(|attempt| self.take(attempt))
            .collect()
    }

    /// Lowers the floor, so that ranks down to `rank` are accepted again.
    pub fn lower_floor(&mut self, rank: Rank) {
        self.floor = self.floor.max(rank);
    }

    /// The least urgent rank that is accepted.
    pub fn floor(&self) -> Rank {
        self.floor
    }

    /// Removes and returns all entries, most urgent first.
    pub fn drain(&mut self) -> Vec<Entry> {
        let mut entries = std::mem::take(&mut self.expired);
        while let Some(attempt) = self.peek().map(|entry| entry.attempt) {
            entries.extend(self.take(attempt));
        }
        entries
    }

    /// Number of waiting entries.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no entry is waiting.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Waiting work per rank, from the most urgent rank to the least urgent one with entries.
    pub fn work(&self) -> Vec<WaitingWork> {
        let mut work = Vec::new();
        for (rank, rank_queue) in &self.rank_queues {
            if !rank_queue.is_empty() {
                work.resize(usize::from(rank.0), WaitingWork::default());
                work.push(rank_queue.work());
            }
        }
        work
    }

    /// Retry delay for a refused request of this rank: the time in which the work queued ahead of
    /// it is processed, at the measured drain rate.
    pub fn retry_after(&self, rank: Rank) -> Duration {
        let tokens = self
            .rank_queues
            .range(..=rank)
            .map(|(_, rank_queue)| rank_queue.tokens());
        self.drain_rate.time_for(tokens.sum())
    }

    fn overload(&self, rank: Rank) -> Failure {
        Failure::not_run(Reason::Overload).with_retry_after(self.retry_after(rank))
    }

    fn has_room(&self, entry: &Entry) -> bool {
        self.positions.len() < self.settings.max_requests
            && self.tokens.saturating_add(entry.cost.tokens()) <= self.settings.max_tokens
    }

    /// Whether `entry` fits into the queue, after evictions if necessary.
    fn can_make_room(&self, entry: &Entry) -> bool {
        if self.has_room(entry) {
            return true;
        }
        let (requests, tokens) = self.evictable(entry);
        let requests_left = self.positions.len().saturating_sub(requests);
        let tokens_left = self.tokens.saturating_sub(tokens);
        requests_left < self.settings.max_requests
            && tokens_left.saturating_add(entry.cost.tokens()) <= self.settings.max_tokens
    }

    /// Number of requests and tokens that may be evicted for `entry`.
    fn evictable(&self, entry: &Entry) -> (usize, u64) {
        let below = self
            .rank_queues
            .range(entry.rank..)
            .skip_while(|(rank, _)| **rank == entry.rank);
        let (mut requests, mut tokens) =
            below.fold((0, 0), |(requests, tokens), (_, rank_queue)| {
                (requests + rank_queue.len(), tokens + rank_queue.tokens())
            });
        let candidate = self
            .rank_queues
            .get(&entry.rank)
            .and_then(|rank_queue| rank_queue.eviction_candidate_for(entry));
        if let Some(victim) = candidate {
            requests += 1;
            tokens += victim.cost.tokens();
        }
        (requests, tokens)
    }

    /// Evicts an entry of the least urgent rank if that is less urgent than the rank of `entry`;
    /// otherwise, one of the organisation with the largest backlog in the same rank.
    fn evict_for(&mut self, entry: &Entry) -> Option<Entry> {
        let (rank, rank_queue) = self
            .rank_queues
            .iter()
            .rev()
            .find(|(_, rank_queue)| !rank_queue.is_empty())?;
        let attempt = if entry.rank.is_more_urgent_than(*rank) {
            rank_queue.eviction_candidate()?.attempt
        } else {
            self.rank_queues
                .get(&entry.rank)?
                .eviction_candidate_for(entry)?
                .attempt
        };
        self.take(attempt)
    }

    fn insert(&mut self, entry: Entry) {
        match self.settings.order {
            Order::Tiers => self.insert_at(entry.deadline, entry),
            Order::FirstIn => self.insert_at(entry.enqueued, entry),
        }
    }

    fn insert_at(&mut self, time: Timestamp, entry: Entry) {
        self.tokens += entry.cost.tokens();
        let attempt = entry.attempt;
        let (rank, flow) = match self.settings.order {
            Order::Tiers => {
                self.deadlines.insert(&entry);
                let rank = entry.rank;
                (
                    rank,
                    self.rank_queues
                        .entry(rank)
                        .or_default()
                        .insert(entry, time),
                )
            }
            Order::FirstIn => {
                let rank_queue = self.rank_queues.entry(Rank::FIRST).or_default();
                (Rank::FIRST, rank_queue.insert_shared_flow(entry, time))
            }
        };
        self.positions
            .insert(attempt, Position { rank, flow, time });
    }

    fn take(&mut self, attempt: Attempt) -> Option<Entry> {
        let position = self.positions.remove(&attempt)?;
        let rank_queue = self.rank_queues.get_mut(&position.rank)?;
        let entry = rank_queue.remove(position.flow, (position.time, attempt))?;
        self.tokens -= entry.cost.tokens();
        self.deadlines.remove(&entry);
        Some(entry)
    }
}
