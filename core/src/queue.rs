//! Waiting requests of one process, in the order in which they are to start.
//!
//! Tiers go in strict order. Within a tier the organisations share by weighted tokens (start-time
//! fair queueing), and within an organisation the earliest deadline goes first. All operations
//! are logarithmic in the number of waiting entries.

mod deadline;
mod drain;
mod entry;
mod level;

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
    deadline::Deadlines,
    derive_more::{Display, FromStr},
    drain::Drain,
    level::Level,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Order in which entries start.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Order {
    /// Strict tier order, fair between organisations, earliest deadline first.
    #[default]
    Tiers,
    /// First in, first out, whatever the tier; nothing is dropped for its deadline.
    FirstIn,
}

/// Bounds and order of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Order in which entries start.
    pub order: Order,
    /// Most entries that wait.
    pub max_requests: usize,
    /// Most tokens that wait, to prefill and to generate together.
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

/// Time in a flow from which on postponed entries stand, later than any deadline.
const POSTPONED: Timestamp = Timestamp::from_micros(u64::MAX / 2);

enum Urgency {
    InTurn,
    Late,
    Hopeless,
}

/// Where an entry stands: its level, its flow in the level and its time in the flow.
struct Place {
    rank: Rank,
    flow: usize,
    time: Timestamp,
}

/// Waiting requests in the order in which they are to start.
pub struct Queue {
    settings: Settings,
    levels: BTreeMap<Rank, Level>,
    places: HashMap<Attempt, Place>,
    deadlines: Deadlines,
    drain: Drain,
    hopeless: Vec<Entry>,
    tokens: u64,
    floor: Rank,
}

