//! Which backend servers are likely to have which prefixes cached.
//!
//! Backend servers are numbered by their user: a router by its slots for sidecars, a sidecar has
//! but one.

use {
    crate::time::Timestamp,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Prefixes remembered; the oldest is forgotten first.
const MAX_PREFIXES: usize = 65_536;

/// Backend servers remembered for one prefix.
const MAX_HOLDERS: usize = 16;

/// Time after which an unused prefix is taken to be evicted.
const RETENTION: Duration = Duration::from_secs(300);

struct Holder {
    slot: usize,
    used: Timestamp,
}

/// History of own dispatches by prefix, corrected by eviction events.
#[derive(Default)]
pub struct PrefixHistory {
    holders: HashMap<u64, Vec<Holder>>,
    order: VecDeque<u64>,
}

impl PrefixHistory {
    /// Notes that a prompt with these prefixes goes to a backend server.
    pub fn record_dispatch(&mut self, prefixes: &[u64], slot: usize, now: Timestamp) {
        for prefix in prefixes {
            if !self.holders.contains_key(prefix) {
                self.make_room();
                self.order.push_back(*prefix);
            }
            let holders = self.holders.entry(*prefix).or_default();
            holders.retain(|holder| holder.slot != slot);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(Holder { slot, used: now });
        }
    }

    /// Notes that a backend server's cache has evicted a prefix.
    pub fn record_eviction(&mut self, prefix: u64, slot: usize) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Forgets all that a backend server has cached.
    pub fn clear_slot(&mut self, slot: usize) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Leading blocks that each of `slots` backend servers is believed to hold.
    pub fn blocks(&self, prefixes: &[u64], slots: usize, now: Timestamp) -> Vec<u32> {
        let mut blocks = vec![0; slots];
        for (depth, prefix) in (0..).zip(prefixes) {
            let holders = self.holders.get(prefix).map_or(&[][..], Vec::as_slice);
            let fresh = holders
                .iter()
                .filter(|holder| now.since(holder.used) < RETENTION);
            let mut is_held = false;
            for holder in fresh {
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

    /// Leading blocks that one backend server is believed to hold.
    pub fn blocks_at(&self, prefixes: &[u64], slot: usize) -> u32 {
        let is_held = |prefix: &&u64| {
            let holders = self.holders.get(prefix);
            holders.is_some_and(|holders| holders.iter().any(|holder| holder.slot == slot))
        };
        u32::try_from(prefixes.iter().take_while(is_held).count()).unwrap_or(u32::MAX)
    }

    fn make_room(&mut self) {
        if self.order.len() < MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.holders.remove(&oldest);
        }
    }
}
