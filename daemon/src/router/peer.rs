//! Calls from the router to a sidecar.

pub mod frames;

use {
    self::frames::Frames,
    crate::http::client::{self, HttpClient},
    bytes::Bytes,
    derive_more::Display,
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{Request, Response, body::Incoming},
    hyper_util::client::legacy,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        floor::Notice,
        id,
    },
    tamarackdale_wire::{
        codec,
        message::{Acknowledge, Cancel, Enqueue, Floor, Grant, Granted, Resume},
        path,
    },
    tokio::time::timeout,
};

/// Time within which a sidecar must begin its answer to a message.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer to a grant, in bytes.
const MAX_GRANTED_BYTES: usize = 4096;

/// A sidecar, where to reach it and which boot of it is meant.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{incarnation}")]
pub struct Peer {
    /// Instance and boot.
    pub incarnation: id::Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// Why a call gave no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Silence {
    /// No connection could be made, since nobody listens there: nothing was delivered.
    #[display("connection refused")]
    Refused,
    /// No answer came in time or the connection broke: the message may have been delivered.
    #[display("no answer")]
    Unanswered,
}

/// Client of the sidecars.
#[derive(Clone)]
pub struct Client {
    pooled: HttpClient,
    fresh: HttpClient,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Self {
        Self {
            pooled: client::pooled(),
            fresh: client::unpooled(),
        }
    }

    /// Offers an attempt.
    pub async fn enqueue(&self, peer: &Peer, order: &Enqueue) -> Result<Frames, Silence> {
        let response = self.post(&self.pooled, peer, path::ENQUEUE, order).await?;
        Ok(Frames::new(response))
    }

    /// Grants an attempt; sent once, and never again by the layers below.
    pub async fn grant(
        &self,
        peer: &Peer,
        attempt: id::Attempt,
    ) -> Result<Result<(), Failure>, Silence> {
        let message = Grant {
            attempt: attempt.into(),
            boot: peer.incarnation.boot.0,
        };
        let response = self.post(&self.pooled, peer, path::GRANT, &message).await?;
        let body = Limited::new(response.into_body(), MAX_GRANTED_BYTES).collect();
        let bytes = match timeout(ANSWER_TIMEOUT, body).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            _ => return Err(Silence::Unanswered),
        };
        match codec::decode::<Granted>(&bytes) {
            Ok(Granted::Dispatched) => Ok(Ok(())),
            Ok(Granted::Refused(failure)) => Ok(Err(parse(failure))),
            Err(_) => Err(Silence::Unanswered),
        }
    }

    /// Asks for the rest of an answer on a new connection, or for proof that the attempt did not
    /// run.
    pub async fn resume(&self, peer: &Peer, resume: &Resume) -> Result<Frames, Silence> {
        let response = self.post(&self.fresh, peer, path::RESUME, resume).await?;
        Ok(Frames::new(response))
    }

    /// Withdraws an attempt, if the sidecar can be reached.
    pub async fn cancel(&self, peer: &Peer, attempt: id::Attempt) {
        let message = Cancel {
            attempt: attempt.into(),
            boot: peer.incarnation.boot.0,
        };
        // The sidecar drops work whose router has gone, so a lost message does no harm.
        let _ = self.post(&self.pooled, peer, path::CANCEL, &message).await;
    }

    /// Tells how much of an answer has been received, if the sidecar can be reached.
    pub async fn acknowledge(&self, peer: &Peer, message: &Acknowledge) {
        // The sidecar drops an answer after a while, so a lost message does no harm.
        let _ = self
            .post(&self.pooled, peer, path::ACKNOWLEDGE, message)
            .await;
    }

    /// Tells a sidecar the shed floor, if it can be reached.
    pub async fn floor(&self, peer: &Peer, notice: Notice) {
        let message = Floor::from(notice);
        // The floor also travels with each offer, so a lost message delays it only.
        let _ = self.post(&self.pooled, peer, path::FLOOR, &message).await;
    }

    async fn post<T: Serialize>(
        &self,
        client: &HttpClient,
        peer: &Peer,
        path: &str,
        message: &T,
    ) -> Result<Response<Incoming>, Silence> {
        let request = request(peer, path, message).ok_or(Silence::Refused)?;
        match timeout(ANSWER_TIMEOUT, client.request(request)).await {
            Ok(Ok(response)) if response.status().is_success() => Ok(response),
            Ok(Ok(_)) => Err(Silence::Unanswered),
            Ok(Err(error)) if is_refused(&error) => Err(Silence::Refused),
            Ok(Err(_)) | Err(_) => Err(Silence::Unanswered),
        }
    }
}

/// A failure from the wire; one that cannot be understood proves nothing.
pub fn parse(failure: tamarackdale_wire::failure::Failure) -> Failure {
    Failure::try_from(failure).unwrap_or(Failure::may_have_run(Reason::ConnectionLost))
}

fn request<T: Serialize>(peer: &Peer, path: &str, message: &T) -> Option<Request<Full<Bytes>>> {
    let body = codec::encode(message)
        .inspect_err(|error| log::error!("{error}"))
        .ok()?;
    Request::post(format!("http://{}{path}", peer.address))
        .body(Full::new(body))
        .ok()
}

fn is_refused(error: &legacy::Error) -> bool {
    let mut source: Option<&dyn std::error::Error> = Some(error);
    while let Some(error) = source {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}
