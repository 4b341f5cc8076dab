//! The sidecar, which queues and dispatches requests for one backend server and buffers responses.

pub mod backend_server;
pub mod budget;
pub mod cache_events;
pub mod context;
pub mod dispatch;
pub mod exchange;
pub mod handlers;
pub mod reader;
pub mod report_stream;
pub mod response_buffer;
pub mod task;

use {
    self::{backend_server::BackendServer, budget::Budget, context::Context, dispatch::Dispatcher},
    crate::{
        admin,
        channel::BoundedSender,
        clock::Clock,
        configuration,
        configuration::{ConfigurationHandle, handle::Identity},
        http::{self, Server, memory::Account},
        metrics::Metrics,
        settings,
        signal::Shutdown,
        worker::Worker,
    },
    rand::Rng as _,
    std::{io, sync::Arc, time::Duration},
    tamarackdale_core::{cost::Rates, floor, id, queue, report::Report},
    tokio::sync::watch,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Capacity of the channel to the dispatch worker, in commands.
const DISPATCH_CAPACITY: usize = 8192;

/// Time for which the sidecar reports to routers that it is leaving, before it may end.
const LEAVE_NOTICE_PERIOD: Duration = Duration::from_millis(300);

/// Time for tasks to log what they abort: thread scheduling on a loaded machine.
const ABORT_PERIOD: Duration = Duration::from_millis(100);

/// Runs a sidecar until it has received a termination signal and finished its work.
///
/// Fails when a listener cannot be bound or a thread cannot be started.
pub fn run(settings: settings::Sidecar) -> io::Result<()> {
    let runtime = http::runtime(settings.common.http_threads)?;
    let shutdown = Shutdown::new();
    let boot = id::Boot(rand::rng().random());
    let configuration = configuration::Settings {
        store: settings.common.store.clone(),
        instance_list: settings.common.instance_list.clone(),
        services: vec![settings.service.clone()],
        identity: Identity::new(&settings.common, boot, "sidecar"),
    };
    let (configuration, handle) = configuration::spawn(configuration, &shutdown)?;
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let (context, dispatch) = start_dispatch(&settings, boot, &shutdown, handle, &metrics)?;
    let result = runtime.block_on(serve(&settings, &shutdown, context, metrics));
    shutdown.aborting.cancel();
    drop(runtime);
    dispatch.join();
    configuration.join();
    result
}

/// Starts the dispatch worker and builds the state that the handlers share.
fn start_dispatch(
    settings: &settings::Sidecar,
    boot: id::Boot,
    shutdown: &Shutdown,
    configuration: ConfigurationHandle,
    metrics: &Metrics,
) -> io::Result<(Context, Worker)> {
    let clock = Clock::new();
    let incarnation = id::Incarnation {
        instance: settings.common.instance.clone(),
        boot,
    };
    let (sender, commands) = BoundedSender::new(DISPATCH_CAPACITY);
    let (report_sender, report) = watch::channel(initial_report(settings, &incarnation));
    let revision = current_revision(settings.service.clone(), configuration.catalogue.clone());
    let dispatch_settings = dispatch_settings(settings, incarnation);
    let handle = configuration.clone();
    let metrics = metrics.clone();
    let dispatch = Worker::spawn("dispatch", move || {
        Dispatcher::new(
            dispatch_settings,
            clock,
            commands,
            report_sender,
            revision,
            metrics,
            move || handle.is_leaving(),
        )
        .run();
    })?;
    let tasks = task::Context {
        clock,
        backend_server: Arc::new(BackendServer::new(settings.backend_server.clone())),
        dispatch: sender.clone(),
        budget: Budget::new(settings.max_kept_bytes),
        router_absence_limit: settings.router_absence_limit,
        tracker: TaskTracker::new(),
        shutdown: shutdown.clone(),
    };
    let context = Context {
        boot,
        dispatch: sender,
        tasks,
        report,
        report_interval: settings.report_interval,
        catalogue: configuration.catalogue.clone(),
        configuration,
        drained: CancellationToken::new(),
        max_body_bytes: settings.common.max_body_bytes,
    };
    Ok((context, dispatch))
}

fn dispatch_settings(
    settings: &settings::Sidecar,
    incarnation: id::Incarnation,
) -> dispatch::Settings {
    dispatch::Settings {
        incarnation,
        service: settings.service.clone(),
        queue: queue::Settings {
            order: settings.queue_order,
            max_requests: settings.max_waiting,
            ..queue::Settings::default()
        },
        batch: settings.batch,
        floor: floor::Settings {
            is_enabled: settings.uses_floor,
            ..floor::Settings::default()
        },
    }
}

fn initial_report(settings: &settings::Sidecar, incarnation: &id::Incarnation) -> Report {
    let batch = settings.batch;
    Report {
        incarnation: incarnation.clone(),
        service: settings.service.clone(),
        leaving: false,
        revision: 0,
        floor: floor::Notice::OPEN,
        limit: batch.initial,
        running: 0,
        running_tokens: 0,
        unprefilled_tokens: 0,
        waiting: Vec::new(),
        rates: Rates::new(batch.rates.prefill, batch.rates.decode),
        evicted_prefixes: Vec::new(),
        seen: Vec::new(),
        notices: Vec::new(),
    }
}

/// Returns a function that reads the revision of the service's document in force.
fn current_revision(
    service: String,
    catalogue: configuration::catalogue::CatalogueReceiver,
) -> impl Fn() -> tamarackdale_core::document::Revision + Send + 'static {
    move || catalogue.borrow().revision(&service)
}

