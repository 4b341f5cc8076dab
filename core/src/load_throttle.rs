//! Loads that routers of other cells need not hear of at once.
//!
//! A router sends few requests to the backend servers of other cells, and only to free slots. It needs to
//! know the load of a server soon only while few of the server's slots are free.

use {
    crate::{
        fleet::{Contribution, Load},
        time::Timestamp,
    },
    std::{collections::HashMap, time::Duration},
};

/// Largest fraction of free slots at which each change of a server's load is sent.
const SHORT_FRACTION: f64 = 0.25;

/// Interval between the summaries that have the changes at all other servers.
const INTERVAL: Duration = Duration::from_secs(1);

/// The loads that a group of peers was told, which may be older than the present ones.
#[derive(Debug, Default)]
pub struct LoadThrottle {
    told: HashMap<String, Load>,
    /// When the changes at all servers were last sent, or when the group began.
    all_sent: Option<Timestamp>,
}

impl LoadThrottle {
    /// A throttle of a group that was told nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the loads that need not be told yet by those that were told, for a summary that is sent
    /// to the whole group. Entries that say nothing are removed. `free_fraction` is that of a server's
    /// slots, by what this router knows of all routers.
    pub fn apply(
        &mut self,
        entries: &mut Vec<Contribution>,
        free_fraction: impl Fn(&str) -> Option<f64>,
        now: Timestamp,
    ) {
        // A group begins with a change, often a request that ends soon: its load would be told for a second.
        let is_due = now.since(*self.all_sent.get_or_insert(now)) >= INTERVAL;
        if is_due {
            self.all_sent = Some(now);
        }
        entries.retain_mut(|entry| {
            let told = self.told.get_mut(&entry.id);
            let has_changed = told.as_ref().is_none_or(|told| **told != entry.load);
            let is_short = || free_fraction(&entry.id).is_none_or(|free| free <= SHORT_FRACTION);
            if has_changed && !is_due && !is_short() {
                entry.load = told.as_deref().copied().unwrap_or_default();
            }
            match told {
                Some(told) => *told = entry.load,
                None if says_nothing(entry) => return false,
                None => {
                    self.told.insert(entry.id.clone(), entry.load);
                }
            }
            true
        });
        if self.told.len() > entries.len() {
            let is_known = |id: &str| entries.binary_search_by(|entry| entry.id.as_str().cmp(id));
            self.told.retain(|id, _| is_known(id).is_ok());
        }
    }

    /// Replaces all loads by those that the group was told, for a full summary to one peer: changes sent
    /// later refer to these. Entries that say nothing are removed for a peer that `knows_nothing`. Another
    /// one may know loads from the time when it was in another group, which must be replaced.
    pub fn replace_by_told(&self, entries: &mut Vec<Contribution>, knows_nothing: bool) {
        entries.retain_mut(|entry| {
            let told = self.told.get(&entry.id);
            entry.load = told.copied().unwrap_or_default();
            !knows_nothing || told.is_some() || !says_nothing(entry)
        });
    }
}

fn says_nothing(entry: &Contribution) -> bool {
    entry.load == Load::default() && entry.speed.is_none()
}
