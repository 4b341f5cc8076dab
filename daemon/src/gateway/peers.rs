//! Exchange of load summaries between gateways.
//!
//! Each gateway broadcasts its summaries to any number of peers, and reads the streams of the peers
//! that it knows: those that are registered in the store, and those that have introduced themselves
//! by subscribing to its own summaries.

use {
    super::{
        context::Context,
        origins, store_reader,
        summary_broadcast::{Form, Item},
    },
    crate::http::body,
    bytes::Bytes,
    futures_util::stream,
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{Response, StatusCode, body::Frame},
        state::{FromState as _, State},
    },
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_core::{
        cell::Scope,
        summary::{ChangeTracker, Summary},
    },
    tamarackdale_store::http,
    tamarackdale_wire::{
        codec::{self, Splitter},
        compact::{self, Pool, Reader},
        path,
        summary::{Frame as Message, Introduction},
    },
    tokio::{
        sync::{broadcast, mpsc},
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

/// Interval at which waiting requests are placed at slots that no gateway claimed, and crashes of
/// backend servers are judged.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a peer's admissions are counted here, in summary intervals: the peer's own
/// interval, and as much again for sending and for reading on a loaded machine.
const LAG_INTERVALS: u32 = 3;

/// Constant part of the time after which a peer's admissions are counted here: thread scheduling on
/// a small machine.
const LAG_BASE: Duration = Duration::from_millis(80);

/// Time after which a summary is sent even if nothing has changed, as a heartbeat to the peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which the measured speeds of backend servers are sent to peers of the same cell.
const NEAR_SPEED_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the measured speeds of backend servers are sent to peers of other cells, which
/// send few requests to the same backend servers.
const FAR_SPEED_INTERVAL: Duration = Duration::from_secs(5);

/// Time without a summary after which a peer counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause before reconnecting to a peer.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);

/// Number of configured organisations from which admission control is enabled.
const MIN_ORGANISATIONS: usize = 2;

/// Interval at which the quota use to save is updated.
const QUOTA_USE_INTERVAL: Duration = Duration::from_millis(500);

/// Exchanges summaries with peers. Never returns.
pub async fn run(context: Context, introductions: mpsc::Receiver<SocketAddr>) {
    tokio::join!(
        broadcast_to_cell(&context),
        broadcast_to_other_cells(&context),
        run_upkeep(&context),
        follow_peers(&context, introductions),
        apply_members(&context),
        update_quota_use_to_save(&context),
    );
}

/// Restores the saved quota use, then regularly passes the current use to the follower, which saves
/// it. Only the gateway with the lowest address among the connected ones saves it.
async fn update_quota_use_to_save(context: &Context) {
    let mut saved = context.store.saved_quota_use.clone();
    if let Ok(saved) = saved.wait_for(Option::is_some).await
        && let Some(saved) = saved.as_ref()
    {
        context.scheduler.restore_quota_use(saved.clone().into());
    }
    let own = context.settings.borrow().peers;
    loop {
        sleep(QUOTA_USE_INTERVAL).await;
        let quota_use = match context.snapshot() {
            Some(snapshot) if context.known_peers().is_lowest_address(own) => {
                context.scheduler.quota_use_to_save(&snapshot.value)
            }
            _ => HashMap::new(),
        };
        context
            .store
            .quota_use_to_save
            .send_replace(quota_use.into());
    }
}

/// Applies the registered backend servers to the scheduler and to the connection pool, on each
/// change of theirs or of the configuration, and every second.
async fn apply_members(context: &Context) {
    let mut members = context.store.members.clone();
    let mut configuration = context.store.configuration.clone();
    loop {
        let current = members.borrow_and_update().clone();
        let snapshot = configuration.borrow_and_update().clone();
        let spread = origins::first_save_spread(context);
        let random = context.scheduler.random();
        let held_back = context.origins.observe_servers(&current, spread, random);
        match snapshot {
            Some(snapshot) => {
                let organisations = snapshot.value.organisations().len();
                context
                    .scheduler
                    .set_admission_control(organisations >= MIN_ORGANISATIONS);
                let bounded = snapshot.value.with_bounded_slots(&current);
                context.scheduler.update_servers(&bounded, held_back);
            }
            None => context.scheduler.update_servers(&current, held_back),
        }
        context.pool.prune(&current);
        let (quarantines, limited_servers) = context.scheduler.protection();
        context.metrics.set_protection(quarantines, limited_servers);
        if context.scheduler.has_containment() {
            let (ejected, invalid_reports) = context.scheduler.ejections();
            context.metrics.set_ejections(&ejected, invalid_reports);
        }
        let invalid = context.scheduler.invalid_work_reports();
        context.metrics.set_invalid_work_reports(invalid);
        let is_closed = tokio::select! {
            changed = members.changed() => changed.is_err(),
            changed = configuration.changed() => changed.is_err(),
            () = sleep(Duration::from_secs(1)) => false,
        };
        if is_closed {
            return std::future::pending().await;
        }
    }
}

async fn run_upkeep(context: &Context) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        context.scheduler.claim_unused_capacity();
        context.scheduler.admit_waiting();
        context.scheduler.judge_crashes();
    }
}

