//! The gateway: a router that sends callers' requests directly to the backend servers.
//!
//! It runs on the platform that `tamarackdale-platform` adapts to, where responses do not pass
//! through a sidecar. The gateways exchange summaries of their load at each backend server
//! ([`peers`]), so that each of them knows the total load.

pub mod callers;
pub mod context;
pub mod follower;
pub mod origins;
pub mod peers;
pub mod pool;
pub mod refusal;
pub mod relay;
pub mod response_buffers;
pub mod rollouts;
pub mod scheduler;
pub mod starts;
pub mod store_reader;
pub mod summary_broadcast;

use {
    self::{
        context::Context, follower::Follower, origins::Origins, pool::ConnectionPool,
        response_buffers::ResponseBuffers, scheduler::Scheduler,
    },
    crate::{
        admin,
        clock::{self, Clock},
        http::{self, Server, memory::Account},
        metrics::Metrics,
        signal::{Shutdown, Signals},
        worker::Worker,
    },
    gotham::router::{
        Router,
        builder::{DefineSingleRoute as _, DrawRoutes as _},
    },
    rand::Rng as _,
    std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    tamarackdale_core::rollout::Observation,
    tamarackdale_platform::Settings,
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::{mpsc, watch},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Shortest time from SIGTERM until the callers' listener closes, and until requests are refused unless
/// their whole time is left. The load balancer polls the readiness every second and removes an instance
/// after two failed polls.
const UNREADY_DELAY: Duration = Duration::from_millis(2_500);

/// Time without a caller after which the callers' listener closes: retries and new connections of those
/// that were sent here before follow each other within tens of milliseconds under load.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Part of the time for requests in progress that is reserved for those whose connections have been opened
/// when the callers' listener closes: reading them and writing refusals, on a machine that is overloaded.
const LISTENER_RESERVE: Duration = Duration::from_millis(700);

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// File descriptors that are reserved for everything except callers' connections: backend servers,
/// peers, the store and files.
const RESERVED_DESCRIPTORS: usize = 900;

/// Interval at which the settings file is read again.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a gateway with the settings from the file at `path` until a signal shuts it down.
///
/// Fails if a listener cannot be bound or a thread cannot be started.
pub fn run(path: PathBuf, settings: Settings) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Installed first: without a handler a signal ends the process.
    let (hangup, signals) = {
        let _entered = runtime.enter();
        (signal(SignalKind::hangup())?, Signals::new()?)
    };
    let shutdown = Shutdown::new();
    let clock = Clock::new();
    let boot = rand::rng().random();
    let scheduler = Arc::new(Scheduler::new(clock, boot, &settings));
    let (follower_channels, store, observations) = follower::channels();
    let (introductions_sender, introductions) = mpsc::channel(MAX_PEERS);
    let (settings_sender, settings_receiver) = watch::channel(Arc::new(settings.clone()));
    let follower = Follower::new(
        settings_receiver.clone(),
        follower_channels,
        shutdown.clone(),
        boot,
    );
    let worker = Worker::spawn_async("follower", follower.run())?;
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let memory = Account::with_counter(
        Account::share_of(settings.max_memory_bytes),
        metrics.memory_counter(),
    );
    let context = Context {
        clock,
        boot,
        settings: settings_receiver,
        store,
        scheduler,
        pool: Arc::new(ConnectionPool::new()),
        origins: Arc::new(Origins::new(clock)),
        response_buffers: ResponseBuffers::new(settings.max_memory_bytes).with_account(&memory),
        memory,
        summary_broadcast: Arc::default(),
        known_peers: Arc::default(),
        introductions: introductions_sender,
        keepers: Arc::default(),
        metrics,
        shutdown: shutdown.clone(),
    };
    log::info!(version = env!("CARGO_PKG_VERSION"), boot = context.boot; "started");
    let watched = watch_settings(path, hangup, settings_sender, context.clone());
    let served = runtime.block_on(async {
        tokio::select! {
            served = serve(&settings, &shutdown, signals, context, introductions, observations) => served,
            error = watched => error,
        }
    });
    shutdown.closing.cancel();
    shutdown.aborting.cancel();
    drop(runtime);
    worker.join();
    log::info!("stopped");
    served
}

