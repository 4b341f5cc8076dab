//! HTTP client with a timeout on each call.
//!
//! The timeout covers the response head and each wait for more of the body, not the whole transfer:
//! a large body over a slow link takes longer than any timeout that detects a dead connection soon.

pub mod interim;

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    flate2::read::GzDecoder,
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{
            ACCEPT_ENCODING, CONTENT_ENCODING, CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH,
        },
        http::response::Parts,
    },
    hyper_util::{
        client::legacy::{Client as Pool, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        io::Read as _,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Longest response body accepted, in bytes, also after decompression, unless the client has another limit.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Size of the read buffer of a connection, in bytes, and so of the longest response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Least average rate, in bytes per second, at which a response body must arrive once the timeout
/// has passed. Bounds the time that a server can hold a call by sending a byte now and then. A
/// hundredth of the slowest link of the platform (10 Mbit/s) or a little more.
const MIN_BODY_RATE: f64 = 16.0 * 1024.0;

/// Content encoding that the client accepts from the server.
const GZIP: &str = "gzip";

/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Most idle connections kept in the pool.
const POOL_MAX_IDLE: usize = 8;

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection was established, so nothing was sent.
    #[display("cannot connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The request may have been sent, but no complete response was received in time.
    #[display("no complete response received: {_0}")]
    Lost(#[error(not(source))] String),
    /// The server responded with a status other than success.
    #[display("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the response, as text.
        body: String,
    },
}

/// Response to a conditional `GET`.
pub enum ConditionalResponse {
    /// The content still has the entity tag that the request named.
    NotModified,
    /// The content differs, or the request named no entity tag.
    Modified {
        /// Body.
        body: Bytes,
        /// Entity tag, if the server sends one.
        etag: Option<HeaderValue>,
    },
}

/// Client of one server. Clones share a connection pool.
#[derive(Clone)]
pub struct Client {
    endpoint: String,
    timeout: Duration,
    max_body_bytes: usize,
    content_type: &'static str,
    pool: Arc<Mutex<Pool<HttpConnector, Full<Bytes>>>>,
}

impl Client {
    /// A client of the server at `endpoint`, such as `http://10.0.0.1:2379`. `timeout` bounds the
    /// time to the head of a response and each wait for more of its body.
    pub fn new(endpoint: &str, timeout: Duration) -> Self {
        Self {
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            timeout,
            max_body_bytes: MAX_BODY_BYTES,
            content_type: "application/octet-stream",
            pool: Arc::new(Mutex::new(new_pool(timeout))),
        }
    }

    /// Sets the timeout of each call. The client gets a connection pool of its own.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            timeout,
            pool: Arc::new(Mutex::new(new_pool(timeout))),
            ..self
        }
    }

    /// Sets the longest response body accepted, in bytes.
    pub fn with_max_body(mut self, bytes: usize) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the content type of the request bodies.
    pub fn with_content_type(mut self, content_type: &'static str) -> Self {
        self.content_type = content_type;
        self
    }

    /// Posts a body and reads the whole response.
    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> Result<Bytes, Error> {
        let response = self.send(self.post_request(path, body.into())?).await?;
        self.read_body(response.into_body()).await
    }

    /// Posts a body and reads the whole response, whatever its status.
    pub async fn post_response(
        &self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<Bytes>, Error> {
        self.post_with_head(path, body, |_| {}).await
    }

    /// Posts a body and reads the whole response, whatever its status. `on_head` is called as soon as
    /// the head of the response has been received.
    pub async fn post_with_head(
        &self,
        path: &str,
        body: impl Into<Bytes>,
        on_head: impl FnOnce(&Parts),
    ) -> Result<Response<Bytes>, Error> {
        let response = self.request(self.post_request(path, body.into())?).await?;
        let (parts, body) = response.into_parts();
        on_head(&parts);
        Ok(Response::from_parts(parts, self.read_body(body).await?))
    }

    /// Sends a `GET` to a path below the endpoint and reads the whole response, whatever its status.
    pub async fn get_response(&self, path: &str) -> Result<Response<Bytes>, Error> {
        let (parts, body) = self.request(self.get_request(path)?).await?.into_parts();
        Ok(Response::from_parts(parts, self.read_body(body).await?))
    }

    /// Posts a body and returns the response body as a stream. The timeout covers the response head
    /// only.
    pub async fn open(&self, path: &str, body: impl Into<Bytes>) -> Result<Incoming, Error> {
        let response = self.send(self.post_request(path, body.into())?).await?;
        Ok(response.into_body())
    }

    /// Sends a `GET` to the endpoint itself.
    pub async fn get(&self) -> Result<Bytes, Error> {
        self.fetch("").await
    }

    /// Sends a `GET` to a path below the endpoint.
    pub async fn fetch(&self, path: &str) -> Result<Bytes, Error> {
        let response = self.send(self.get_request(path)?).await?;
        self.read_body(response.into_body()).await
    }

    /// Sends a `GET` to the endpoint itself, conditional on a change since the content with the
    /// entity tag `etag`, and accepts a gzip response.
    pub async fn get_if_modified(
        &self,
        etag: Option<&HeaderValue>,
    ) -> Result<ConditionalResponse, Error> {
        let mut request = Request::get(&self.endpoint)
            .body(Full::default())
            .map_err(|error| Error::Connect(error.to_string()))?;
        if let Some(etag) = etag {
            request.headers_mut().insert(IF_NONE_MATCH, etag.clone());
        }
        let gzip = HeaderValue::from_static(GZIP);
        request.headers_mut().insert(ACCEPT_ENCODING, gzip);
        let response = match self.send(request).await {
            Ok(response) => response,
            Err(Error::Status { status, .. }) if status == StatusCode::NOT_MODIFIED => {
                return Ok(ConditionalResponse::NotModified);
            }
            Err(error) => return Err(error),
        };
        let etag = response.headers().get(ETAG).cloned();
        let is_gzip = response
            .headers()
            .get(CONTENT_ENCODING)
            .is_some_and(|encoding| encoding == GZIP);
        let body = self.read_body(response.into_body()).await?;
        let body = match is_gzip {
            true => decompress(&body, self.max_body_bytes)?,
            false => body,
        };
        Ok(ConditionalResponse::Modified { body, etag })
    }

    fn get_request(&self, path: &str) -> Result<Request<Full<Bytes>>, Error> {
        Request::get(format!("{}{path}", self.endpoint))
            .body(Full::default())
            .map_err(|error| Error::Connect(error.to_string()))
    }

    fn post_request(&self, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, Error> {
        Request::post(format!("{}{path}", self.endpoint))
            .header(CONTENT_TYPE, self.content_type)
            .body(Full::new(body))
            .map_err(|error| Error::Connect(error.to_string()))
    }

    /// Sends a request and returns the response as soon as its head has been received.
    async fn request(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let pool = self.lock_pool().clone();
        let sending = interim::send_bounded(request, |request| pool.request(request));
        let Ok(sent) = timeout(self.timeout, sending).await else {
            self.replace_pool();
            let limit = self.timeout;
            return Err(Error::Lost(format!("no response within {limit:?}")));
        };
        let Some(sent) = sent else {
            return Err(Error::Lost(format!(
                "more than {} bytes of interim responses",
                interim::MAX_BYTES
            )));
        };
        match sent {
            // hyper gives out an upgrade, which was not asked for.
            Ok(response) if response.status().is_informational() => {
                let status = response.status();
                Err(Error::Lost(format!(
                    "the response is not a final one: {status}"
                )))
            }
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(Error::Connect(format_with_causes(&error))),
            Err(error) => Err(Error::Lost(format_with_causes(&error))),
        }
    }

    /// Sends a request, and reads the body into the error unless the status is a success.
    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let response = self.request(request).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = self.read_body(response.into_body()).await;
        let body = body.unwrap_or_else(|error| error.to_string().into());
        Err(Error::Status {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Reads a whole body for as long as it keeps arriving.
    async fn read_body(&self, body: Incoming) -> Result<Bytes, Error> {
        let started = Instant::now();
        let mut body = Limited::new(body, self.max_body_bytes);
        let mut bytes = BytesMut::new();
        loop {
            let allowed =
                self.timeout + Duration::from_secs_f64(bytes.len() as f64 / MIN_BODY_RATE);
            let left = allowed.saturating_sub(started.elapsed());
            let frame = match timeout(left.min(self.timeout), body.frame()).await {
                Ok(None) => return Ok(bytes.freeze()),
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(Error::Lost(error.to_string())),
                Err(_) => {
                    self.replace_pool();
                    return Err(Error::Lost(format!(
                        "the response body stalled: {} bytes within {:?}",
                        bytes.len(),
                        started.elapsed()
                    )));
                }
            };
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
        }
    }

    /// Replaces the connection pool after a timeout: the other pooled connections may be as
    /// unresponsive as the one that timed out.
    fn replace_pool(&self) {
        *self.lock_pool() = new_pool(self.timeout);
    }

    fn lock_pool(&self) -> std::sync::MutexGuard<'_, Pool<HttpConnector, Full<Bytes>>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_pool(timeout: Duration) -> Pool<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeout / 2));
    connector.set_nodelay(true);
    Pool::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(POOL_MAX_IDLE)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        // An automatic retry could repeat a write.
        .retry_canceled_requests(false)
        .build(connector)
}

/// Decompresses a gzip body of at most `max_bytes` decompressed bytes.
fn decompress(body: &[u8], max_bytes: usize) -> Result<Bytes, Error> {
    let mut content = Vec::new();
    let mut decoder = GzDecoder::new(body).take(max_bytes as u64 + 1);
    match decoder.read_to_end(&mut content) {
        Ok(length) if length <= max_bytes => Ok(content.into()),
        Ok(_) => Err(Error::Lost(format!(
            "decompressed body is longer than {max_bytes} bytes"
        ))),
        Err(error) => Err(Error::Lost(error.to_string())),
    }
}

/// Formats an error with its chain of causes.
fn format_with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
