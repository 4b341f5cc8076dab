//! A small HTTP client for tests: a connection for each call or one that is kept, no retries.

use {
    bytes::Bytes,
    derive_more::{Display, Error, From},
    http_body_util::{BodyExt as _, Full},
    hyper::{Request, Response, body::Incoming, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Why a call has no answer, or no whole answer.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    /// The connection broke or the peer broke the protocol.
    #[display("broken: {_0}")]
    Http(hyper::Error),
    /// The answer did not come in time.
    #[display("timeout")]
    Timeout(tokio::time::error::Elapsed),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Status code.
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// A header's value, empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The body as text, empty if it is not UTF-8.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
    }

    /// The body as JSON, null if it is not.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// An answer whose body is still to be read; a connection of its own closes on drop.
pub struct Reply {
    /// The answer.
    pub response: Response<Incoming>,
    _connection: Option<Connection>,
}

impl Reply {
    /// A copy of its status and headers.
    pub fn head(&self) -> hyper::http::response::Parts {
        let mut head = Response::new(()).into_parts().0;
        head.status = self.response.status();
        head.version = self.response.version();
        head.headers = self.response.headers().clone();
        head
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut.
    pub async fn collect(self) -> Result<Answer, Fault> {
        collect(self.response).await
    }

    /// The next bytes of the body, or `None` at its clean end.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        while let Some(frame) = self.response.body_mut().frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

/// A connection that is kept for several calls; closed on drop.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    address: SocketAddr,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when nobody listens there.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // An error also reaches the request or the body.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            address,
            driver,
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer within the limit; the connection is of no more use then.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Answer, Fault> {
        timeout(limit, async {
            let response = self.send(request).await?;
            collect(response).await
        })
        .await?
    }

    /// Sends a request; answers with the head. The body is to be read before the next request.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer; the connection is of no more use then.
    pub async fn reply(&mut self, request: Request<Bytes>) -> Result<Reply, Fault> {
        Ok(Reply {
            response: self.send(request).await?,
            _connection: None,
        })
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn send(&mut self, mut request: Request<Bytes>) -> Result<Response<Incoming>, Fault> {
        let host = header::HeaderValue::from_str(&self.address.to_string());
        let host = host.expect("an address is a valid header value");
        request.headers_mut().entry(header::HOST).or_insert(host);
        Ok(self.sender.send_request(request.map(Full::new)).await?)
    }
}

async fn collect(response: Response<Incoming>) -> Result<Answer, Fault> {
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Answer { head, body })
}

/// Sends a request on a connection of its own; answers with the head.
///
/// # Errors
///
/// Fails when there is no answer.
pub async fn send(address: SocketAddr, request: Request<Bytes>) -> Result<Reply, Fault> {
    let mut connection = Connection::open(address).await?;
    let response = connection.send(request).await?;
    Ok(Reply {
        response,
        _connection: Some(connection),
    })
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// Fails when there is no whole answer within the limit.
pub async fn call(
    address: SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
) -> Result<Answer, Fault> {
    timeout(limit, async {
        send(address, request).await?.collect().await
    })
    .await?
}
