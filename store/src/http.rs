//! HTTP client with bounded calls.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    flate2::read::GzDecoder,
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{
            ACCEPT_ENCODING, CONTENT_ENCODING, CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH,
        },
    },
    hyper_util::{
        client::legacy::{Client as Pool, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        io::Read as _,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Longest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Encoding in which a body may be sent.
const GZIP: &str = "gzip";

/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle connections kept.
const POOL_MAX_IDLE: usize = 8;

/// Why a call gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection came about, so nothing was sent.
    #[display("cannot connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The request may have been sent; the answer was lost or late.
    #[display("the answer was lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The server answered with an error.
    #[display("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        body: String,
    },
}

/// What was read.
pub enum Page {
    /// What the reader knows already.
    Unchanged,
    /// Something else.
    Changed {
        /// Body.
        body: Bytes,
        /// Entity tag, if the server gives one.
        tag: Option<HeaderValue>,
    },
}

/// A client of one server. Clones share connections.
#[derive(Clone)]
pub struct Client {
    endpoint: String,
    timeout: Duration,
    content_type: &'static str,
    pool: Arc<Mutex<Pool<HttpConnector, Full<Bytes>>>>,
}

impl Client {
    /// A client of the server at `endpoint`, such as `http://10.0.0.1:2379`.
    pub fn new(endpoint: &str, timeout: Duration) -> Self {
        Self {
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            timeout,
            content_type: "application/octet-stream",
            pool: Arc::new(Mutex::new(new_pool(timeout))),
        }
    }

    /// The same server with another bound on each call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            timeout,
            pool: Arc::new(Mutex::new(new_pool(timeout))),
            ..self
        }
    }

    /// Sets the type of the bodies sent.
    pub fn with_content_type(mut self, content_type: &'static str) -> Self {
        self.content_type = content_type;
        self
    }

    /// Posts a body and reads the whole answer.
    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> Result<Bytes, Error> {
        self.bounded(async {
            let response = self.send(self.post_request(path, body.into())?).await?;
            read(response.into_body()).await
        })
        .await
    }

    /// Posts a body; the answer's body is a stream without a bound on its duration.
    pub async fn open(&self, path: &str, body: impl Into<Bytes>) -> Result<Incoming, Error> {
        self.bounded(async {
            let response = self.send(self.post_request(path, body.into())?).await?;
            Ok(response.into_body())
        })
        .await
    }

    /// Reads the endpoint itself.
    pub async fn get(&self) -> Result<Bytes, Error> {
        self.fetch("").await
    }

    /// Reads a path below the endpoint.
    pub async fn fetch(&self, path: &str) -> Result<Bytes, Error> {
        let request = Request::get(format!("{}{path}", self.endpoint))
            .body(Full::default())
            .map_err(|error| Error::Connect(error.to_string()))?;
        self.bounded(async { read(self.send(request).await?.into_body()).await })
            .await
    }

    /// Reads the endpoint itself, unless it still is what `known` names.
    pub async fn get_newer(&self, known: Option<&HeaderValue>) -> Result<Page, Error> {
        let mut request = Request::get(&self.endpoint)
            .body(Full::default())
            .map_err(|error| Error::Connect(error.to_string()))?;
        if let Some(tag) = known {
            request.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let gzip = HeaderValue::from_static(GZIP);
        request.headers_mut().insert(ACCEPT_ENCODING, gzip);
        self.bounded(async {
            let response = match self.send(request).await {
                Ok(response) => response,
                Err(Error::Status { status, .. }) if status == StatusCode::NOT_MODIFIED => {
                    return Ok(Page::Unchanged);
                }
                Err(error) => return Err(error),
            };
            let tag = response.headers().get(ETAG).cloned();
            let is_packed = response
                .headers()
                .get(CONTENT_ENCODING)
                .is_some_and(|encoding| encoding == GZIP);
            let body = read(response.into_body()).await?;
            let body = if is_packed { unpack(&body)? } else { body };
            Ok(Page::Changed { body, tag })
        })
        .await
    }

    fn post_request(&self, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, Error> {
        Request::post(format!("{}{path}", self.endpoint))
            .header(CONTENT_TYPE, self.content_type)
            .body(Full::new(body))
            .map_err(|error| Error::Connect(error.to_string()))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let pool = self.lock().clone();
        let response = pool.request(request).await.map_err(|error| {
            let text = describe(&error);
            match error.is_connect() {
                true => Error::Connect(text),
                false => Error::Lost(text),
            }
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = read(response.into_body()).await.unwrap_or_default();
        Err(Error::Status {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Bounds a call. After a timeout no pooled connection is used again, since others may be as
    /// silent as the one that was waited on.
    async fn bounded<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        match timeout(self.timeout, call).await {
            Ok(result) => result,
            Err(_) => {
                *self.lock() = new_pool(self.timeout);
                Err(Error::Lost(format!("no answer in {:?}", self.timeout)))
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Pool<HttpConnector, Full<Bytes>>> {
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
        // A silent second sending could repeat a write.
        .retry_canceled_requests(false)
        .build(connector)
}

async fn read(body: Incoming) -> Result<Bytes, Error> {
    Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map(|collected| collected.to_bytes())
        .map_err(|error| Error::Lost(error.to_string()))
}

/// The content of a gzip body, within the same bound.
fn unpack(body: &[u8]) -> Result<Bytes, Error> {
    let mut content = Vec::new();
    let mut decoder = GzDecoder::new(body).take(MAX_BODY_BYTES as u64 + 1);
    match decoder.read_to_end(&mut content) {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(content.into()),
        Ok(_) => Err(Error::Lost("the content is too long".to_owned())),
        Err(error) => Err(Error::Lost(error.to_string())),
    }
}

/// The error with its causes.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
