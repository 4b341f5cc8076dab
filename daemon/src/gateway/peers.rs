//! Exchange of load summaries between gateways.
//!
//! Each gateway broadcasts its summaries to any number of peers, and reads the streams of the peers
//! that it knows: those that are registered in the store, and those that have introduced themselves
//! by subscribing to its own summaries.

use {
    super::context::Context,
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
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tamarackdale_core::summary::{Entry, Summary},
    tamarackdale_store::http,
    tamarackdale_wire::{
        codec::{self, Splitter},
        path,
        summary::{Frame as Message, Introduction},
    },
    tokio::{
        sync::{broadcast, mpsc},
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

/// Minimum interval between two summaries. Batches changes that occur together.
const MIN_SUMMARY_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum interval between two summaries, per peer. It grows with the number of peers, so that a
/// gateway sends and receives fewer than two thousand summaries a second each.
const SUMMARY_INTERVAL_PER_PEER: Duration = Duration::from_micros(500);

/// Interval at which waiting requests are placed at slots that no gateway claimed.
const UNUSED_CAPACITY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a peer's admissions are counted here, in summary intervals: the peer's own
/// interval, and as much again for sending and for reading on a loaded machine.
const LAG_INTERVALS: u32 = 3;

/// Constant part of the time after which a peer's admissions are counted here: thread scheduling on
/// a small machine.
const LAG_BASE: Duration = Duration::from_millis(80);

/// Time after which a summary is sent even if nothing has changed, as a heartbeat to the peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which the measured speeds of backend servers are included in a summary.
const SPEED_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a summary after which a peer counts as unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause before reconnecting to a peer.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which the quota use to save is updated.
const QUOTA_USE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of summaries that a slow reader may lag behind before it gets a full summary instead.
const BROADCAST_CAPACITY: usize = 8;

/// Broadcasts this gateway's summaries to the streams of its peers.
pub struct SummaryBroadcast {
    sender: broadcast::Sender<Bytes>,
}

impl Default for SummaryBroadcast {
    fn default() -> Self {
        let (sender, _) = broadcast::channel(BROADCAST_CAPACITY);
        Self { sender }
    }
}

/// Exchanges summaries with peers. Never returns.
pub async fn run(context: Context, introductions: mpsc::Receiver<SocketAddr>) {
    tokio::join!(
        broadcast_summaries(&context),
        claim_unused_capacity(&context),
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
/// change and every second.
async fn apply_members(context: &Context) {
    let mut members = context.store.members.clone();
    loop {
        let current = members.borrow_and_update().clone();
        context.scheduler.update_servers(&current);
        context.pool.prune(&current);
        if timeout(Duration::from_secs(1), members.changed())
            .await
            .is_ok_and(|changed| changed.is_err())
        {
            return std::future::pending().await;
        }
    }
}

async fn claim_unused_capacity(context: &Context) {
    loop {
        sleep(UNUSED_CAPACITY_INTERVAL).await;
        context.scheduler.claim_unused_capacity();
    }
}

/// Broadcasts a summary of the differences after each change, at limited frequency, and as a
/// heartbeat.
async fn broadcast_summaries(context: &Context) {
    let mut previous = Summary::default();
    let mut sent_at = Instant::now();
    let mut speeds_sent_at = Instant::now();
    loop {
        let (connected, _) = context.known_peers().counts();
        sleep(summary_interval(connected)).await;
        // On a timeout, a heartbeat is sent.
        let _ = timeout(HEARTBEAT_INTERVAL, context.scheduler.wait_for_change()).await;
        let with_speeds = speeds_sent_at.elapsed() >= SPEED_INTERVAL;
        let full = context.scheduler.summary(false);
        let delta = delta(&previous, &full, with_speeds);
        let is_unchanged = is_empty(&delta) && previous.waits == full.waits;
        previous = full;
        if is_unchanged && sent_at.elapsed() < HEARTBEAT_INTERVAL {
            continue;
        }
        sent_at = Instant::now();
        if with_speeds {
            speeds_sent_at = sent_at;
        }
        match codec::encode_item(&Message::new(context.boot, &delta)) {
            // Sending fails only while no peer is connected.
            Ok(bytes) => drop(context.summary_broadcast.sender.send(bytes)),
            Err(error) => log::error!("summary not published: {error}"),
        }
    }
}

/// Interval between two summaries while `gateways` gateways are connected, including this one.
fn summary_interval(gateways: usize) -> Duration {
    let peers = u32::try_from(gateways.saturating_sub(1)).unwrap_or(u32::MAX);
    MIN_SUMMARY_INTERVAL.max(SUMMARY_INTERVAL_PER_PEER.saturating_mul(peers))
}

fn is_empty(summary: &Summary) -> bool {
    summary.entries.is_empty() && summary.usages.is_empty() && summary.floors.is_empty()
}

/// Returns the changes from `previous` to `full`. Includes the speeds of all backend servers if
/// `with_speeds` is set.
fn delta(previous: &Summary, full: &Summary, with_speeds: bool) -> Summary {
    let entries = full.entries.iter().filter_map(|entry| {
        let before = previous.entries.iter().find(|before| before.id == entry.id);
        let has_changed = match before {
            Some(before) => before.load != entry.load,
            None => true,
        };
        (with_speeds || has_changed).then(|| Entry {
            speed: entry.speed.filter(|_| with_speeds || before.is_none()),
            ..entry.clone()
        })
    });
    let usages = full.usages.iter().filter(|usage| {
        let before = previous
            .usages
            .iter()
            .find(|before| before.organisation == usage.organisation);
        before.is_none_or(|before| before != *usage)
    });
    Summary {
        entries: entries.collect(),
        usages: usages.cloned().collect(),
        is_complete: full.is_complete,
        waits: full.waits.clone(),
        floors: full.floors.clone(),
    }
}

/// Handles the subscription of a peer: responds with a stream that begins with a full summary.
pub async fn stream_summaries(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let introduction = body::read(Body::take_from(&mut state), 1024).await;
    let address = introduction
        .ok()
        .and_then(|bytes| codec::decode::<Introduction>(&bytes).ok())
        .and_then(|introduction| introduction.address.parse().ok());
    let Some(address) = address else {
        log::warn!("a peer's introduction cannot be decoded");
        return Ok((state, body::status(StatusCode::BAD_REQUEST)));
    };
    if context.introductions.send(address).await.is_err() {
        log::debug!(peer:% = address; "introduction ignored, the exchange has ended");
    }
    let receiver = context.summary_broadcast.sender.subscribe();
    let first = full_summary(&context);
    let frames = stream::unfold(
        (Some(first), receiver, context),
        |(first, mut receiver, context)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, receiver, context)));
            }
            let bytes = match receiver.recv().await {
                Ok(bytes) => bytes,
                Err(broadcast::error::RecvError::Lagged(_)) => full_summary(&context),
                Err(broadcast::error::RecvError::Closed) => return None,
            };
            Some((Ok(Frame::data(bytes)), (None, receiver, context)))
        },
    );
    Ok((state, Response::new(body::stream(frames))))
}

