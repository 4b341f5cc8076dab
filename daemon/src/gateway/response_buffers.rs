//! Memory for responses that are buffered until they are complete.

use {
    bytes::{Bytes, BytesMut},
    derive_more::Error,
    http_body_util::BodyExt as _,
    hyper::body::Body,
    std::{fmt::Display, sync::Arc},
    tokio::sync::{Semaphore, SemaphorePermit},
};

/// Maximum size of one buffered response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Part of the process's memory that all buffered responses may take together.
const MEMORY_DIVISOR: u64 = 8;

/// Unit in which memory is reserved, in bytes.
const BLOCK_BYTES: usize = 1024;

/// Why a response body could not be buffered.
#[derive(Debug, derive_more::Display, Error)]
pub enum BufferError {
    /// The connection was lost or the body is malformed.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] String),
    /// The body is longer than one response may be.
    #[display("the body is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// All buffered responses together are longer than the memory for them.
    #[display("the memory for response bodies is full")]
    Full,
}

/// Memory that all buffered responses share. Backend servers in trouble send bodies without end;
/// the limit of one response would allow many of them to exhaust the memory of the process.
#[derive(Clone)]
pub struct ResponseBuffers {
    blocks: Arc<Semaphore>,
}

impl ResponseBuffers {
    /// Creates the buffers of a process that may use `max_memory_bytes`.
    pub fn new(max_memory_bytes: u64) -> Self {
        let bytes = usize::try_from(max_memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        let blocks =
            (bytes / BLOCK_BYTES).clamp(MAX_RESPONSE_BYTES / BLOCK_BYTES, Semaphore::MAX_PERMITS);
        Self {
            blocks: Arc::new(Semaphore::new(blocks)),
        }
    }

    /// Reads a whole body. The memory is released when the reading ends.
    pub async fn read<B>(&self, body: &mut B) -> Result<Bytes, BufferError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let mut content = BytesMut::new();
        let mut reserved: Option<SemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BufferError::Broken(error.to_string()))?;
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            if content.len() + bytes.len() > MAX_RESPONSE_BYTES {
                return Err(BufferError::TooLong);
            }
            content.extend_from_slice(bytes);
            let held = reserved.as_ref().map_or(0, SemaphorePermit::num_permits);
            let missing = content.len().div_ceil(BLOCK_BYTES).saturating_sub(held);
            let missing = u32::try_from(missing).unwrap_or(u32::MAX);
            let permit = self.blocks.try_acquire_many(missing);
            let permit = permit.map_err(|_| BufferError::Full)?;
            match &mut reserved {
                Some(reserved) => reserved.merge(permit),
                None => reserved = Some(permit),
            }
        }
        Ok(content.freeze())
    }
}
