//! Client of the sidecar's backend server.

use {
    super::exchange::is_hop_by_hop,
    crate::http::{
        client::{self, HttpClient},
        probe::Probe,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, Response, Uri, body::Incoming},
    std::{io, time::Duration},
    tamarackdale_core::failure::{Failure, Reason},
    tamarackdale_wire::message::Enqueue,
    tokio::{net::TcpStream, time::timeout},
};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of one backend server.
pub struct BackendServer {
    url: String,
    client: HttpClient,
    probe: Probe,
}

impl BackendServer {
    /// Creates a client of the backend server at `url`.
    pub fn new(url: String) -> Self {
        Self {
            url,
            client: HttpClient::unpooled(),
            probe: Probe::default(),
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
        let response = self.client.request(request).await.map_err(|error| {
            log::warn!("request to the backend server failed: {error}");
            if error.is_connect() {
                return Failure::not_run(Reason::BackendServer);
            }
            Failure::may_have_run(Reason::BackendServer)
        })?;
        let status = response.status();
        if status.is_informational() {
            log::warn!(status = status.as_u16(); "response of the backend server is not a final one");
            return Err(Failure::may_have_run(Reason::BackendServer));
        }
        Ok(response)
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

    /// Whether the backend server accepts new connections after one broke, and so has not crashed.
    pub async fn is_reachable(&self) -> bool {
        let log_failure = |opened: io::Result<TcpStream>| {
            if let Err(error) = opened {
                log::warn!(
                    "backend server has crashed: connections broke and no new one is accepted: {error}"
                );
            }
        };
        self.probe
            .is_reachable(self.open(), is_closed, log_failure)
            .await
    }

    /// Whether the backend server, which has just closed a connection, refuses new ones, and so has ended.
    pub async fn has_ended(&self) -> bool {
        self.probe
            .is_refused(|| self.open(), is_closed, |_| {})
            .await
    }

    async fn open(&self) -> io::Result<TcpStream> {
        let uri: Uri = self.url.parse().map_err(io::Error::other)?;
        let host = uri.host().ok_or(io::ErrorKind::InvalidInput)?;
        // Connections to it are not encrypted.
        let port = uri.port_u16().unwrap_or(80);
        let address = format!("{host}:{port}");
        timeout(client::CONNECT_TIMEOUT, TcpStream::connect(address)).await?
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

fn is_closed(stream: &TcpStream) -> bool {
    match stream.try_read(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
