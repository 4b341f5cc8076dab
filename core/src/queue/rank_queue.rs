//! Waiting entries of one rank, scheduled by start-time fair queueing between organisations.

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

/// Resolution of virtual time: units per token at weight one.
const UNITS_PER_TOKEN: u64 = 1024;

/// Maximum number of organisations whose shares are reported, those with the largest backlog first.
const REPORTED_SHARES: usize = 8;

type EntryKey = (Timestamp, Attempt);

/// Waiting entries of one organisation.
struct Flow {
    /// xxh3 hash of the organisation's name.
    organisation: u64,
    weight: u32,
    /// Virtual start time of the flow's next entry.
    start: u64,
    tokens: u64,
    entries: BTreeMap<EntryKey, Entry>,
}

impl Flow {
    fn backlog(&self) -> u64 {
        self.tokens * UNITS_PER_TOKEN / u64::from(self.weight)
    }
}

/// Waiting entries of one rank. The flow with the earliest virtual start time goes first.
#[derive(Default)]
pub(super) struct RankQueue {
    flow_by_organisation: HashMap<String, usize>,
    flows: Vec<Flow>,
    by_start: BTreeSet<(u64, usize)>,
    by_backlog: BTreeSet<(u64, usize)>,
    virtual_time: u64,
    requests: usize,
    prefill_tokens: u64,
    decode_tokens: u64,
}

impl RankQueue {
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
            requests: saturating_u32(self.requests as u64),
            prefill_tokens: saturating_u32(self.prefill_tokens),
            decode_tokens: saturating_u32(self.decode_tokens),
            shares: self.shares(),
        }
    }

    /// Adds the entry to the flow of its organisation. Returns the index of the flow.
    pub(super) fn insert(&mut self, entry: Entry, time: Timestamp) -> usize {
        let index = self.flow_index(&entry.organisation);
        self.insert_into(index, entry, time);
        index
    }

    /// Adds the entry to a flow that is common to all organisations. Returns the index of the flow.
    pub(super) fn insert_shared_flow(&mut self, entry: Entry, time: Timestamp) -> usize {
        let index = self.flow_index("");
        self.insert_into(index, entry, time);
        index
    }

    fn insert_into(&mut self, index: usize, entry: Entry, time: Timestamp) {
        self.remove_from_indexes(index);
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
        self.add_to_indexes(index);
    }

    pub(super) fn remove(&mut self, index: usize, key: EntryKey) -> Option<Entry> {
        self.remove_from_indexes(index);
        let flow = self.flows.get_mut(index)?;
        let entry = flow.entries.remove(&key);
        if let Some(entry) = &entry {
            flow.tokens -= entry.cost.tokens();
            self.requests -= 1;
            self.prefill_tokens -= u64::from(entry.cost.prefill_tokens);
            self.decode_tokens -= u64::from(entry.cost.decode_tokens);
        }
        self.add_to_indexes(index);
        entry
    }

    /// The next entry to start.
    pub(super) fn peek(&self) -> Option<&Entry> {
        let (_, index) = self.by_start.first()?;
        let (_, entry) = self.flows[*index].entries.first_key_value()?;
        Some(entry)
    }

    /// Charges the tokens of the next entry to its flow and advances the virtual time.
    pub(super) fn charge_next(&mut self) {
        let Some((start, index)) = self.by_start.first().copied() else {
            return;
        };
        self.remove_from_indexes(index);
        self.virtual_time = self.virtual_time.max(start);
        let flow = &mut self.flows[index];
        let tokens = flow
            .entries
            .first_key_value()
            .map_or(0, |(_, entry)| entry.cost.tokens());
        flow.start += tokens * UNITS_PER_TOKEN / u64::from(flow.weight);
        self.add_to_indexes(index);
    }

    /// The entry to evict first: the one with the latest deadline in the flow with the largest
    /// backlog.
    pub(super) fn eviction_candidate(&self) -> Option<&Entry> {
        let (_, index) = self.by_backlog.last()?;
        let (_, entry) = self.flows[*index].entries.last_key_value()?;
        Some(entry)
    }

    /// The entry to evict in favour of `entry`, from the organisation with the largest backlog.
    /// `None` if the organisation of `entry` has the largest backlog, or would have it with `entry`
    /// included.
    pub(super) fn eviction_candidate_for(&self, entry: &Entry) -> Option<&Entry> {
        let (largest, index) = self.by_backlog.last().copied()?;
        let own = self.flow_by_organisation.get(&entry.organisation).copied();
        let waiting = own.map_or(0, |own| self.flows[own].tokens);
        let weight = u64::from(entry.weight.max(1));
        let backlog = (waiting + entry.cost.tokens()) * UNITS_PER_TOKEN / weight;
        if own == Some(index) || backlog >= largest {
            return None;
        }
        self.eviction_candidate()
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
                tokens: saturating_u32(flow.tokens),
            })
            .collect()
    }

    fn flow_index(&mut self, organisation: &str) -> usize {
        if let Some(index) = self.flow_by_organisation.get(organisation) {
            return *index;
        }
        let index = self.flows.len();
        self.flow_by_organisation
            .insert(organisation.to_owned(), index);
        self.flows.push(Flow {
            organisation: xxh3_64(organisation.as_bytes()),
            weight: 1,
            start: self.virtual_time,
            tokens: 0,
            entries: BTreeMap::new(),
        });
        index
    }

    fn remove_from_indexes(&mut self, index: usize) {
        let flow = &self.flows[index];
        self.by_start.remove(&(flow.start, index));
        self.by_backlog.remove(&(flow.backlog(), index));
    }

    fn add_to_indexes(&mut self, index: usize) {
        let flow = &self.flows[index];
        if !flow.entries.is_empty() {
            self.by_start.insert((flow.start, index));
            self.by_backlog.insert((flow.backlog(), index));
        }
    }
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
