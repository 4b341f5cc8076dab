//! HTTP servers with graceful shutdown, clients and bodies.

pub mod activity;
pub mod body;
pub mod client;
pub mod memory;
pub mod probe;
pub mod request_body;
pub mod response_body;
pub mod server;
pub mod unframed;

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

/// Middleware that puts the shared context into each request's state.
type ContextMiddleware<X> = (StateMiddleware<X>, ());

/// Builder for routes whose handlers share the context `X`.
pub type Routes<'a, X> = RouterBuilder<
    'a,
    SinglePipelineChain<ContextMiddleware<X>>,
    (Pipeline<ContextMiddleware<X>>, ()),
>;

/// Builds a router whose handlers find `context` in the request's state.
pub fn router<X>(context: X, draw: impl FnOnce(&mut Routes<'_, X>)) -> Router
where
    X: StateData + Clone + RefUnwindSafe + Sync,
{
    let middleware = StateMiddleware::new(context);
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, draw)
}

/// Builds a router that sends every path and every supported method to one handler.
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

/// Methods that callers may use.
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

/// Creates the Tokio runtime that serves HTTP.
///
/// Fails when its threads cannot be started.
pub fn runtime(threads: usize) -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("http")
        .worker_threads(threads)
        .build()
}
