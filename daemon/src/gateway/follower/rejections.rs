//! Log of entries that cannot be used. Another program may write the same ones again and again.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tamarackdale_platform::store::Unreadable,
};

/// Time after which an entry that still cannot be used is logged again.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Most keys that are remembered; bounds the memory, and the lines within one interval.
const MAX_KEYS: usize = 1_000;

/// Entries that could not be used, by key, each with the time at which it was logged.
#[derive(Debug, Default)]
pub(super) struct Rejections {
    logged: HashMap<String, Instant>,
}

impl Rejections {
    /// Creates a log without entries.
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Logs an entry that cannot be used, unless one under the same key was logged recently.
    /// `what` says what the entry should be.
    pub(super) fn log(&mut self, what: &str, key: &str, reason: impl std::fmt::Display) {
        if self.logged.contains_key(key) || self.logged.len() >= MAX_KEYS {
            self.logged.retain(|_, at| at.elapsed() < LOG_INTERVAL);
        }
        if self.logged.contains_key(key) || self.logged.len() >= MAX_KEYS {
            return;
        }
        self.logged.insert(key.to_owned(), Instant::now());
        log::warn!(key; "skipping an invalid {what}: {reason}");
    }

    /// Logs an item that cannot be read.
    pub(super) fn log_unreadable(&mut self, what: &str, item: &Unreadable) {
        self.log(what, item.key.as_deref().unwrap_or_default(), item);
    }
}