impl Queue {
    /// An empty queue that serves all ranks.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            levels: BTreeMap::new(),
            places: HashMap::new(),
            deadlines: Deadlines::default(),
            drain: Drain::default(),
            hopeless: Vec::new(),
            tokens: 0,
            floor: Rank::LAST,
        }
    }

    /// Takes in an entry. Returns the entries that were evicted for it: ones of less urgent ranks
    /// or, within its rank, ones of an organisation that waits with more than its share.
    ///
    /// Fails with [`Reason::Overload`] if its rank is below the floor or the queue is full of
    /// entries that come before it.
    pub fn push(&mut self, entry: Entry, now: Timestamp) -> Result<Vec<Entry>, Failure> {
        if self.floor.is_above(entry.rank) || !self.can_make_room(&entry) {
            return Err(self.overload(entry.rank));
        }
        let mut evicted = Vec::new();
        while !self.has_room(&entry) {
            let Some(victim) = self.evict_for(&entry) else {
                break;
            };
            evicted.push(victim);
        }
        self.drain.busy(now);
        self.insert(entry);
        Ok(evicted)
    }

    /// Takes out the next entry to start. Entries that cannot meet their deadline any more are
    /// passed over: the next [`Self::expire`] returns them or, if they are served all the same,
    /// they go after the others of their organisation.
    pub fn pop(&mut self, now: Timestamp, rates: Rates) -> Option<Entry> {
        loop {
            let attempt = self.peek()?.attempt;
            match self.urgency(attempt, now, rates)? {
                Urgency::Hopeless => {
                    let entry = self.take(attempt)?;
                    self.hopeless.push(entry);
                }
                Urgency::Late => self.postpone(attempt),
                Urgency::InTurn => return self.start(attempt, now),
            }
        }
    }

    fn urgency(&self, attempt: Attempt, now: Timestamp, rates: Rates) -> Option<Urgency> {
        let entry = self.peek()?;
        let is_postponed = self.places.get(&attempt)?.time >= POSTPONED;
        if self.settings.order == Order::FirstIn || is_postponed || !entry.is_late(now, rates) {
            return Some(Urgency::InTurn);
        }
        match entry.late {
            LatePolicy::Drop => Some(Urgency::Hopeless),
            LatePolicy::Finish => Some(Urgency::Late),
        }
    }

    fn start(&mut self, attempt: Attempt, now: Timestamp) -> Option<Entry> {
        let rank = self.places.get(&attempt)?.rank;
        self.levels.get_mut(&rank)?.charge_next();
        let entry = self.take(attempt)?;
        self.drain.record(now, entry.cost.tokens());
        Some(entry)
    }

    /// Moves a late entry behind those of its organisation that can still be in time.
    fn postpone(&mut self, attempt: Attempt) {
        if let Some(entry) = self.take(attempt) {
            let since = entry.deadline.since(Timestamp::START);
            self.insert_at(POSTPONED.plus(since), entry);
        }
    }

    /// The next entry to start, left in the queue.
    pub fn peek(&self) -> Option<&Entry> {
        self.levels.values().find_map(Level::peek)
    }

    /// Takes out the entries that can no longer meet their deadline at the given rates, each with
    /// the answer that is due to it now.
    pub fn expire(&mut self, now: Timestamp, rates: Rates) -> Vec<(Entry, Failure)> {
        let mut expired = std::mem::take(&mut self.hopeless);
        for attempt in self.deadlines.hopeless(now, rates) {
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

    /// Takes out one entry, wherever it stands.
    pub fn remove(&mut self, attempt: Attempt) -> Option<Entry> {
        self.take(attempt)
    }

    /// Whether the attempt waits here.
    pub fn contains(&self, attempt: Attempt) -> bool {
        self.places.contains_key(&attempt)
    }

    /// Raises the floor: ranks less urgent than `rank` are refused from now on, and those that
    /// wait are returned. Does nothing if the floor is as high already.
    pub fn raise_floor(&mut self, rank: Rank) -> Vec<Entry> {
        if !rank.is_above(self.floor) {
            return Vec::new();
        }
        self.floor = rank;
        let attempts: Vec<Attempt> = self
            .levels
            .range(Rank(rank.0.saturating_add(1))..)
            .filter(|(below, _)| rank.is_above(**below))
            .flat_map(|(_, level)| level.attempts())
            .collect();
        attempts
            .into_iter()
            .filter_map(|attempt| self.take(attempt))
            .collect()
    }

    /// Lowers the floor, so that ranks down to `rank` are taken in again.
    pub fn lower_floor(&mut self, rank: Rank) {
        self.floor = self.floor.max(rank);
    }

    /// The least urgent rank that is taken in.
    pub fn floor(&self) -> Rank {
        self.floor
    }

    /// Empties the queue, most urgent entries first.
    pub fn drain(&mut self) -> Vec<Entry> {
        let mut entries = std::mem::take(&mut self.hopeless);
        while let Some(attempt) = self.peek().map(|entry| entry.attempt) {
            entries.extend(self.take(attempt));
        }
        entries
    }

    /// Number of waiting entries.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Waiting work, one element per rank from the most urgent to the last that has work.
    pub fn work(&self) -> Vec<WaitingWork> {
        let mut work = Vec::new();
        for (rank, level) in &self.levels {
            if !level.is_empty() {
                work.resize(usize::from(rank.0), WaitingWork::default());
                work.push(level.work());
            }
        }
        work
    }

    /// When a refused request of this rank is worth sending again: once the work that waits
    /// before it is done, at the rate at which this queue has been drained.
    pub fn retry_after(&self, rank: Rank) -> Duration {
        let tokens = self.levels.range(..=rank).map(|(_, level)| level.tokens());
        self.drain.time_for(tokens.sum())
    }

    fn overload(&self, rank: Rank) -> Failure {
        Failure::not_run(Reason::Overload).with_retry_after(self.retry_after(rank))
    }

    fn has_room(&self, entry: &Entry) -> bool {
        self.places.len() < self.settings.max_requests
            && self.tokens.saturating_add(entry.cost.tokens()) <= self.settings.max_tokens
    }

    /// Whether evictions of entries that come after `entry` leave room for it.
    fn can_make_room(&self, entry: &Entry) -> bool {
        if self.has_room(entry) {
            return true;
        }
        let (requests, tokens) = self.removable(entry);
        let requests_left = self.places.len().saturating_sub(requests);
        let tokens_left = self.tokens.saturating_sub(tokens);
        requests_left < self.settings.max_requests
            && tokens_left.saturating_add(entry.cost.tokens()) <= self.settings.max_tokens
    }

    /// Requests and tokens that may be evicted for `entry`.
    fn removable(&self, entry: &Entry) -> (usize, u64) {
        let below = self
            .levels
            .range(entry.rank..)
            .skip_while(|(rank, _)| **rank == entry.rank);
        let (mut requests, mut tokens) = below.fold((0, 0), |(requests, tokens), (_, level)| {
            (requests + level.len(), tokens + level.tokens())
        });
        let excess = self
            .levels
            .get(&entry.rank)
            .and_then(|level| level.excess(entry));
        if let Some(victim) = excess {
            requests += 1;
            tokens += victim.cost.tokens();
        }
        (requests, tokens)
    }

    /// Evicts the last entry of the least urgent rank below the one of `entry`, else one of the
    /// organisation that waits with most in its rank.
    fn evict_for(&mut self, entry: &Entry) -> Option<Entry> {
        let (rank, level) = self
            .levels
            .iter()
            .rev()
            .find(|(_, level)| !level.is_empty())?;
        let attempt = if entry.rank.is_above(*rank) {
            level.last()?.attempt
        } else {
            self.levels.get(&entry.rank)?.excess(entry)?.attempt
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
                    self.levels.entry(rank).or_default().insert(entry, time),
                )
            }
            Order::FirstIn => {
                let level = self.levels.entry(Rank::FIRST).or_default();
                (Rank::FIRST, level.insert_unshared(entry, time))
            }
        };
        self.places.insert(attempt, Place { rank, flow, time });
    }

    fn take(&mut self, attempt: Attempt) -> Option<Entry> {
        let place = self.places.remove(&attempt)?;
        let level = self.levels.get_mut(&place.rank)?;
        let entry = level.remove(place.flow, (place.time, attempt))?;
        self.tokens -= entry.cost.tokens();
        self.deadlines.remove(&entry);
        Some(entry)
    }
}
