//! The backend server beside this sidecar.

use {
    super::exchange::is_hop_by_hop,
    crate::http::client::{self, Http},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, Response, body::Incoming},
    hyper_util::client::legacy,
    std::time::Duration,
    tamarackdale_wire::message::Enqueue,
    tokio::time::timeout,
};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of one backend server.
pub struct BackendServer {
    url: String,
    pooled: Http,
    fresh: Http,
}

impl BackendServer {
    /// A client of the backend server at `url`.
    pub fn new(url: String) -> Self {
        Self {
            url,
            pooled: client::pooled(),
            fresh: client::fresh(),
        }
    }

    /// Sends a request; this is its dispatch.
    ///
    /// An error that is a connect error means that nothing was sent.
    pub async fn send(
        &self,
        order: &Enqueue,
    ) -> Result<Response<Incoming>, legacy::Error> {
        let mut builder = Request::builder()
            .method(order.method.as_str())
            .uri(format!("{}{}", self.url, order.path));
        for header in &order.headers {
            if !is_hop_by_hop(&header.name) {
                builder = builder.header(&header.name, header.value.as_slice());
            }
        }
        // The router took method, path and headers from a valid request.
        let request = builder
            .body(Full::new(order.body.clone()))
            .unwrap_or_else(|_| Request::new(Full::default()));
        self.pooled.request(request).await
    }

    /// Asks for the events of a response after `sequence`, on a new connection; nothing if the
    /// backend server does not answer or does not know the response.
    pub async fn resume(
        &self,
        id: &str,
        sequence: Option<u64>,
    ) -> Option<Response<Incoming>> {
        let after = sequence.map_or(String::new(), |number| format!("&starting_after={number}"));
        let path = format!("/v1/responses/{id}?stream=true{after}");
        let response = self.control(Method::GET, &path).await?;
        response.status().is_success().then_some(response)
    }

    /// Asks the backend server to stop working on a response.
    pub async fn cancel(
        &self,
        id: &str,
    ) {
        let path = format!("/v1/responses/{id}/cancel");
        if self.control(Method::POST, &path).await.is_none() {
            log::warn!(response = id; "the backend server did not take the cancellation");
        }
    }

    async fn control(
        &self,
        method: Method,
        path: &str,
    ) -> Option<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .body(Full::<Bytes>::default())
            .ok()?;
        timeout(CONTROL_TIMEOUT, self.fresh.request(request))
            .await
            .ok()?
            .ok()
    }
}
