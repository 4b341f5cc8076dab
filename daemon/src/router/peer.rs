//! Client calls from the router to sidecars.

pub mod frames;

use {
    self::frames::Frames,
    crate::http::client::HttpClient,
    bytes::Bytes,
    derive_more::Display,
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{Request, Response, body::Incoming},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        floor::Notice,
        id,
    },
    tamarackdale_wire::{
        codec,
        message::{Acknowledge, Cancel, Enqueue, Floor, Grant, GrantResponse, Notices, Resume},
        path,
    },
    tokio::time::timeout,
};

/// Timeout for the head of a sidecar's response, and for the body of its response to a grant.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the response to a grant, in bytes.
const MAX_GRANT_RESPONSE_BYTES: usize = 4096;

/// Address and incarnation of a sidecar.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{incarnation}")]
pub struct Peer {
    /// Instance and boot.
    pub incarnation: id::Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// Error of a call to a sidecar.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// The connection was refused, because no process listens at the address. The message was not
    /// delivered.
    #[display("connection refused")]
    ConnectionRefused,
    /// The call timed out, the connection broke or the response was unusable. The message may have
    /// been delivered.
    #[display("no response")]
    NoResponse,
}

/// Client for calls to sidecars.
#[derive(Clone)]
pub struct Client {
    pooled: HttpClient,
    unpooled: HttpClient,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            pooled: HttpClient::pooled(),
            unpooled: HttpClient::unpooled(),
        }
    }

    /// Offers an attempt to a sidecar.
    pub async fn enqueue(&self, peer: &Peer, message: &Enqueue) -> Result<Frames, CallError> {
        let response = self
            .post(&self.pooled, peer, path::ENQUEUE, message)
            .await?;
        Ok(Frames::new(response))
    }

    /// Grants an attempt. The message is sent once and not retried by lower layers.
    ///
    /// A refusal counts only if it names the attempt: one of an earlier grant may arrive where this one's
    /// response is expected.
    pub async fn grant(
        &self,
        peer: &Peer,
        attempt: id::Attempt,
    ) -> Result<Result<(), Failure>, CallError> {
        let message = Grant {
            attempt: attempt.into(),
            boot: peer.incarnation.boot.0,
        };
        let response = self.post(&self.pooled, peer, path::GRANT, &message).await?;
        let body = Limited::new(response.into_body(), MAX_GRANT_RESPONSE_BYTES).collect();
        let bytes = match timeout(RESPONSE_TIMEOUT, body).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            _ => return Err(CallError::NoResponse),
        };
        match codec::decode::<GrantResponse>(&bytes) {
            Ok(GrantResponse::Dispatched) => Ok(Ok(())),
            Ok(GrantResponse::Refused {
                attempt: refused,
                failure,
            }) if id::Attempt::from(refused) == attempt => Ok(Err(failure_from_wire(failure))),
            Ok(GrantResponse::Refused { .. }) | Err(_) => {
                log::warn!(
                    attempt:% = attempt,
                    sidecar:% = peer;
                    "response to a grant names another attempt or cannot be decoded"
                );
                Err(CallError::NoResponse)
            }
        }
    }

    /// Requests the rest of a response, or proof that the attempt did not run, on a new connection.
    pub async fn resume(&self, peer: &Peer, resume: &Resume) -> Result<Frames, CallError> {
        let response = self
            .post(&self.unpooled, peer, path::RESUME, resume)
            .await?;
        Ok(Frames::new(response))
    }

    /// Withdraws an attempt, if the sidecar is reachable.
    pub async fn cancel(&self, peer: &Peer, attempt: id::Attempt) {
        let message = Cancel {
            attempt: attempt.into(),
            boot: peer.incarnation.boot.0,
        };
        // The sidecar drops attempts whose router is gone, so a lost message does no harm.
        let _ = self.post(&self.pooled, peer, path::CANCEL, &message).await;
    }

    /// Acknowledges the received part of a response, if the sidecar is reachable.
    pub async fn acknowledge(&self, peer: &Peer, message: &Acknowledge) {
        // The sidecar drops an unacknowledged response after a time limit, so a lost message does
        // no harm.
        let _ = self
            .post(&self.pooled, peer, path::ACKNOWLEDGE, message)
            .await;
    }

    /// Sends the shed floor to a sidecar, if it is reachable.
    pub async fn send_floor(&self, peer: &Peer, notice: Notice) {
        let message = Floor::from(notice);
        // Each enqueue message also carries the floor, so a lost message only delays it.
        let _ = self.post(&self.pooled, peer, path::FLOOR, &message).await;
    }

    /// Tells a sidecar what its other routers are to know of requests that crash backend servers.
    pub async fn send_notices(&self, peer: &Peer, message: &Notices) {
        let sent = self.post(&self.pooled, peer, path::NOTICES, message).await;
        // Another sidecar is told the same, and each router judges by itself what it has observed.
        if let Err(error) = sent {
            log::info!(sidecar:% = peer; "notices of crashes not passed on: {error}");
        }
    }

    async fn post<T: Serialize>(
        &self,
        client: &HttpClient,
        peer: &Peer,
        path: &str,
        message: &T,
    ) -> Result<Response<Incoming>, CallError> {
        let request = build_request(peer, path, message).ok_or(CallError::ConnectionRefused)?;
        match timeout(RESPONSE_TIMEOUT, client.request(request)).await {
            Ok(Ok(response)) if response.status().is_success() => Ok(response),
            Ok(Ok(_)) => Err(CallError::NoResponse),
            Ok(Err(error)) if error.is_connection_refused() => Err(CallError::ConnectionRefused),
            Ok(Err(_)) | Err(_) => Err(CallError::NoResponse),
        }
    }
}

/// Decodes a failure from a sidecar. One that cannot be decoded is no proof that the request did
/// not run.
pub fn failure_from_wire(failure: tamarackdale_wire::failure::Failure) -> Failure {
    Failure::try_from(failure).unwrap_or(Failure::may_have_run(Reason::ConnectionLost))
}

fn build_request<T: Serialize>(
    peer: &Peer,
    path: &str,
    message: &T,
) -> Option<Request<Full<Bytes>>> {
    let body = codec::encode(message)
        .inspect_err(|error| log::error!("{error}"))
        .ok()?;
    Request::post(format!("http://{}{path}", peer.address))
        .body(Full::new(body))
        .ok()
}