/// Broadcasts a summary to the peers of this gateway's cell after each change, at limited
/// frequency, and as a heartbeat.
async fn broadcast_to_cell(context: &Context) {
    let mut publisher = Publisher::new(Scope::Near, NEAR_SPEED_INTERVAL);
    loop {
        sleep(context.scheduler.layout().interval(Scope::Near)).await;
        // On a timeout, a heartbeat is sent.
        let _ = timeout(HEARTBEAT_INTERVAL, context.scheduler.wait_for_change()).await;
        publisher.publish(context, context.scheduler.summary(false));
    }
}

/// Broadcasts a summary to the peers of other cells at regular intervals.
async fn broadcast_to_other_cells(context: &Context) {
    let mut publisher = Publisher::new(Scope::Far, FAR_SPEED_INTERVAL);
    loop {
        sleep(context.scheduler.layout().interval(Scope::Far)).await;
        if !context.summary_broadcast.has_subscribers(Scope::Far) {
            continue;
        }
        let mut summary = summary_for(context, Scope::Far, false);
        let mut loads = context.summary_broadcast.far_loads();
        context.scheduler.throttle_loads(&mut loads, &mut summary);
        drop(loads);
        publisher.publish(context, summary);
    }
}

/// Current summary for a peer. Requests that wait here do not compete with those of other cells, and
/// the work of a cell is a sample of that of all.
fn summary_for(context: &Context, scope: Scope, is_first: bool) -> Summary {
    let mut summary = context.scheduler.summary(is_first);
    if scope == Scope::Far {
        summary.waits.clear();
        summary.work.clear();
    }
    summary
}

/// Sends the changes of this gateway's summary to one group of peers.
struct Publisher {
    scope: Scope,
    tracker: ChangeTracker,
    speed_interval: Duration,
    sent_at: Instant,
    speeds_sent_at: Instant,
}

impl Publisher {
    fn new(scope: Scope, speed_interval: Duration) -> Self {
        let now = Instant::now();
        Self {
            scope,
            tracker: ChangeTracker::new(),
            speed_interval,
            sent_at: now,
            speeds_sent_at: now,
        }
    }

    /// Sends the changes since the last call, or a heartbeat if one is due.
    fn publish(&mut self, context: &Context, current: Summary) {
        let with_speeds = self.speeds_sent_at.elapsed() >= self.speed_interval;
        let changes = self.tracker.changes(current, with_speeds);
        if with_speeds {
            self.speeds_sent_at = Instant::now();
        }
        let summary = match changes {
            Some(changes) => changes,
            None if self.sent_at.elapsed() >= HEARTBEAT_INTERVAL => self.tracker.heartbeat(),
            None => return,
        };
        self.sent_at = Instant::now();
        let message = Message::new(context.boot, &summary, context.clock.now());
        if let Err(error) = context.summary_broadcast.send(self.scope, &message) {
            log::error!("summary not published: {error}");
        }
    }
}

