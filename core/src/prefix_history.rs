//! Estimate of which backend servers have which prompt prefixes in their cache.
//!
//! Backend servers are identified by slots, which the user of the history assigns: a router has one
//! slot for each sidecar, and a sidecar has a single slot.

use {
    crate::time::Timestamp,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Maximum number of recorded prefixes; the oldest is removed first.
const MAX_PREFIXES: usize = 65_536;

/// Maximum number of backend servers recorded for one prefix.
const MAX_HOLDERS: usize = 16;

/// Time after which an unused prefix is assumed to be evicted.
const RETENTION: Duration = Duration::from_secs(300);

/// A backend server that is assumed to have a prefix in its cache.
struct Holder {
    slot: usize,
    last_used: Timestamp,
}

/// History of this process's dispatches by prefix, corrected by eviction events.
#[derive(Default)]
pub struct PrefixHistory {
    holders: HashMap<u64, Vec<Holder>>,
    /// Prefixes in the order in which they were first recorded.
    insertion_order: VecDeque<u64>,
}

impl PrefixHistory {
    /// Records that a prompt with these prefixes is dispatched to a backend server.
    pub fn record_dispatch(&mut self, prefixes: &[u64], slot: usize, now: Timestamp) {
        for prefix in prefixes {
            if !self.holders.contains_key(prefix) {
                self.evict_if_full();
                self.insertion_order.push_back(*prefix);
            }
            let holders = self.holders.entry(*prefix).or_default();
            holders.retain(|holder| holder.slot != slot);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(Holder {
                slot,
                last_used: now,
            });
        }
    }

    /// Records that a backend server's cache has evicted a prefix.
    pub fn record_eviction(&mut self, prefix: u64, slot: usize) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Removes a backend server from all prefixes.
    pub fn clear_slot(&mut self, slot: usize) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Number of leading blocks that each of `slots` backend servers is assumed to have cached.
    pub fn blocks(&self, prefixes: &[u64], slots: usize, now: Timestamp) -> Vec<u32> {
        let mut blocks = vec![0; slots];
        for (depth, prefix) in (0..).zip(prefixes) {
            let holders = self.holders.get(prefix).map_or(&[][..], Vec::as_slice);
            let recent = holders
                .iter()
                .filter(|holder| now.since(holder.last_used) < RETENTION);
            let mut is_held = false;
            for holder in recent {
                if blocks[holder.slot] == depth {
                    blocks[holder.slot] = depth + 1;
                    is_held = true;
                }
            }
            if !is_held {
                break;
            }
        }
        blocks
    }

    /// Number of leading blocks that one backend server is assumed to have cached.
    pub fn blocks_at(&self, prefixes: &[u64], slot: usize) -> u32 {
        let is_held = |prefix: &&u64| {
            let holders = self.holders.get(prefix);
            holders.is_some_and(|holders| holders.iter().any(|holder| holder.slot == slot))
        };
        u32::try_from(prefixes.iter().take_while(is_held).count()).unwrap_or(u32::MAX)
    }

    fn evict_if_full(&mut self) {
        if self.insertion_order.len() < MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.holders.remove(&oldest);
        }
    }
}
