//! The frames that a sidecar sends.

use {
    super::Silence,
    http_body_util::BodyExt as _,
    hyper::{Response, body::Incoming},
    std::time::Duration,
    tamarackdale_wire::{Frame, codec::Splitter},
    tokio::time::timeout,
};

/// Silence after which the connection is taken for dead; several heartbeat intervals.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// The stream of one attempt's frames.
pub struct Frames {
    body: Incoming,
    splitter: Splitter,
}

impl Frames {
    /// The frames in the body of a response.
    pub fn new(response: Response<Incoming>) -> Self {
        Self {
            body: response.into_body(),
            splitter: Splitter::new(),
        }
    }

    /// The next frame. Can be dropped and called again without losing one.
    ///
    /// Fails when the connection ends, breaks or goes silent.
    pub async fn next(&mut self) -> Result<Frame, Silence> {
        loop {
            let item = self.splitter.next_item().map_err(|_| Silence::Unanswered)?;
            if let Some(frame) = item {
                return Ok(frame);
            }
            let read = timeout(SILENCE_LIMIT, self.body.frame()).await;
            let Ok(Some(Ok(part))) = read else {
                return Err(Silence::Unanswered);
            };
            if let Some(bytes) = part.data_ref() {
                self.splitter.push(bytes);
            }
        }
    }
}