/// Handles the subscription of a peer: responds with a stream that begins with a full summary.
pub async fn stream_summaries(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let introduction = body::read(Body::take_from(&mut state), 1024).await;
    let introduction = introduction
        .ok()
        .and_then(|bytes| codec::decode::<Introduction>(&bytes).ok());
    let address = introduction
        .as_ref()
        .and_then(|introduction| introduction.address.parse().ok());
    let (Some(introduction), Some(address)) = (introduction, address) else {
        log::warn!("a peer's introduction cannot be decoded");
        return Ok((state, body::status(StatusCode::BAD_REQUEST)));
    };
    if context.introductions.send(address).await.is_err() {
        log::debug!(peer:% = address; "introduction ignored, the exchange has ended");
    }
    let subscription = Subscription::new(context, introduction);
    let frames = stream::unfold(subscription, |mut subscription| async move {
        let bytes = subscription.next().await?;
        Some((Ok(Frame::data(bytes)), subscription))
    });
    Ok((state, Response::new(body::stream(frames))))
}

/// A peer's subscription to this gateway's summaries.
struct Subscription {
    context: Context,
    /// Data centre of the peer.
    data_centre: String,
    form: Form,
    scope: Scope,
    /// The summaries for the peer's group, or `None` before the first, full summary.
    receiver: Option<broadcast::Receiver<Item>>,
    /// Generation of the table of names that the peer has.
    generation: u64,
}

impl Subscription {
    fn new(context: Context, introduction: Introduction) -> Self {
        Self {
            context,
            data_centre: introduction.data_centre,
            form: match introduction.reads_compact {
                true => Form::Compact,
                false => Form::Former,
            },
            scope: Scope::Near,
            receiver: None,
            generation: 0,
        }
    }

    /// The next summary for the peer. It is a full one if there was none before, if the peer was
    /// too slow to read all of them, if its group has changed with the size of the fleet, and if a new
    /// table of names was begun.
    async fn next(&mut self) -> Option<Bytes> {
        let scope = self.current_scope();
        let receiver = match &mut self.receiver {
            Some(receiver) if scope == self.scope => receiver,
            _ => {
                let knows_nothing = self.receiver.is_none();
                self.scope = scope;
                let broadcast = &self.context.summary_broadcast;
                self.receiver = Some(broadcast.subscribe(scope, self.form));
                return Some(self.full_summary(knows_nothing));
            }
        };
        match receiver.recv().await {
            Ok(item) if item.generation == self.generation => Some(item.bytes),
            Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => Some(self.full_summary(false)),
            Err(broadcast::error::RecvError::Closed) => None,
        }
    }

    /// `knows_nothing` if it is the first summary of the stream.
    fn full_summary(&mut self, knows_nothing: bool) -> Bytes {
        let context = &self.context;
        let mut summary = summary_for(context, self.scope, true);
        if self.scope == Scope::Far {
            let loads = context.summary_broadcast.far_loads();
            loads.replace_by_told(&mut summary.entries, knows_nothing);
        }
        let message = Message::new(context.boot, &summary, context.clock.now())
            .with_data_centre(&context.settings.borrow().data_centre);
        let item = context
            .summary_broadcast
            .full(self.scope, self.form, &message);
        match item {
            Ok(item) => {
                self.generation = item.generation;
                item.bytes
            }
            Err(error) => {
                log::error!("summary not published: {error}");
                Bytes::new()
            }
        }
    }

    fn current_scope(&self) -> Scope {
        let is_same = self.context.settings.borrow().data_centre == self.data_centre;
        self.context.scheduler.layout().scope(is_same)
    }
}

