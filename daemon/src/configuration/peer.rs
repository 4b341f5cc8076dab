//! Calls of peers for digests and documents. Each uses a connection of its own, since known ones
//! may have gone silent.

use {
    crate::http::client,
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

/// Bound on a call with a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Silence after which a digest stream is taken for dead; several heartbeats.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Why a peer gave no usable answer.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The call failed.
    #[display("{_0}")]
    Http(http::Error),
    /// The answer cannot be decoded.
    #[display("{_0}")]
    Codec(codec::Error),
    /// The stream of digests did not come about, ended or fell silent.
    #[display("no digests")]
    #[from(skip)]
    Silent,
}

/// Asks for the status of a peer.
pub async fn status(address: SocketAddr) -> Result<Status, Fault> {
    let url = format!("http://{address}{}", path::STATUS);
    let answer = http::Client::new(&url, ANSWER_TIMEOUT).get().await?;
    Ok(codec::decode(&answer)?)
}

/// Pulls a document.
pub async fn document(address: SocketAddr, service: &str) -> Result<Document, Fault> {
    let url = format!("http://{address}{}/{service}", path::DOCUMENTS);
    let answer = http::Client::new(&url, ANSWER_TIMEOUT).get().await?;
    Ok(codec::decode(&answer)?)
}

/// Offers a document to a peer.
pub async fn offer(address: SocketAddr, service: &str, document: &Document) -> Result<(), Fault> {
    let message = codec::encode(document)?;
    let path = format!("{}/{service}", path::DOCUMENTS);
    let client = http::Client::new(&format!("http://{address}"), ANSWER_TIMEOUT);
    client.post(&path, message).await?;
    Ok(())
}

/// An open stream of digests.
pub struct Digests {
    body: Incoming,
    splitter: Splitter,
}

impl Digests {
    /// Opens the stream of a peer.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        let request = Request::get(format!("http://{address}{}", path::DIGESTS))
            .body(Full::default())
            .map_err(|_| Fault::Silent)?;
        let response = timeout(SILENCE_LIMIT, client::unpooled().request(request))
            .await
            .map_err(|_| Fault::Silent)?
            .map_err(|_| Fault::Silent)?;
        if !response.status().is_success() {
            return Err(Fault::Silent);
        }
        Ok(Self {
            body: response.into_body(),
            splitter: Splitter::new(),
        })
    }

    /// Waits for the next digest, for a bounded time.
    pub async fn next(&mut self) -> Result<Digest, Fault> {
        loop {
            if let Some(digest) = self.splitter.next_item()? {
                return Ok(digest);
            }
            match timeout(SILENCE_LIMIT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                _ => return Err(Fault::Silent),
            }
        }
    }
}