fn full_summary(context: &Context) -> Bytes {
    let message = Message::new(context.boot, &context.scheduler.summary(true));
    codec::encode_item(&message).unwrap_or_else(|error| {
        log::error!("summary not published: {error}");
        Bytes::new()
    })
}

/// Connects to every peer that is registered or introduces itself.
async fn follow_peers(context: &Context, mut introductions: mpsc::Receiver<SocketAddr>) {
    let own = context.settings.borrow().peers;
    let mut gateways = context.store.gateways.clone();
    let mut tasks = JoinSet::new();
    let mut introduced = None;
    loop {
        let registered = gateways.borrow_and_update().clone();
        for address in registered.iter().copied().chain(introduced.take()) {
            if address != own && context.known_peers().add(address, context.clock.now()) {
                tasks.spawn(follow_peer(context.clone(), address));
            }
        }
        tokio::select! {
            _ = gateways.changed() => {}
            address = introductions.recv() => introduced = address,
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Reads the summaries of one peer and reconnects, until the peer is dropped as stale.
async fn follow_peer(context: Context, address: SocketAddr) {
    let client = http::Client::new(&format!("http://{address}"), PEER_TIMEOUT);
    let introduction = Introduction {
        address: context.settings.borrow().peers.to_string(),
    };
    let Ok(introduction) = codec::encode(&introduction) else {
        return;
    };
    loop {
        match client.open(path::SUMMARIES, introduction.clone()).await {
            Ok(body) => read_summaries(&context, address, body).await,
            Err(error) => log::debug!(peer:% = address; "cannot connect to peer: {error}"),
        }
        let now = context.clock.now();
        context.known_peers().mark_unreachable(address, now);
        update_gateway_counts(&context);
        let is_registered = context.store.gateways.borrow().contains(&address);
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
/// shared limits.
fn update_gateway_counts(context: &Context) {
    let (connected, known) = context.known_peers().counts();
    let has_unreachable = context.known_peers().has_unreachable();
    context
        .store
        .has_unreachable_peers
        .send_replace(has_unreachable);
    context.scheduler.set_gateway_counts(
        connected,
        known,
        summary_interval(connected) * LAG_INTERVALS + LAG_BASE,
    );
}

/// Merges the summaries of one connection to a peer until it ends or times out.
async fn read_summaries(context: &Context, address: SocketAddr, mut body: Incoming) {
    let mut splitter = Splitter::new();
    let mut boot = None;
    while let Ok(Some(Ok(frame))) = timeout(PEER_TIMEOUT, body.frame()).await {
        if let Some(bytes) = frame.data_ref() {
            splitter.push(bytes);
        }
        loop {
            match splitter.next_item::<Message>() {
                Ok(Some(message)) => {
                    if boot.replace(message.boot).is_none() {
                        context.known_peers().mark_reachable(address);
                        update_gateway_counts(context);
                        log::info!(peer:% = address, boot = message.boot; "peer heard");
                    }
                    context
                        .scheduler
                        .merge_summary(message.boot, &message.into());
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!(peer:% = address; "malformed summary from peer: {error}");
                    break;
                }
            }
        }
    }
    if let Some(boot) = boot {
        context.scheduler.remove_peer(boot);
        log::info!(peer:% = address, boot; "peer lost");
    }
}
