//! Client calls to peers for digests and documents.
//!
//! Each call opens a new connection, because a pooled one may be dead without having been closed.

use {
    crate::http::client::HttpClient,
    derive_more::{Display, Error, From},
    http_body_util::{BodyExt as _, Full},
    hyper::{Request, body::Incoming},
    std::{net::SocketAddr, time::Duration},
    tamarackdale_store::http,
    tamarackdale_wire::{
        Digest, Status,
        codec::{self, Splitter},
        message::Document,
        path,
    },
    tokio::time::timeout,
};

/// Timeout of a call whose response is not a stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without data after which a digest stream is considered dead; several heartbeat intervals.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Error of a call to a peer.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The call failed.
    #[display("{_0}")]
    Http(http::Error),
    /// The response cannot be decoded.
    #[display("{_0}")]
    Codec(codec::Error),
    /// The digest stream could not be opened, ended or timed out.
    #[display("digest stream could not be opened, ended or timed out")]
    #[from(skip)]
    NoDigests,
}

/// Fetches the status of a peer.
pub async fn fetch_status(address: SocketAddr) -> Result<Status, PeerError> {
    let url = format!("http://{address}{}", path::STATUS);
    let response = http::Client::new(&url, CALL_TIMEOUT).get().await?;
    Ok(codec::decode(&response)?)
}

/// Fetches a service's document from a peer.
pub async fn fetch_document(address: SocketAddr, service: &str) -> Result<Document, PeerError> {
    let url = format!("http://{address}{}/{service}", path::DOCUMENTS);
    let response = http::Client::new(&url, CALL_TIMEOUT).get().await?;
    Ok(codec::decode(&response)?)
}

/// Pushes a document to a peer.
pub async fn push_document(
    address: SocketAddr,
    service: &str,
    document: &Document,
) -> Result<(), PeerError> {
    let message = codec::encode(document)?;
    let path = format!("{}/{service}", path::DOCUMENTS);
    let client = http::Client::new(&format!("http://{address}"), CALL_TIMEOUT);
    client.post(&path, message).await?;
    Ok(())
}

/// An open stream of digests from a peer.
pub struct DigestStream {
    body: Incoming,
    splitter: Splitter,
}

impl DigestStream {
    /// Opens the digest stream of a peer.
    pub async fn open(address: SocketAddr) -> Result<Self, PeerError> {
        let request = Request::get(format!("http://{address}{}", path::DIGESTS))
            .body(Full::default())
            .map_err(|_| PeerError::NoDigests)?;
        let response = timeout(IDLE_TIMEOUT, HttpClient::unpooled().request(request))
            .await
            .map_err(|_| PeerError::NoDigests)?
            .map_err(|_| PeerError::NoDigests)?;
        if !response.status().is_success() {
            return Err(PeerError::NoDigests);
        }
        Ok(Self {
            body: response.into_body(),
            splitter: Splitter::new(),
        })
    }

    /// Waits for the next digest, at most [`IDLE_TIMEOUT`] between two frames.
    pub async fn next(&mut self) -> Result<Digest, PeerError> {
        loop {
            if let Some(digest) = self.splitter.next_item()? {
                return Ok(digest);
            }
            match timeout(IDLE_TIMEOUT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                _ => return Err(PeerError::NoDigests),
            }
        }
    }
}
