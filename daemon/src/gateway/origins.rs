//! Origins of the streams that callers may take up, at this gateway or another one.
//!
//! A gateway keeps the origins of its own streams in memory. While a service has several versions,
//! it saves them in the store, where all gateways find them, also after all have ended at once. The
//! versions themselves are saved always, so that a start knows whether there were others before it.

use {
    super::context::Context,
    crate::clock::Clock,
    derive_more::Display,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        fleet::{Member, Members},
        origin::{self, Origin, Table, Versions},
        time::Timestamp,
    },
    tamarackdale_wire::origin::Saved,
    tokio::time::sleep,
};

/// Time from the first change after a quiet time until it is saved. Streams begin in groups.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time after which the table is saved again without a change, well before its lease ends.
const KEEP_INTERVAL: Duration = Duration::from_secs(20);

/// Most streams that are saved, so that the entry stays within half of the store's limit of 1 MiB.
const MAX_SAVED: usize = 40_000;

/// Origins of streams, and the versions of services.
pub struct Origins {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    table: Table,
    versions: Versions,
    /// Whether what is in the store is this gateway's table.
    is_saved: bool,
    /// Number of saves that were passed to the follower.
    saves: u64,
    /// When the last of them was.
    saved_at: Timestamp,
}

/// Why the origin of a stream is not known.
#[derive(Clone, Copy, Debug, Display)]
pub enum Unknown {
    /// The store did not respond.
    #[display("the saved origins cannot be read")]
    Unreadable,
    /// No gateway has saved it, and the service has several versions.
    #[display("no gateway has saved it, and its service has several versions")]
    NotSaved,
}

impl Origins {
    /// Creates a table without streams.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                table: Table::new(),
                versions: Versions::new(),
                is_saved: false,
                saves: 0,
                saved_at: clock.now(),
            }),
        }
    }

    /// Records that a stream, which callers may take up until `until`, runs at a backend server. If
    /// another origin was recorded before, returns the number of the save that corrects it.
    pub fn record(&self, stream: u64, member: &Member, until: Timestamp) -> Option<u64> {
        let origin = Arc::new(member.origin());
        let mut state = self.lock();
        let has_moved = state.table.record(stream, origin, until);
        has_moved.then_some(state.saves + 1)
    }

    /// Removes a stream that brought no event.
    pub fn remove(&self, stream: u64) {
        self.lock().table.remove(stream);
    }

    /// Records the versions of the registered backend servers. Called at least every second.
    pub fn observe_servers(&self, members: &Members) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.versions.observe_servers(members, now);
        state.table.prune(now);
    }

    fn get(&self, stream: u64) -> Option<Arc<Origin>> {
        self.lock().table.get(stream).cloned()
    }

    /// What has changed since the last call and must be saved.
    fn changes_to_save(&self) -> Option<(u64, Saved)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_mixed = state.versions.is_mixed();
        let has_changed = state.table.take_changes() || !state.is_saved;
        state.is_saved = is_mixed;
        let has_new_version = state.versions.take_changes();
        let is_due = state.saves > 0 && now.since(state.saved_at) >= KEEP_INTERVAL;
        if !(is_mixed && has_changed || has_new_version || is_due) {
            return None;
        }
        state.saves += 1;
        state.saved_at = now;
        let mut streams = match is_mixed {
            true => state.table.by_origin(MAX_SAVED),
            false => BTreeMap::new(),
        };
        for version in state.versions.registered() {
            streams.entry(Arc::clone(version)).or_default();
        }
        Some((state.saves, streams.into()))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Passes changed origins to the follower, which saves them. Never returns.
pub async fn save(context: &Context) {
    loop {
        sleep(SETTLE_TIME).await;
        if let Some(changes) = context.origins.changes_to_save() {
            context.store.origins_to_save.send_replace(changes);
            sleep(save_interval(context).saturating_sub(SETTLE_TIME)).await;
        }
    }
}

/// Time after which a living gateway has saved the origins of the streams that it has begun.
pub fn save_interval(context: &Context) -> Duration {
    let (_, gateways) = context.known_peers().counts();
    origin::save_interval(gateways, context.settings.borrow().store_writes_per_s)
}

/// Finds where a stream began that its caller takes up. `stream` is `None` if the caller does not say
/// which one; `service` is the service that its route leads to.
///
/// A stream that nobody knows may go on if its service has had one version only, since before it can
/// have begun. What other gateways have saved tells of versions that this one has not seen.
pub async fn find(
    context: &Context,
    stream: Option<u64>,
    service: &str,
) -> Result<Arc<Origin>, Unknown> {
    let origins = &context.origins;
    if let Some(origin) = stream.and_then(|stream| origins.get(stream)) {
        return Ok(origin);
    }
    let saved = context.store.read_origins().await;
    let saved = saved.ok_or(Unknown::Unreadable)?;
    if let Some(origin) = stream.and_then(|stream| saved.streams.get(&stream)) {
        return Ok(Arc::clone(origin));
    }
    let now = origins.clock.now();
    let mut state = origins.lock();
    for origin in &saved.versions {
        state.versions.observe_report(origin, now);
    }
    let only = state.versions.only(service);
    only.cloned().ok_or(Unknown::NotSaved)
}
