//! The engine's prefix cache.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Instant,
};

/// Changes of the cache that a subscriber can still ask for.
const LOG_LENGTH: usize = 4_096;

/// A change of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// The block with this prefix hash was stored.
    Stored(u64),
    /// The block with this prefix hash was evicted.
    Evicted(u64),
}

/// A bounded set of prefix hashes, of which the least recently used goes first.
pub(crate) struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    first_logged: u64,
    log: VecDeque<(Instant, Change)>,
}

impl Cache {
    /// An empty cache of `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            first_logged: 0,
            log: VecDeque::new(),
        }
    }

    /// Blocks held.
    pub(crate) fn len(&self) -> usize {
        self.used.len()
    }

    /// Number of leading blocks of a prompt that are held; they count as used now.
    pub(crate) fn hit(&mut self, prefixes: &[u64]) -> usize {
        let held = prefixes
            .iter()
            .take_while(|prefix| self.used.contains_key(prefix))
            .count();
        for prefix in prefixes[..held].iter().rev() {
            self.touch(*prefix);
        }
        held
    }

    /// Stores the blocks of a prompt, the longest prefix as the one to evict first.
    pub(crate) fn store(&mut self, prefixes: &[u64]) {
        for prefix in prefixes.iter().rev() {
            if self.touch(*prefix) {
                self.record(Change::Stored(*prefix));
            }
        }
        while self.used.len() > self.capacity {
            self.evict();
        }
    }

    /// The change with this number: `None` when it is not made yet, an inner `None` when it is
    /// too long ago.
    pub(crate) fn change(&self, number: u64) -> Option<Option<(Instant, Change)>> {
        match number.checked_sub(self.first_logged) {
            None => Some(None),
            Some(index) => self.log.get(index as usize).copied().map(Some),
        }
    }

    fn touch(&mut self, prefix: u64) -> bool {
        self.clock += 1;
        let before = self.used.insert(prefix, self.clock);
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, prefix);
        before.is_none()
    }

    fn evict(&mut self) {
        let Some((_, prefix)) = self.order.pop_first() else {
            return;
        };
        self.used.remove(&prefix);
        self.record(Change::Evicted(prefix));
    }

    fn record(&mut self, change: Change) {
        self.log.push_back((Instant::now(), change));
        if self.log.len() > LOG_LENGTH {
            self.log.pop_front();
            self.first_logged += 1;
        }
    }
}
