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
        collections::{BTreeMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        fleet::{Member, Members},
        origin::{self, Origin, Table, Versions},
        time::Timestamp,
    },
    tamarackdale_wire::origin::Saved,
    tokio::{sync::Notify, time::sleep},
};

/// Time from the first change after a quiet time until it is saved. Streams begin in groups.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time after which the table is saved again without a change, well before its lease ends.
const KEEP_INTERVAL: Duration = Duration::from_secs(15);

/// Most streams that are saved, so that the entry stays within half of the store's limit of 1 MiB.
const MAX_SAVED: usize = 40_000;

/// Origins of streams, and the versions of services.
pub struct Origins {
    clock: Clock,
    /// Notified when versions are to be saved at once.
    is_urgent: Notify,
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
    /// When new versions are saved, if there are any.
    first_save_at: Option<Timestamp>,
    /// When new versions were last saved.
    first_saved_at: Option<Timestamp>,
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
            is_urgent: Notify::new(),
            state: Mutex::new(State {
                table: Table::new(),
                versions: Versions::new(),
                is_saved: false,
                saves: 0,
                saved_at: clock.now(),
                first_save_at: None,
                first_saved_at: None,
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

    /// Records the versions of the registered backend servers, and saves new ones after the fraction
    /// `random` of `spread`, or at once if none was saved before. Returns those at which no stream may
    /// begin yet. Called at least every second.
    pub fn observe_servers(
        &self,
        members: &Members,
        spread: Duration,
        random: f64,
    ) -> HashSet<Origin> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.versions.observe_servers(members, now);
        state.table.prune(now);
        if state.versions.take_changes() {
            let due = state.first_saved_at.map_or(now, |saved| {
                now.plus(spread.mul_f64(random)).max(saved.plus(spread))
            });
            state.first_save_at.get_or_insert(due);
            if due <= now {
                self.is_urgent.notify_one();
            }
        }
        state.versions.held_back(now)
    }

    /// Records that the store has acknowledged a save. Returns the versions at which no stream may begin
    /// yet.
    fn acknowledge(&self, save: u64) -> HashSet<Origin> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.versions.acknowledge(save);
        state.versions.held_back(now)
    }

    fn get(&self, stream: u64) -> Option<Arc<Origin>> {
        self.lock().table.get(stream).cloned()
    }

    /// What has changed and must be saved now: streams at most every `interval`, new versions whenever
    /// they are due.
    fn changes_to_save(&self, interval: Duration) -> Option<(u64, Saved)> {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_mixed = state.versions.is_mixed();
        if !is_mixed {
            state.is_saved = false;
        }
        let elapsed = now.since(state.saved_at);
        let has_changed = || is_mixed && (state.table.has_changes() || !state.is_saved);
        let is_turn = state.saves == 0 || elapsed >= interval;
        let has_new_version = state.first_save_at.is_some_and(|at| at <= now);
        let is_due = state.saves > 0 && elapsed >= KEEP_INTERVAL;
        if !(is_turn && has_changed() || has_new_version || is_due) {
            return None;
        }
        state.saves += 1;
        state.saved_at = now;
        if state.first_save_at.take().is_some() {
            state.first_saved_at = Some(now);
        }
        state.is_saved = is_mixed;
        state.table.clear_changes();
        let number = state.saves;
        state.versions.record_save(number);
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
        tokio::select! {
            () = sleep(SETTLE_TIME) => {}
            () = context.origins.is_urgent.notified() => {}
        }
        if let Some(changes) = context.origins.changes_to_save(save_interval(context)) {
            context.store.origins_to_save.send_replace(changes);
        }
    }
}

/// Lets streams begin at new versions once the store has acknowledged a save that names them. Never
/// returns.
pub async fn release_versions(context: &Context) {
    let mut saves = 0;
    loop {
        saves = context.store.wait_for_origins(saves + 1).await;
        let held_back = context.origins.acknowledge(saves);
        context.scheduler.hold_back(held_back);
    }
}

/// Time over which all gateways save a version that they have just heard of.
pub fn first_save_spread(context: &Context) -> Duration {
    let (_, gateways) = context.known_peers().counts();
    origin::first_save_spread(gateways, context.settings.borrow().store_writes_per_s)
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
/// have begun. What other gateways have saved, and the registrations, tell of versions that this one
/// has not heard of. Both are read after the stream has come: no stream begins at a version before the
/// store names it, so what it does not name then cannot have begun the stream.
pub async fn find(
    context: &Context,
    stream: Option<u64>,
    service: &str,
) -> Result<Arc<Origin>, Unknown> {
    let origins = &context.origins;
    if let Some(origin) = stream.and_then(|stream| origins.get(stream)) {
        return Ok(origin);
    }
    let is_mixed = origins.lock().versions.only(service).is_none();
    let registered = async {
        match is_mixed {
            true => Some(Arc::default()),
            false => context.store.read_versions().await,
        }
    };
    let (saved, registered) = tokio::join!(context.store.read_origins(), registered);
    let saved = saved.ok_or(Unknown::Unreadable)?;
    if let Some(origin) = stream.and_then(|stream| saved.streams.get(&stream)) {
        return Ok(Arc::clone(origin));
    }
    let registered = registered.ok_or(Unknown::Unreadable)?;
    let now = origins.clock.now();
    let mut state = origins.lock();
    for origin in saved.versions.iter().chain(registered.iter()) {
        state.versions.observe_report(origin, now);
    }
    let only = state.versions.only(service);
    only.cloned().ok_or(Unknown::NotSaved)
}
