//! The router: takes callers' requests and brings each to a sidecar.

pub mod callers;
pub mod context;
pub mod inbound;
pub mod membership;
pub mod peer;
pub mod placement;
pub mod refusal;
pub mod relay;

use {
    self::{context::Context, placement::Placement},
    crate::{
        admin, configuration,
        configuration::{catalogue::Shared, handlers::get_document},
        http::Server,
        metrics::Metrics,
        settings,
        signal::Shutdown,
        uptime::Clock,
    },
    gotham::{
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        router::{
            Router,
            builder::{DefineSingleRoute as _, DrawRoutes as _, build_router},
        },
    },
    rand::Rng as _,
    std::{io, sync::Arc},
    tamarackdale_core::{id::Boot, route::Policy},
    tamarackdale_wire::path,
    tokio::sync::Semaphore,
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Runs a router until it has been told to end and has finished its work.
///
/// Fails when a listener cannot be bound or a thread cannot be started.
pub fn run(settings: settings::Router) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("http")
        .worker_threads(settings.common.http_threads)
        .build()?;
    let shutdown = Shutdown::new();
    let services = settings.services.clone();
    let (configuration, catalogue) =
        configuration::spawn(&settings.common.store, services, &shutdown)?;
    let clock = Clock::new();
    let boot = Boot(rand::rng().random());
    let (placement_duty, placement) = Placement::spawn(boot, clock, Policy::default())?;
    let membership = membership::spawn(
        membership::Settings {
            instance_list: settings.common.instance_list.clone(),
            boot,
            instance: settings.common.instance.clone(),
            data_centre: settings.common.data_centre.clone(),
            services: settings.services.clone(),
        },
        placement.clone(),
        &shutdown,
    )?;
    let context = Context {
        clock,
        catalogue,
        placement,
        peers: peer::Client::new(),
        metrics: Metrics::new().map_err(io::Error::other)?,
        tracker: TaskTracker::new(),
        max_body_bytes: settings.common.max_body_bytes,
        buffers: Arc::new(Semaphore::new(settings.max_buffered_bytes)),
    };
    let served = runtime.block_on(serve(&settings, &shutdown, context));
    shutdown.cutting.cancel();
    membership.join();
    configuration.join();
    drop(runtime);
    placement_duty.join();
    served
}

async fn serve(
    settings: &settings::Router,
    shutdown: &Shutdown,
    context: Context,
) -> io::Result<()> {
    let common = &settings.common;
    let admin = admin::Context {
        metrics: context.metrics.clone(),
        is_ready: readiness(&settings.services, &context.catalogue, shutdown),
    };
    let tracker = context.tracker.clone();
    let peers = Server::bind(
        "peers",
        common.peer_listen,
        common.max_connections,
        peer_routes(context.clone()),
    )
    .await?;
    let callers = Server::bind(
        "callers",
        settings.listen,
        common.max_connections,
        callers::routes(context),
    )
    .await?;
    let admin = Server::bind(
        "admin",
        common.admin_listen,
        common.max_connections,
        admin::routes(admin),
    )
    .await?;
    let drained = Shutdown {
        closing: CancellationToken::new(),
        cutting: shutdown.cutting.clone(),
    };
    let finished = CancellationToken::new();
    // The balancer sees the router unready before the listener closes.
    let unready = Shutdown {
        closing: CancellationToken::new(),
        cutting: shutdown.cutting.clone(),
    };
    let announce = async {
        shutdown.closing.cancelled().await;
        tokio::time::sleep(settings.unready_delay).await;
        unready.closing.cancel();
    };
    let drain = async {
        tokio::join!(callers.serve(&unready), announce);
        tracker.close();
        tokio::select! {
            () = tracker.wait() => {}
            () = shutdown.cutting.cancelled() => {}
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

/// The router of the peer listener.
fn peer_routes(context: Context) -> Router {
    let middleware = StateMiddleware::new(context);
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route
            .get(&format!("{}/:service", path::DOCUMENTS))
            .with_path_extractor::<configuration::handlers::Path>()
            .to(get_document::<Context>);
    })
}

fn readiness(
    services: &[String],
    catalogue: &Shared,
    shutdown: &Shutdown,
) -> Arc<dyn Fn() -> bool + Send + Sync> {
    let services = services.to_vec();
    let catalogue = catalogue.clone();
    let closing = shutdown.closing.clone();
    Arc::new(move || {
        let catalogue = catalogue.borrow();
        !closing.is_cancelled() && services.iter().all(|name| catalogue.get(name).is_some())
    })
}
