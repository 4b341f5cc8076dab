//! The exchange of summaries between gateways.
//!
//! Each gateway publishes its summary on one stream that any number of peers read, and reads the
//! streams of the peers it knows: those that are registered in the store, and those that have
//! introduced themselves.

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

/// Shortest pause between two summaries: changes that belong together travel together.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Shortest pause between two summaries for each peer, so that the summaries that a gateway sends
/// and receives stay below two thousand a second each, however many peers there are.
const INTERVAL_PER_PEER: Duration = Duration::from_micros(500);

/// Pause between two rounds in which requests that wait are offered what is free.
const PUMP_INTERVAL: Duration = Duration::from_millis(50);

/// Pauses between summaries after which a peer's admissions are counted here: its own pause, and as
/// much on a loaded machine to send and to read.
const LAG_INTERVALS: u32 = 3;

/// Rest of the time after which a peer's admissions are counted: scheduling on a small machine.
const LAG_REST: Duration = Duration::from_millis(80);

/// Time after which a summary is sent though nothing has changed, so that peers hear that this
/// gateway lives.
const QUIET_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which speeds are told again.
const SPEED_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a peer is taken to be out of reach.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// Pause before a peer is tried again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);

/// Pause between two looks at the use of quotas.
const QUOTA_USE_INTERVAL: Duration = Duration::from_millis(500);

/// Summaries that a slow reader may be behind before it gets a full one instead.
const BEHIND: usize = 8;

/// The stream of this gateway's summaries.
pub struct Publication {
    sender: broadcast::Sender<Bytes>,
}

impl Default for Publication {
    fn default() -> Self {
        let (sender, _) = broadcast::channel(BEHIND);
        Self { sender }
    }
}

/// Publishes summaries and follows peers for ever.
pub async fn run(context: Context, introductions: mpsc::Receiver<SocketAddr>) {
    tokio::join!(
        publish_all(&context),
        pump_all(&context),
        follow_all(&context, introductions),
        adopt_rosters(&context),
        keep_quota_use(&context),
    );
}

/// Hands over use of quotas to be kept, at the gateway whose address is the first of those heard.
async fn keep_quota_use(context: &Context) {
    let mut kept = context.followed.kept.clone();
    if let Ok(known) = kept.wait_for(Option::is_some).await
        && let Some(known) = known.as_ref()
    {
        context.scheduler.remember(known.clone().into());
    }
    let own = context.settings.borrow().peers;
    loop {
        sleep(QUOTA_USE_INTERVAL).await;
        let used = match context.snapshot() {
            Some(snapshot) if context.acquaintance().is_lowest_address(own) => {
                context.scheduler.quota_use(&snapshot.value)
            }
            _ => HashMap::new(),
        };
        context.followed.to_keep.send_replace(used.into());
    }
}

async fn adopt_rosters(context: &Context) {
    let mut roster = context.followed.roster.clone();
    loop {
        let known = roster.borrow_and_update().clone();
        context.scheduler.adopt(&known);
        context.pool.prune(&known);
        if timeout(Duration::from_secs(1), roster.changed())
            .await
            .is_ok_and(|end| end.is_err())
        {
            return std::future::pending().await;
        }
    }
}

async fn pump_all(context: &Context) {
    loop {
        sleep(PUMP_INTERVAL).await;
        context.scheduler.pump();
    }
}

/// Publishes a summary at each change, with a pause between two of them.
async fn publish_all(context: &Context) {
    let mut told = Summary::default();
    let mut told_at = Instant::now();
    let mut speeds_at = Instant::now();
    loop {
        let (visible, _) = context.acquaintance().counts();
        sleep(summary_interval(visible)).await;
        // If nothing has changed by then, peers hear that this gateway lives.
        let _ = timeout(QUIET_INTERVAL, context.scheduler.changed()).await;
        let with_speeds = speeds_at.elapsed() >= SPEED_INTERVAL;
        let full = context.scheduler.summary(false);
        let changed = difference(&told, &full, with_speeds);
        let is_quiet = is_empty(&changed) && told.waits == full.waits;
        told = full;
        if is_quiet && told_at.elapsed() < QUIET_INTERVAL {
            continue;
        }
        told_at = Instant::now();
        if with_speeds {
            speeds_at = told_at;
        }
        match codec::encode_item(&Message::new(context.boot, &changed)) {
            // Fails only while nobody reads.
            Ok(bytes) => drop(context.publication.sender.send(bytes)),
            Err(error) => log::error!("summary not published: {error}"),
        }
    }
}

/// Pause between two summaries while so many gateways hear each other.
fn summary_interval(gateways: usize) -> Duration {
    let peers = u32::try_from(gateways.saturating_sub(1)).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_PEER.saturating_mul(peers))
}

fn is_empty(summary: &Summary) -> bool {
    summary.entries.is_empty() && summary.usages.is_empty() && summary.floors.is_empty()
}

