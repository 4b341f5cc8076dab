//! The backend server beside this sidecar.

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
    /// A client of the backend server at `url`.
    pub fn new(url: String) -> Self {
        Self {
            url,
            client: client::unpooled(),
        }
    }

    /// Sends a request, on a new connection: one from a pool may have died without a sign, and a
    /// failure on it would leave open whether the request ran. This is the request's dispatch.
    ///
    /// The failure is `not-run` when nothing was sent: the request has no valid form, or no
    /// connection could be made.
    pub async fn send(&self, order: &Enqueue) -> Result<Response<Incoming>, Failure> {
        let request = self
            .request(order)
            .map_err(|_| Failure::not_run(Reason::BadRequest))?;
        self.client.request(request).await.map_err(|error| {
            log::warn!("backend server failed: {error}");
            if error.is_connect() {
                return Failure::not_run(Reason::BackendServer);
            }
            Failure::may_have_run(Reason::BackendServer)
        })
    }

    fn request(&self, order: &Enqueue) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut builder = Request::builder()
            .method(order.method.as_str())
            .uri(format!("{}{}", self.url, order.path));
        for header in &order.headers {
            if !is_hop_by_hop(&header.name) {
                builder = builder.header(&header.name, header.value.as_slice());
            }
        }
        builder.body(Full::new(order.body.clone()))
    }

    /// Asks for the events of a response after `sequence`, on a new connection; nothing if the
    /// backend server does not answer or does not know the response.
    pub async fn resume(&self, id: &str, sequence: Option<u64>) -> Option<Response<Incoming>> {
        let after = sequence.map_or(String::new(), |number| format!("&starting_after={number}"));
        let path = format!("/v1/responses/{id}?stream=true{after}");
        let response = self.control(Method::GET, &path).await?;
        response.status().is_success().then_some(response)
    }

    /// Asks the backend server to stop working on a response.
    pub async fn cancel(&self, id: &str) {
        let path = format!("/v1/responses/{id}/cancel");
        if self.control(Method::POST, &path).await.is_none() {
            log::warn!(response = id; "the backend server did not take the cancellation");
        }
    }

    /// Asks for the events of its prefix cache; nothing if it publishes none.
    pub async fn cache_events(&self) -> Option<Response<Incoming>> {
        let response = self.control(Method::GET, "/v1/cache/events").await?;
        response.status().is_success().then_some(response)
    }

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
