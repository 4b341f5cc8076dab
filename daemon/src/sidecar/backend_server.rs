//! Client of the sidecar's backend server.

use {
    super::exchange::is_hop_by_hop,
    crate::http::client::{self, HttpClient},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, Response, body::Incoming},
    std::time::Duration,
    tamarackdale_core::failure::{Failure, Reason},
    tamarackdale_wire::message::Enqueue,
    tokio::time::timeout,
};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of one backend server.
pub struct BackendServer {
    url: String,
    client: HttpClient,
}

impl BackendServer {
    /// Creates a client of the backend server at `url`.
    pub fn new(url: String) -> Self {
        Self {
            url,
            client: client::unpooled(),
        }
    }

    /// Dispatches a request, on a new connection. A pooled connection may have died unnoticed, and
    /// after a failure on it, it would be unknown whether the request ran.
    ///
    /// The failure is `not-run` if nothing was sent, because the request is malformed or no
    /// connection could be opened.
    pub async fn send(&self, message: &Enqueue) -> Result<Response<Incoming>, Failure> {
        let request = self
            .build_request(message)
            .map_err(|_| Failure::not_run(Reason::BadRequest))?;
        self.client.request(request).await.map_err(|error| {
            log::warn!("request to the backend server failed: {error}");
            if error.is_connect() {
                return Failure::not_run(Reason::BackendServer);
            }
            Failure::may_have_run(Reason::BackendServer)
        })
    }

    fn build_request(&self, message: &Enqueue) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut builder = Request::builder()
            .method(message.method.as_str())
            .uri(format!("{}{}", self.url, message.path));
        for header in &message.headers {
            if !is_hop_by_hop(&header.name) {
                builder = builder.header(&header.name, header.value.as_slice());
            }
        }
        builder.body(Full::new(message.body.clone()))
    }

    /// Requests the events of a response after `sequence`, on a new connection; `None` if the
    /// backend server does not respond or does not know the response.
    pub async fn resume(&self, id: &str, sequence: Option<u64>) -> Option<Response<Incoming>> {
        let after = sequence.map_or(String::new(), |number| format!("&starting_after={number}"));
        let path = format!("/v1/responses/{id}?stream=true{after}");
        let response = self.control(Method::GET, &path).await?;
        response.status().is_success().then_some(response)
    }

    /// Cancels a response at the backend server.
    pub async fn cancel(&self, id: &str) {
        let path = format!("/v1/responses/{id}/cancel");
        if self.control(Method::POST, &path).await.is_none() {
            log::warn!(response = id; "the backend server did not respond to the cancellation");
        }
    }

    /// Requests the events of the backend server's prefix cache; `None` if it publishes none.
    pub async fn cache_events(&self) -> Option<Response<Incoming>> {
        let response = self.control(Method::GET, "/v1/cache/events").await?;
        response.status().is_success().then_some(response)
    }

    /// Sends a request without a body; `None` if it fails or times out.
    async fn control(&self, method: Method, path: &str) -> Option<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .body(Full::<Bytes>::default())
            .ok()?;
        timeout(CONTROL_TIMEOUT, self.client.request(request))
            .await
            .ok()?
            .ok()
    }
}