/// Connects to every peer that is registered or introduces itself.
async fn follow_peers(context: &Context, mut introductions: mpsc::Receiver<SocketAddr>) {
    let own = context.settings.borrow().peers;
    let mut gateways = context.store.gateways.clone();
    let mut tasks = JoinSet::new();
    let names = Arc::new(Pool::new());
    let mut introduced = None;
    let mut is_registered = false;
    loop {
        let registered = gateways.borrow_and_update().clone();
        let addresses = registered.iter().flat_map(|others| others.iter().copied());
        for address in addresses.chain(introduced.take()) {
            if address != own && context.known_peers().add(address, context.clock.now()) {
                tasks.spawn(follow_peer(context.clone(), address, names.clone()));
            }
        }
        if registered.is_some() && !is_registered {
            is_registered = true;
            context.scheduler.expect_peers();
        }
        update_gateway_counts(context);
        tokio::select! {
            _ = gateways.changed() => {}
            address = introductions.recv() => introduced = address,
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Reads the summaries of one peer and reconnects, until the peer is dropped as stale.
async fn follow_peer(context: Context, address: SocketAddr, names: Arc<Pool>) {
    let client = http::Client::new(&format!("http://{address}"), PEER_TIMEOUT);
    let introduction = {
        let settings = context.settings.borrow();
        Introduction {
            address: settings.peers.to_string(),
            data_centre: settings.data_centre.clone(),
            reads_compact: true,
        }
    };
    let Ok(introduction) = codec::encode_named(&introduction) else {
        return;
    };
    let mut is_reported = false;
    loop {
        match client.open(path::SUMMARIES, introduction.clone()).await {
            Ok(body) => {
                let result = read_summaries(&context, address, body, &names).await;
                if let Err(error) = result {
                    context.metrics.count_unreadable_summary();
                    if !std::mem::replace(&mut is_reported, true) {
                        log::warn!(peer:% = address; "connection closed, malformed summary: {error}");
                    }
                }
            }
            Err(error) => log::debug!(peer:% = address; "cannot connect to peer: {error}"),
        }
        let now = context.clock.now();
        context.known_peers().mark_unreachable(address, now);
        update_gateway_counts(&context);
        let registered = context.store.gateways.borrow().clone();
        let is_registered = registered.is_some_and(|others| others.contains(&address));
        if context
            .known_peers()
            .remove_expired(address, is_registered, now)
        {
            log::info!(peer:% = address; "peer dropped: unreachable and no longer registered");
            update_gateway_counts(&context);
            return;
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

/// Passes on how many gateways are known and connected, which determines this gateway's part of the
/// shared limits. Until the registrations have been read, that is not known.
fn update_gateway_counts(context: &Context) {
    if context.store.gateways.borrow().is_none() {
        return;
    }
    let (connected, known) = context.known_peers().counts();
    let has_unreachable = context.known_peers().has_unreachable();
    context
        .store
        .has_unreachable_peers
        .send_replace(has_unreachable);
    let layout = {
        let settings = context.settings.borrow();
        context.known_peers().layout(&settings.data_centre)
    };
    store_reader::update_route(context, layout);
    let lag = layout.max_interval() * LAG_INTERVALS + LAG_BASE;
    context
        .scheduler
        .set_gateways(connected, known, layout, lag);
}

/// Merges the summaries of one connection to a peer until it ends or times out. Fails if one cannot be
/// read.
async fn read_summaries(
    context: &Context,
    address: SocketAddr,
    mut body: Incoming,
    names: &Pool,
) -> Result<(), compact::Error> {
    let mut splitter = Splitter::new();
    let mut reader = Reader::new();
    let mut result = Ok(());
    let mut boot = None;
    let mut contact = context.clock.now();
    'connection: loop {
        let frame = match timeout(PEER_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            // The peer was there until its connection ended.
            Ok(_) => {
                contact = context.clock.now();
                break;
            }
            Err(_) => break,
        };
        contact = context.clock.now();
        if let Some(bytes) = frame.data_ref() {
            splitter.push(bytes);
        }
        loop {
            let bytes = splitter.next_bytes().map_err(compact::Error::Former);
            let message = bytes.and_then(|bytes| {
                let message = bytes.map(|bytes| reader.read(&bytes, names));
                message.transpose()
            });
            match message {
                Ok(Some(message)) => {
                    if boot.replace(message.boot).is_none() {
                        let data_centre = message.data_centre.as_deref().unwrap_or_default();
                        context.known_peers().mark_reachable(address, data_centre);
                        update_gateway_counts(context);
                        log::info!(peer:% = address, boot = message.boot; "peer heard");
                    }
                    let peer = message.boot;
                    let summary = message.into_summary(context.clock.now());
                    context.scheduler.merge_summary(peer, &summary);
                }
                Ok(None) => break,
                Err(error) => {
                    result = Err(error);
                    break 'connection;
                }
            }
        }
    }
    if let Some(boot) = boot {
        context.scheduler.remove_peer(boot, contact);
        log::info!(peer:% = address, boot; "peer lost");
    }
    result
}