/// What a peer that knows `told` must hear to know `full`.
fn difference(told: &Summary, full: &Summary, with_speed: bool) -> Summary {
    let entries = full.entries.iter().filter_map(|entry| {
        let known = told.entries.iter().find(|known| known.id == entry.id);
        let has_changed = match known {
            Some(known) => known.load != entry.load,
            None => true,
        };
        (with_speed || has_changed).then(|| Entry {
            speed: entry.speed.filter(|_| with_speed || known.is_none()),
            ..entry.clone()
        })
    });
    let usages = full.usages.iter().filter(|usage| {
        let known = told
            .usages
            .iter()
            .find(|known| known.organisation == usage.organisation);
        known.is_none_or(|known| known != *usage)
    });
    Summary {
        entries: entries.collect(),
        usages: usages.cloned().collect(),
        is_complete: full.is_complete,
        waits: full.waits.clone(),
        floors: full.floors.clone(),
    }
}

/// Answers a peer with the stream of summaries.
pub async fn publish(mut state: State) -> HandlerResult {
    let context = Context::borrow_from(&state).clone();
    let introduction = body::read(Body::take_from(&mut state), 1024).await;
    let address = introduction
        .ok()
        .and_then(|bytes| codec::decode::<Introduction>(&bytes).ok())
        .and_then(|introduction| introduction.address.parse().ok());
    let Some(address) = address else {
        log::warn!("a peer's introduction cannot be read");
        return Ok((state, body::status(StatusCode::BAD_REQUEST)));
    };
    if context.introduced.send(address).await.is_err() {
        log::debug!(peer:% = address; "introduced at the end of the exchange");
    }
    let reader = context.publication.sender.subscribe();
    let first = full(&context);
    let frames = stream::unfold(
        (Some(first), reader, context),
        |(first, mut reader, context)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, reader, context)));
            }
            let bytes = match reader.recv().await {
                Ok(bytes) => bytes,
                Err(broadcast::error::RecvError::Lagged(_)) => full(&context),
                Err(broadcast::error::RecvError::Closed) => return None,
            };
            Some((Ok(Frame::data(bytes)), (None, reader, context)))
        },
    );
    Ok((state, Response::new(body::stream(frames))))
}

fn full(context: &Context) -> Bytes {
    let message = Message::new(context.boot, &context.scheduler.summary(true));
    codec::encode_item(&message).unwrap_or_else(|error| {
        log::error!("summary not published: {error}");
        Bytes::new()
    })
}

/// Follows every peer that is registered or introduces itself.
async fn follow_all(context: &Context, mut introductions: mpsc::Receiver<SocketAddr>) {
    let own = context.settings.borrow().peers;
    let mut gateways = context.followed.gateways.clone();
    let mut followers = JoinSet::new();
    let mut newcomer = None;
    loop {
        let registered = gateways.borrow_and_update().clone();
        for address in registered.iter().copied().chain(newcomer.take()) {
            if address != own && context.acquaintance().add(address, context.clock.now()) {
                followers.spawn(follow(context.clone(), address));
            }
        }
        tokio::select! {
            _ = gateways.changed() => {}
            address = introductions.recv() => newcomer = address,
            Some(_) = followers.join_next() => {}
        }
    }
}

/// Follows one peer until it has been out of reach for too long.
async fn follow(context: Context, address: SocketAddr) {
    let client = http::Client::new(&format!("http://{address}"), SILENCE_LIMIT);
    let introduction = Introduction {
        address: context.settings.borrow().peers.to_string(),
    };
    let Ok(introduction) = codec::encode(&introduction) else {
        return;
    };
    loop {
        match client.open(path::SUMMARIES, introduction.clone()).await {
            Ok(body) => read(&context, address, body).await,
            Err(error) => log::debug!(peer:% = address; "peer not reached: {error}"),
        }
        let now = context.clock.now();
        context.acquaintance().mark_unreachable(address, now);
        update_share(&context);
        let is_registered = context.followed.gateways.borrow().contains(&address);
        if context
            .acquaintance()
            .remove_expired(address, is_registered, now)
        {
            log::info!(peer:% = address; "peer forgotten");
            update_share(&context);
            return;
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

fn update_share(context: &Context) {
    let (visible, known) = context.acquaintance().counts();
    let misses_any = context.acquaintance().has_unreachable();
    context.followed.misses_peers.send_replace(misses_any);
    context.scheduler.set_peers(
        visible,
        known,
        summary_interval(visible) * LAG_INTERVALS + LAG_REST,
    );
}

async fn read(context: &Context, address: SocketAddr, mut body: Incoming) {
    let mut splitter = Splitter::new();
    let mut boot = None;
    while let Ok(Some(Ok(frame))) = timeout(SILENCE_LIMIT, body.frame()).await {
        if let Some(bytes) = frame.data_ref() {
            splitter.push(bytes);
        }
        loop {
            match splitter.next_item::<Message>() {
                Ok(Some(message)) => {
                    if boot.replace(message.boot).is_none() {
                        context.acquaintance().mark_reachable(address);
                        update_share(context);
                        log::info!(peer:% = address, boot = message.boot; "peer heard");
                    }
                    context.scheduler.merge(message.boot, &message.into());
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!(peer:% = address; "broken summaries: {error}");
                    break;
                }
            }
        }
    }
    if let Some(boot) = boot {
        context.scheduler.forget(boot);
        log::info!(peer:% = address, boot; "peer lost");
    }
}
