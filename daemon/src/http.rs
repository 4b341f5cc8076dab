//! HTTP: listeners with graceful shutdown, clients and bodies.

pub mod body;
pub mod client;
pub mod server;

pub use server::Server;

use {
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{Pipeline, SinglePipelineChain, single_middleware, single_pipeline},
        router::{
            Router,
            builder::{DefineSingleRoute as _, DrawRoutes as _, RouterBuilder, build_router},
        },
        state::{State, StateData},
    },
    hyper::Method,
    std::{io, panic::RefUnwindSafe},
    tokio::runtime::Runtime,
};

/// The middleware that gives each handler the context.
type Shared<X> = (StateMiddleware<X>, ());

/// Draws routes whose handlers share the context `X`.
pub type Routes<'a, X> =
    RouterBuilder<'a, SinglePipelineChain<Shared<X>>, (Pipeline<Shared<X>>, ())>;

/// A router whose handlers find `context` in their state.
pub fn router<X>(context: X, draw: impl FnOnce(&mut Routes<'_, X>)) -> Router
where
    X: StateData + Clone + RefUnwindSafe + Sync,
{
    let middleware = StateMiddleware::new(context);
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, draw)
}

/// A router that brings every method and path to one handler.
pub fn catch_all_router<X, H, F>(context: X, handler: H) -> Router
where
    X: StateData + Clone + RefUnwindSafe + Sync,
    H: FnOnce(State) -> F + RefUnwindSafe + Copy + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    router(context, |route| {
        route.request(methods(), "/").to_async(handler);
        route.request(methods(), "/*").to_async(handler);
    })
}

/// Every method that callers use.
fn methods() -> Vec<Method> {
    vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
    ]
}

/// The runtime that HTTP is served on.
///
/// Fails when its threads cannot be started.
pub fn runtime(threads: usize) -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("http")
        .worker_threads(threads)
        .build()
}
