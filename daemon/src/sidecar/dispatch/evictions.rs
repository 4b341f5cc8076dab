//! Prefixes that the backend server's cache has evicted recently.

use {
    std::{collections::VecDeque, time::Duration},
    tamarackdale_core::time::Timestamp,
};

/// Time for which an eviction is reported; longer than the time between two reports.
const RETENTION: Duration = Duration::from_secs(2);

/// Maximum number of evictions in a report; the oldest are dropped.
const CAPACITY: usize = 256;

/// Recently evicted prefixes, oldest first.
#[derive(Default)]
pub struct Evictions {
    recent: VecDeque<(Timestamp, u64)>,
}

impl Evictions {
    /// Records an eviction.
    pub fn record(&mut self, prefix: u64, now: Timestamp) {
        if self.recent.len() == CAPACITY {
            self.recent.pop_front();
        }
        self.recent.push_back((now, prefix));
    }

    /// The prefixes evicted within the retention period.
    pub fn recent(&mut self, now: Timestamp) -> Vec<u64> {
        self.recent.retain(|(at, _)| now.since(*at) < RETENTION);
        self.recent.iter().map(|(_, prefix)| *prefix).collect()
    }
}
