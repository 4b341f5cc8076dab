//! HTTP clients.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{io, time::Duration},
    tamarackdale_store::http::interim,
};

/// Longest time until a connection is established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shorter than the idle timeout of the daemon's listeners, so that the client closes first.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the read buffer of a connection, in bytes, and so of the longest response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why a request has no response.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The connection could not be established, or broke.
    #[display("{_0}")]
    Connection(legacy::Error),
    /// The interim responses have more than [`interim::MAX_BYTES`] bytes. The request may have run.
    #[display("more than {} bytes of interim responses", interim::MAX_BYTES)]
    Interim,
}

impl Failure {
    /// Whether no connection was established, so nothing was sent.
    pub fn is_connect(&self) -> bool {
        match self {
            Self::Connection(error) => error.is_connect(),
            Self::Interim => false,
        }
    }

    /// Whether no process listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        let mut source: Option<&dyn std::error::Error> = Some(self);
        while let Some(error) = source {
            if let Some(io) = error.downcast_ref::<io::Error>() {
                return io.kind() == io::ErrorKind::ConnectionRefused;
            }
            source = error.source();
        }
        false
    }
}

/// Client for requests whose body is in memory.
#[derive(Clone)]
pub struct HttpClient {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps idle connections for reuse.
    pub fn pooled() -> Self {
        Self::new(usize::MAX)
    }

    /// Creates a client that opens a connection for each request, for use where idle connections may
    /// be dead.
    pub fn unpooled() -> Self {
        Self::new(0)
    }

    fn new(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            // An automatic retry would break at-most-once execution.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the final response.
    pub async fn request(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let sending = interim::send_bounded(request, |request| self.client.request(request));
        match sending.await {
            Some(sent) => sent.map_err(Failure::Connection),
            None => Err(Failure::Interim),
        }
    }
}