async fn serve(
    settings: &Settings,
    shutdown: &Shutdown,
    signals: Signals,
    context: Context,
    introductions: mpsc::Receiver<SocketAddr>,
    observations: mpsc::Receiver<Observation>,
) -> io::Result<()> {
    let is_ready = readiness(&context);
    let admin_context = admin::Context {
        metrics: context.metrics.clone(),
        is_ready,
    };
    let max_connections = settings
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(64);
    let timeouts_context = context.clone();
    let callers = Server::bind(
        "callers",
        settings.callers,
        max_connections,
        callers::routes(context.clone()),
    )
    .await?
    .with_memory(&context.memory)
    .with_timeouts(move || timeouts_context.connection_timeouts());
    let readiness = bind_admin("readiness", settings.readiness, &admin_context)
        .await?
        .with_memory(&context.memory);
    let metrics = bind_admin(
        "metrics",
        SocketAddr::new(settings.address, METRICS_PORT),
        &admin_context,
    )
    .await?
    .with_memory(&context.memory);
    let peers = Server::bind(
        "peers",
        settings.peers,
        MAX_PEERS,
        peer_routes(context.clone()),
    )
    .await?
    .with_memory(&context.memory);
    let unready = shutdown.with_closing(CancellationToken::new());
    let drained = shutdown.with_closing(CancellationToken::new());
    let finished = CancellationToken::new();
    let mut arrivals = callers.arrivals();
    let leave = async {
        shutdown.closing.cancelled().await;
        let time_left = shutdown.time_left().unwrap_or_default();
        let latest = time_left.saturating_sub(LISTENER_RESERVE);
        let quiet = timeout(latest, wait_for_quiet(&mut arrivals)).await;
        let are_callers_gone = quiet.is_ok();
        let closing_for_ms = shutdown.closing_for().map(|time| time.as_millis() as u64);
        log::info!(are_callers_gone, closing_for_ms; "the callers' listener closes");
        unready.closing.cancel();
    };
    let drain = async {
        tokio::join!(callers.serve(&unready), leave);
        drained.closing.cancel();
        // Peers never close their summary streams, so these are cut. No data is lost by that.
        shutdown.aborting.cancel();
    };
    let serving = async {
        tokio::join!(
            drain,
            peers.serve(&drained),
            readiness.serve(&drained),
            metrics.serve(&drained),
        );
        finished.cancel();
    };
    let limit = settings.bounds.grace_period.saturating_sub(EXIT_RESERVE);
    let exchange = async {
        tokio::join!(
            peers::run(context.clone(), introductions),
            origins::save(&context),
            origins::release_versions(&context),
            rollouts::run(&context, observations),
        )
    };
    let watching = shutdown.watch_signals(signals, limit, finished.clone());
    tokio::select! {
        _ = async { tokio::join!(watching, serving) } => {}
        _ = exchange => unreachable!("the exchange with peers does not end"),
    }
    Ok(())
}

/// Waits until the load balancer has noticed the shutdown and no caller has come for [`QUIET_TIME`].
async fn wait_for_quiet(arrivals: &mut watch::Receiver<u64>) {
    sleep(UNREADY_DELAY).await;
    arrivals.mark_unchanged();
    // The sender lives as long as the listener.
    while timeout(QUIET_TIME, arrivals.changed()).await.is_ok() {}
}

/// Port of the metrics listener, as the deployment file declares it.
const METRICS_PORT: u16 = 9_464;

/// Maximum number of connections to each of the listeners for peers, readiness and metrics, and of
/// queued introductions: a stream of summaries and a question for starts from each of 360 gateways, and a
/// check and a watch of the store from each of 100 gateways of a cell.
const MAX_PEERS: usize = 1_024;

async fn bind_admin(
    name: &'static str,
    address: SocketAddr,
    context: &admin::Context,
) -> io::Result<Server<Router>> {
    Server::bind(name, address, MAX_PEERS, admin::routes(context.clone())).await
}

/// Routes of the peers' listener.
fn peer_routes(context: Context) -> Router {
    http::router(context, |route| {
        route
            .post(tamarackdale_wire::path::SUMMARIES)
            .to_async(peers::stream_summaries);
        route
            .post(tamarackdale_wire::path::STARTS)
            .to_async(starts::answer);
        route
            .post(tamarackdale_wire::path::STORE_CHECK)
            .to_async(store_reader::answer_check);
        route
            .post(tamarackdale_wire::path::STORE_WATCH)
            .to_async(store_reader::answer_watch);
    })
}

/// Returns the readiness check: a gateway is ready while its configuration is confirmed to be
/// current, it knows backend servers and the number of gateways that share the quotas, and it is not
/// shutting down.
fn readiness(context: &Context) -> Arc<dyn Fn() -> bool + Send + Sync> {
    let context = context.clone();
    Arc::new(move || {
        let now = clock::boottime_now();
        let is_current = context
            .snapshot()
            .is_some_and(|snapshot| snapshot.freshness.is_fresh(now) && snapshot.is_usable(now));
        let knows_gateways = context.store.gateways.borrow().is_some();
        !context.shutdown.closing.is_cancelled()
            && is_current
            && knows_gateways
            && context.scheduler.has_servers()
    })
}

/// Reads the settings file again on SIGHUP and periodically, and applies changes. An invalid file
/// is logged and the current settings stay in force.
async fn watch_settings(
    path: PathBuf,
    mut hangup: Signal,
    sender: watch::Sender<Arc<Settings>>,
    context: Context,
) -> io::Result<()> {
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(SETTINGS_INTERVAL) => {}
            () = context.shutdown.closing.cancelled() => std::future::pending().await,
        }
        match Settings::read(&path) {
            Ok(settings) if settings == **sender.borrow() => {}
            Ok(settings) => {
                let needs_restart = !settings.has_same_addresses(&sender.borrow());
                log::info!(path:? = path, needs_start = needs_restart; "settings reloaded");
                context.scheduler.update_settings(&settings);
                sender.send_replace(Arc::new(settings));
            }
            Err(error) => log::warn!(path:? = path; "settings not reloaded: {error}"),
        }
    }
}
