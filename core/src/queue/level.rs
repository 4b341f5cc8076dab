//! Waiting entries of one rank, shared fairly between organisations.

use {
    super::Entry,
    crate::{
        id::Attempt,
        report::{Share, WaitingWork},
        time::Timestamp,
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
    xxhash_rust::xxh3::xxh3_64,
};

/// Resolution of virtual time, in units per token of weight one.
const UNITS_PER_TOKEN: u64 = 1024;

/// Shares of organisations that are reported, the largest first.
const REPORTED_SHARES: usize = 8;

type Key = (Timestamp, Attempt);

struct Flow {
    organisation: u64,
    weight: u32,
    /// Virtual time at which the flow's next entry starts.
    start: u64,
    tokens: u64,
    entries: BTreeMap<Key, Entry>,
}

impl Flow {
    fn backlog(&self) -> u64 {
        self.tokens * UNITS_PER_TOKEN / u64::from(self.weight)
    }
}

/// Waiting entries of one rank; the flow with the earliest virtual start goes first.
#[derive(Default)]
pub(super) struct Level {
    names: HashMap<String, usize>,
    flows: Vec<Flow>,
    by_start: BTreeSet<(u64, usize)>,
    by_backlog: BTreeSet<(u64, usize)>,
    virtual_time: u64,
    requests: usize,
    prefill_tokens: u64,
    decode_tokens: u64,
}

impl Level {
    pub(super) fn is_empty(&self) -> bool {
        self.requests == 0
    }

    pub(super) fn len(&self) -> usize {
        self.requests
    }

    pub(super) fn tokens(&self) -> u64 {
        self.prefill_tokens + self.decode_tokens
    }

    pub(super) fn work(&self) -> WaitingWork {
        WaitingWork {
            requests: saturate(self.requests as u64),
            prefill_tokens: saturate(self.prefill_tokens),
            decode_tokens: saturate(self.decode_tokens),
            shares: self.shares(),
        }
    }

    /// Puts the entry into its organisation's flow, whose number is returned.
    pub(super) fn insert(&mut self, entry: Entry, time: Timestamp) -> usize {
        let index = self.flow_of(&entry.organisation);
        self.insert_into(index, entry, time);
        index
    }

    /// Puts the entry into the flow that all organisations have in common.
    pub(super) fn insert_unshared(&mut self, entry: Entry, time: Timestamp) -> usize {
        let index = self.flow_of("");
        self.insert_into(index, entry, time);
        index
    }

    fn insert_into(&mut self, index: usize, entry: Entry, time: Timestamp) {
        self.unlist(index);
        self.requests += 1;
        self.prefill_tokens += u64::from(entry.cost.prefill_tokens);
        self.decode_tokens += u64::from(entry.cost.decode_tokens);
        let flow = &mut self.flows[index];
        if flow.entries.is_empty() {
            flow.start = flow.start.max(self.virtual_time);
        }
        flow.weight = entry.weight.max(1);
        flow.tokens += entry.cost.tokens();
        flow.entries.insert((time, entry.attempt), entry);
        self.list(index);
    }

    pub(super) fn remove(&mut self, index: usize, key: Key) -> Option<Entry> {
        self.unlist(index);
        let flow = self.flows.get_mut(index)?;
        let entry = flow.entries.remove(&key);
        if let Some(entry) = &entry {
            flow.tokens -= entry.cost.tokens();
            self.requests -= 1;
            self.prefill_tokens -= u64::from(entry.cost.prefill_tokens);
            self.decode_tokens -= u64::from(entry.cost.decode_tokens);
        }
        self.list(index);
        entry
    }

    /// The entry that starts next.
    pub(super) fn peek(&self) -> Option<&Entry> {
        let (_, index) = self.by_start.first()?;
        let (_, entry) = self.flows[*index].entries.first_key_value()?;
        Some(entry)
    }

    /// Accounts the entry that starts next to its flow.
    pub(super) fn charge_next(&mut self) {
        let Some((start, index)) = self.by_start.first().copied() else {
            return;
        };
        self.unlist(index);
        self.virtual_time = self.virtual_time.max(start);
        let flow = &mut self.flows[index];
        let tokens = flow
            .entries
            .first_key_value()
            .map_or(0, |(_, entry)| entry.cost.tokens());
        flow.start += tokens * UNITS_PER_TOKEN / u64::from(flow.weight);
        self.list(index);
    }

    /// The entry to lose first: the latest deadline of the flow with the largest backlog.
    pub(super) fn last(&self) -> Option<&Entry> {
        let (_, index) = self.by_backlog.last()?;
        let (_, entry) = self.flows[*index].entries.last_key_value()?;
        Some(entry)
    }

    /// The entry to lose in favour of `entry`, if its organisation would still wait with less
    /// than the one that loses.
    pub(super) fn excess(&self, entry: &Entry) -> Option<&Entry> {
        let (largest, index) = self.by_backlog.last().copied()?;
        let own = self.names.get(&entry.organisation).copied();
        let waiting = own.map_or(0, |own| self.flows[own].tokens);
        let weight = u64::from(entry.weight.max(1));
        let backlog = (waiting + entry.cost.tokens()) * UNITS_PER_TOKEN / weight;
        if own == Some(index) || backlog >= largest {
            return None;
        }
        self.last()
    }

    pub(super) fn attempts(&self) -> impl Iterator<Item = Attempt> {
        self.flows
            .iter()
            .flat_map(|flow| flow.entries.keys().map(|(_, attempt)| *attempt))
    }

    fn shares(&self) -> Vec<Share> {
        self.by_backlog
            .iter()
            .rev()
            .take(REPORTED_SHARES)
            .map(|(_, index)| &self.flows[*index])
            .map(|flow| Share {
                organisation: flow.organisation,
                weight: flow.weight,
                tokens: saturate(flow.tokens),
            })
            .collect()
    }

    fn flow_of(&mut self, organisation: &str) -> usize {
        if let Some(index) = self.names.get(organisation) {
            return *index;
        }
        let index = self.flows.len();
        self.names.insert(organisation.to_owned(), index);
        self.flows.push(Flow {
            organisation: xxh3_64(organisation.as_bytes()),
            weight: 1,
            start: self.virtual_time,
            tokens: 0,
            entries: BTreeMap::new(),
        });
        index
    }

    fn unlist(&mut self, index: usize) {
        let flow = &self.flows[index];
        self.by_start.remove(&(flow.start, index));
        self.by_backlog.remove(&(flow.backlog(), index));
    }

    fn list(&mut self, index: usize) {
        let flow = &self.flows[index];
        if !flow.entries.is_empty() {
            self.by_start.insert((flow.start, index));
            self.by_backlog.insert((flow.backlog(), index));
        }
    }
}

fn saturate(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
