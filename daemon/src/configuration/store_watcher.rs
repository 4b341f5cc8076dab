//! Follows the key-value service: by watch and reads where this process watches, by reads alone
//! where it follows nobody.

use {
    super::{Context, catalogue_writer::Offer},
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

/// Target of the log lines, which operators filter by.
const LOG_TARGET: &str = "tamarackdaled::configuration::follower";

/// Time between two reads for what the watch may have missed.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Pause before a broken watch is opened again.
const REOPEN_BACKOFF: Duration = Duration::from_millis(250);

/// Time without any live stream of digests after which a process reads the store itself.
const ORPHAN_LIMIT: Duration = Duration::from_secs(1);

/// Follows the store as long as the process runs.
pub(super) async fn run(context: &Context) {
    let mut follower = Follower {
        context,
        seen: 0,
        is_reachable: true,
    };
    let mut connected = Instant::now();
    loop {
        if context.followed.load(Ordering::SeqCst) > 0 {
            connected = Instant::now();
        }
        if context.view.borrow().is_watcher {
            follower.watch().await;
            sleep(REOPEN_BACKOFF).await;
            continue;
        }
        if connected.elapsed() >= ORPHAN_LIMIT {
            follower.read().await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

struct Follower<'a> {
    context: &'a Context,
    /// Newest revision of a document read or told.
    seen: i64,
    /// Whether the last call was answered.
    is_reachable: bool,
}

impl Follower<'_> {
    /// Watches until the watch ends or falls silent, or others watch instead.
    async fn watch(&mut self) {
        // What was missed before the watch is read at once, not with the first tick.
        if !self.read().await {
            return;
        }
        let opened = self
            .context
            .store
            .watch(key::DOCUMENTS, self.seen + 1)
            .await;
        let Some(mut watch) = self.answered(opened) else {
            return;
        };
        let mut told = self.seen;
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks.reset();
        loop {
            tokio::select! {
                change = watch.next() => match self.take(change).await {
                    Some(revision) => told = told.max(revision),
                    None => return,
                },
                _ = ticks.tick() => {
                    if told < self.seen {
                        log::warn!(target: LOG_TARGET, told, seen = self.seen; "the watch is silent");
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

    /// Takes a change told by the watch and returns its revision; `None` if the watch has ended.
    async fn take(&mut self, change: Result<Change, kv::Error>) -> Option<i64> {
        match self.answered(change)? {
            Change::Put(entry) => {
                let revision = entry.revision;
                self.offer(&entry).await;
                Some(revision)
            }
            Change::Delete { revision, .. } | Change::Progress { revision } => Some(revision),
        }
    }

    /// Reads what is newer than all that was seen; whether the store answered.
    async fn read(&mut self) -> bool {
        let newer = self
            .context
            .store
            .list_newer(key::DOCUMENTS, self.seen)
            .await;
        let Some(entries) = self.answered(newer) else {
            return false;
        };
        for entry in &entries {
            self.offer(entry).await;
        }
        true
    }

    async fn offer(&mut self, entry: &kv::Entry) {
        self.seen = self.seen.max(entry.revision);
        if let Some(offer) = Offer::of_entry(entry) {
            self.context.offer(offer).await;
        }
    }

    /// The answer of a call; logs when the store comes and goes.
    fn answered<T>(&mut self, result: Result<T, kv::Error>) -> Option<T> {
        let was_reachable = self.is_reachable;
        self.is_reachable = result.is_ok();
        match result {
            Ok(answer) => {
                if !was_reachable {
                    log::info!(target: LOG_TARGET, "the store answers again");
                }
                Some(answer)
            }
            Err(error) => {
                if was_reachable {
                    log::warn!(target: LOG_TARGET, "documents not followed: {error}");
                }
                None
            }
        }
    }
}
