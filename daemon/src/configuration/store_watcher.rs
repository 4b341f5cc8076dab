//! Follows documents in the key-value store.
//!
//! A process that is a watcher uses a watch and periodic reads. Any other process reads the store
//! only while it has no live digest stream.

use {
    super::{Context, catalogue_writer::DocumentUpdate},
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tamarackdale_store::{
        key,
        kv::{self, Change},
    },
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Target of this module's log lines; part of the log format, so it does not follow the file name.
const LOG_TARGET: &str = "tamarackdaled::configuration::follower";

/// Interval between reads for changes that the watch may have missed.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a broken watch is reopened.
const REOPEN_BACKOFF: Duration = Duration::from_millis(250);

/// Time without any live digest stream after which a process reads the store itself.
const ISOLATION_LIMIT: Duration = Duration::from_secs(1);

/// Follows the store as long as the process runs.
pub(super) async fn run(context: &Context) {
    let mut watcher = StoreWatcher {
        context,
        newest: 0,
        is_reachable: true,
    };
    let mut last_connected = Instant::now();
    loop {
        if context.live_streams.load(Ordering::SeqCst) > 0 {
            last_connected = Instant::now();
        }
        if context.view.borrow().is_watcher {
            watcher.watch().await;
            sleep(REOPEN_BACKOFF).await;
            continue;
        }
        if last_connected.elapsed() >= ISOLATION_LIMIT {
            watcher.read().await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

struct StoreWatcher<'a> {
    context: &'a Context,
    /// Newest document revision received by read or watch.
    newest: i64,
    /// Whether the last call succeeded.
    is_reachable: bool,
}

impl StoreWatcher<'_> {
    /// Watches until the watch ends or falls behind the reads, or this process is no longer a
    /// watcher.
    async fn watch(&mut self) {
        // Earlier changes are read at once instead of at the first tick.
        if !self.read().await {
            return;
        }
        let opened = self
            .context
            .store
            .watch(key::DOCUMENTS, self.newest + 1)
            .await;
        let Some(mut watch) = self.track_reachability(opened) else {
            return;
        };
        let mut watched = self.newest;
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks.reset();
        loop {
            tokio::select! {
                change = watch.next() => match self.handle_change(change).await {
                    Some(revision) => watched = watched.max(revision),
                    None => return,
                },
                _ = ticks.tick() => {
                    // The watch should have delivered what the previous read found.
                    if watched < self.newest {
                        log::warn!(
                            target: LOG_TARGET,
                            told = watched,
                            seen = self.newest;
                            "watch of the key-value store has fallen behind; reopening it"
                        );
                        return;
                    }
                    self.read().await;
                    if !self.context.view.borrow().is_watcher {
                        return;
                    }
                }
            }
        }
    }

    /// Processes a change from the watch and returns its revision; `None` if the watch has ended.
    async fn handle_change(&mut self, change: Result<Change, kv::Error>) -> Option<i64> {
        match self.track_reachability(change)? {
            Change::Put(entry) => {
                let revision = entry.revision;
                self.submit(&entry).await;
                Some(revision)
            }
            Change::Delete { revision, .. } | Change::Progress { revision } => Some(revision),
        }
    }

    /// Reads documents newer than any received so far. Returns whether the read succeeded.
    async fn read(&mut self) -> bool {
        let newer = self
            .context
            .store
            .list_newer(key::DOCUMENTS, self.newest)
            .await;
        let Some(entries) = self.track_reachability(newer) else {
            return false;
        };
        for entry in &entries {
            self.submit(entry).await;
        }
        true
    }

    async fn submit(&mut self, entry: &kv::Entry) {
        self.newest = self.newest.max(entry.revision);
        if let Some(update) = DocumentUpdate::from_entry(entry) {
            self.context.submit(update).await;
        }
    }

    /// Returns the value of a successful call, and logs when the store becomes unreachable or
    /// reachable again.
    fn track_reachability<T>(&mut self, result: Result<T, kv::Error>) -> Option<T> {
        let was_reachable = self.is_reachable;
        self.is_reachable = result.is_ok();
        match result {
            Ok(value) => {
                if !was_reachable {
                    log::info!(target: LOG_TARGET, "key-value store is reachable again");
                }
                Some(value)
            }
            Err(error) => {
                if was_reachable {
                    log::warn!(
                        target: LOG_TARGET,
                        "key-value store call failed; document changes not followed: {error}"
                    );
                }
                None
            }
        }
    }
}
