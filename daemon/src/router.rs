//! The router: accepts requests from callers and relays each to a sidecar.

pub mod callers;
pub mod claims;
pub mod context;
pub mod decisions;
pub mod inbound;
pub mod membership;
pub mod peer;
pub mod placement;
pub mod refusal;
pub mod relay;

use {
    self::{
        claims::Claims,
        context::Context,
        placement::{Placement, notice_relay},
    },
    crate::{
        admin,
        clock::Clock,
        configuration,
        configuration::{ConfigurationHandle, handle::Identity},
        http::{self, Server, memory::Account},
        metrics::Metrics,
        settings,
        signal::Shutdown,
    },
    gotham::router::{
        Router,
        builder::{DefineSingleRoute as _, DrawRoutes as _},
    },
    rand::Rng as _,
    std::{io, sync::Arc},
    tamarackdale_core::{floor::Notice, id::Boot},
    tamarackdale_wire::{message::Notices, path},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Runs a router until it has been told to shut down and has finished its work.
///
/// Fails if a listener cannot be bound or a thread cannot be started.
pub fn run(settings: settings::Router) -> io::Result<()> {
    let runtime = http::runtime(settings.common.http_threads)?;
    let shutdown = Shutdown::new();
    let clock = Clock::new();
    let boot = Boot(rand::rng().random());
    let peers = peer::Client::new();
    let send_floor = floor_sender(runtime.handle().clone(), peers.clone());
    let send_notices = notice_sender(runtime.handle().clone(), peers.clone(), clock);
    let (placement_worker, placement) = Placement::spawn(
        boot,
        clock,
        settings.policy,
        &settings.common.data_centre,
        send_floor,
        send_notices,
    )?;
    let identity = Identity::new(&settings.common, boot, "router");
    let configuration = configuration::Settings {
        store: settings.common.store.clone(),
        instance_list: settings.common.instance_list.clone(),
        services: settings.services.clone(),
        identity,
    };
    let (configuration_worker, handle) = configuration::spawn(configuration, &shutdown)?;
    let (claims_worker, claims) = Claims::spawn(&settings.common.store, clock, &shutdown)?;
    let (membership_worker, reports_received) = membership::spawn(
        membership::Settings {
            instance_list: settings.common.instance_list.clone(),
            clock,
            boot,
            instance: settings.common.instance.clone(),
            data_centre: settings.common.data_centre.clone(),
            services: settings.services.clone(),
        },
        placement.clone(),
        &shutdown,
    )?;
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let memory = Account::with_counter(settings.max_buffered_bytes, metrics.memory_counter());
    let context = Context {
        clock,
        catalogue: handle.catalogue.clone(),
        configuration: handle,
        placement,
        claims,
        peers,
        shutdown: shutdown.clone(),
        metrics,
        tracker: TaskTracker::new(),
        max_body_bytes: settings.common.max_body_bytes,
        memory,
    };
    let served = runtime.block_on(serve(&settings, &shutdown, context, reports_received));
    shutdown.aborting.cancel();
    membership_worker.join();
    claims_worker.join();
    configuration_worker.join();
    drop(runtime);
    placement_worker.join();
    served
}

/// Returns a function that sends a shed floor to sidecars and can be called from a thread outside
/// the runtime.
fn floor_sender(
    runtime: tokio::runtime::Handle,
    client: peer::Client,
) -> impl Fn(Vec<peer::Peer>, Notice) + Send + 'static {
    move |peers, notice| {
        for peer in peers {
            let client = client.clone();
            runtime.spawn(async move { client.send_floor(&peer, notice).await });
        }
    }
}

/// Returns a function that sends notices of crashes to sidecars and can be called from a thread outside
/// the runtime.
fn notice_sender(
    runtime: tokio::runtime::Handle,
    client: peer::Client,
    clock: Clock,
) -> impl Fn(notice_relay::Message) + Send + 'static {
    move |due| {
        let message = Arc::new(Notices::new(&due.notices, clock.now()));
        for peer in due.peers {
            let client = client.clone();
            let message = Arc::clone(&message);
            runtime.spawn(async move { client.send_notices(&peer, &message).await });
        }
    }
}

async fn serve(
    settings: &settings::Router,
    shutdown: &Shutdown,
    context: Context,
    reports_received: CancellationToken,
) -> io::Result<()> {
    let common = &settings.common;
    let admin = admin::Context {
        metrics: context.metrics.clone(),
        is_ready: readiness(context.configuration.clone(), reports_received, shutdown),
    };
    let tracker = context.tracker.clone();
    let memory = context.memory.clone();
    let peers = Server::bind(
        "peers",
        common.peer_listen,
        common.max_connections,
        peer_routes(context.clone()),
    )
    .await?
    .with_memory(&memory);
    let callers = Server::bind(
        "callers",
        settings.listen,
        common.max_connections,
        callers::routes(context),
    )
    .await?
    .with_memory(&memory);
    let admin = admin::bind(common, admin).await?.with_memory(&memory);
    let drained = shutdown.with_closing(CancellationToken::new());
    let finished = CancellationToken::new();
    // The load balancer must see the router as not ready before the listener closes.
    let unready = shutdown.with_closing(CancellationToken::new());
    let announce = async {
        shutdown.closing.cancelled().await;
        tokio::select! {
            () = tokio::time::sleep(settings.unready_delay) => {}
            () = shutdown.ending.cancelled() => {}
        }
        unready.closing.cancel();
    };
    let drain = async {
        tokio::join!(callers.serve(&unready), announce);
        tracker.close();
        tokio::select! {
            () = tracker.wait() => {}
            () = shutdown.aborting.cancelled() => {}
        }
        drained.closing.cancel();
    };
    let serving = async {
        tokio::join!(drain, peers.serve(&drained), admin.serve(&drained));
        finished.cancel();
    };
    let (watched, ()) = tokio::join!(
        shutdown.watch(common.shutdown_limit, finished.clone()),
        serving
    );
    log::info!("closed");
    watched
}

/// Returns the routes of the peer listener.
fn peer_routes(context: Context) -> Router {
    http::router(context, |route| {
        configuration::handlers::add_routes::<Context, _, _>(route);
        route
            .get(&format!("{}/:request", path::DECISIONS))
            .with_path_extractor::<decisions::Path>()
            .to_async(decisions::get_decisions);
    })
}

/// Returns the readiness check. A router is ready once it has its documents and every sidecar that
/// it subscribes to has reported or failed to; otherwise the first requests would reach a router
/// that knows of no sidecar.
fn readiness(
    handle: ConfigurationHandle,
    reports_received: CancellationToken,
    shutdown: &Shutdown,
) -> Arc<dyn Fn() -> bool + Send + Sync> {
    let closing = shutdown.closing.clone();
    Arc::new(move || {
        !closing.is_cancelled()
            && reports_received.is_cancelled()
            && handle.has_required_documents()
    })
}
