//! Stream of the frames that a sidecar sends for one attempt.

use {
    super::CallError,
    http_body_util::BodyExt as _,
    hyper::{Response, body::Incoming},
    std::time::Duration,
    tamarackdale_wire::{Frame, codec::Splitter},
    tokio::time::timeout,
};

/// Time without data after which the connection is considered dead; several heartbeat intervals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Stream of an attempt's frames.
pub struct Frames {
    body: Incoming,
    splitter: Splitter,
}

impl Frames {
    /// Creates the stream from the body of a response.
    pub fn new(response: Response<Incoming>) -> Self {
        Self {
            body: response.into_body(),
            splitter: Splitter::new(),
        }
    }

    /// Returns the next frame. Cancel safe: no frame is lost if the future is dropped.
    ///
    /// Fails if the connection ends, breaks or times out.
    pub async fn next(&mut self) -> Result<Frame, CallError> {
        loop {
            let item = self
                .splitter
                .next_item()
                .map_err(|_| CallError::NoResponse)?;
            if let Some(frame) = item {
                return Ok(frame);
            }
            let read = timeout(IDLE_TIMEOUT, self.body.frame()).await;
            let Ok(Some(Ok(part))) = read else {
                return Err(CallError::NoResponse);
            };
            if let Some(bytes) = part.data_ref() {
                self.splitter.push(bytes);
            }
        }
    }
}
