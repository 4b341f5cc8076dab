//! Prefixes that the backend server's cache has evicted lately.

use {
    std::{collections::VecDeque, time::Duration},
    tamarackdale_core::time::Timestamp,
};

/// Time for which an eviction is reported; longer than the time between two reports.
const RETENTION: Duration = Duration::from_secs(2);

/// Most evictions reported at once; the oldest are left out.
const CAPACITY: usize = 256;

/// Prefixes evicted lately, oldest first.
#[derive(Default)]
pub struct Evictions {
    recent: VecDeque<(Timestamp, u64)>,
}

impl Evictions {
    /// Notes an eviction.
    pub fn add(&mut self, prefix: u64, now: Timestamp) {
        if self.recent.len() == CAPACITY {
            self.recent.pop_front();
        }
        self.recent.push_back((now, prefix));
    }

    /// The prefixes evicted lately.
    pub fn recent(&mut self, now: Timestamp) -> Vec<u64> {
        self.recent.retain(|(at, _)| now.since(*at) < RETENTION);
        self.recent.iter().map(|(_, prefix)| *prefix).collect()
    }
}
