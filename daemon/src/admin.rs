//! The admin listener: metrics and health probes.

use {
    crate::{
        http::{self, Server, body},
        metrics::Metrics,
        settings::Common,
    },
    gotham::{
        helpers::http::Body,
        hyper::{Response, StatusCode},
        router::{
            Router,
            builder::{DefineSingleRoute as _, DrawRoutes as _},
        },
        state::{FromState as _, State, StateData},
    },
    std::{io, panic::RefUnwindSafe, sync::Arc},
};

/// State shared by the admin handlers.
#[derive(Clone)]
pub struct Context {
    /// The process's metrics.
    pub metrics: Metrics,
    /// Whether the process can accept work.
    pub is_ready: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl StateData for Context {}

/// The handlers only read, so a panic in one leaves no inconsistent state.
impl RefUnwindSafe for Context {}

/// Binds the admin listener.
///
/// Fails when the address cannot be bound.
pub async fn bind(common: &Common, context: Context) -> io::Result<Server<Router>> {
    Server::bind(
        "admin",
        common.admin_listen,
        common.max_connections,
        routes(context),
    )
    .await
}

/// Routes of the admin listener: `/metrics`, `/live` and `/ready`.
pub fn routes(context: Context) -> Router {
    http::router(context, |route| {
        route.get("/metrics").to(metrics);
        route.get("/live").to(live);
        route.get("/ready").to(ready);
    })
}

fn metrics(state: State) -> (State, Response<Body>) {
    let text = Context::borrow_from(&state).metrics.render();
    (state, Response::new(body::full(text)))
}

fn live(state: State) -> (State, Response<Body>) {
    (state, body::status(StatusCode::OK))
}

fn ready(state: State) -> (State, Response<Body>) {
    let is_ready = (Context::borrow_from(&state).is_ready)();
    let code = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (state, body::status(code))
}
