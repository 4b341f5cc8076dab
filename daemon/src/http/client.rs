//! HTTP clients.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::time::Duration,
};

/// Longest time until a connection is established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shorter than the idle timeout of the daemon's listeners, so that the client closes first.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client for requests whose body is in memory.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that keeps idle connections for reuse.
pub fn pooled() -> HttpClient {
    build(usize::MAX)
}

/// Creates a client that opens a connection for each request, for use where idle connections may
/// be dead.
pub fn unpooled() -> HttpClient {
    build(0)
}

fn build(max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        // An automatic retry would break at-most-once execution.
        .retry_canceled_requests(false)
        .build(connector)
}