async fn serve(
    settings: &settings::Sidecar,
    shutdown: &Shutdown,
    context: Context,
    metrics: Metrics,
) -> io::Result<()> {
    let common = &settings.common;
    let memory = Account::with_counter(settings.max_kept_bytes, metrics.memory_counter());
    let admin = admin::Context {
        metrics,
        is_ready: readiness(context.configuration.clone(), shutdown),
    };
    let tracker = context.tasks.tracker.clone();
    let cache_events = cache_events::follow(
        Arc::clone(&context.tasks.backend_server),
        context.dispatch.clone(),
        settings.service.clone(),
        context.catalogue.clone(),
    );
    let drained = context.drained.clone();
    let peers = Server::bind(
        "peers",
        common.peer_listen,
        common.max_connections,
        handlers::routes(context),
    )
    .await?
    .with_memory(&memory);
    let admin = admin::bind(common, admin).await?.with_memory(&memory);
    // The listeners stay open until all tasks have ended, so that routers can fetch responses.
    let draining = shutdown.with_closing(drained.clone());
    let finished = CancellationToken::new();
    let abort = async {
        shutdown.aborting.cancelled().await;
        tokio::time::sleep(ABORT_PERIOD).await;
    };
    let drain = async {
        shutdown.closing.cancelled().await;
        tokio::time::sleep(LEAVE_NOTICE_PERIOD).await;
        tracker.close();
        tokio::select! {
            () = tracker.wait() => {}
            () = abort => {}
        }
        drained.cancel();
    };
    let serving = async {
        tokio::join!(peers.serve(&draining), admin.serve(&draining), drain);
        finished.cancel();
    };
    let following_cache = async {
        tokio::select! {
            () = cache_events => {}
            () = finished.cancelled() => {}
        }
    };
    let (result, (), ()) = tokio::join!(
        shutdown.watch(common.shutdown_limit, finished.clone()),
        serving,
        following_cache
    );
    log::info!("closed");
    result
}

/// Returns the readiness check: the sidecar is not closing and has every document that it needs.
fn readiness(
    handle: ConfigurationHandle,
    shutdown: &Shutdown,
) -> Arc<dyn Fn() -> bool + Send + Sync> {
    let closing = shutdown.closing.clone();
    Arc::new(move || !closing.is_cancelled() && handle.has_required_documents())
}
