//! Memory for responses that are buffered until they are complete.

use {
    crate::http::memory::{Account, Buffer},
    bytes::Bytes,
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
}

/// Memory that all buffered responses share. Backend servers in trouble send bodies without end;
/// the limit of one response would allow many of them to exhaust the memory of the process.
///
/// A response that finds the memory full waits. Each of those that wait may hold a part of the memory, so
/// there is room for one whole response apart, which one of them gets after another.
#[derive(Clone)]
pub struct ResponseBuffers {
    blocks: Arc<Semaphore>,
    whole_response: Arc<Semaphore>,
    /// Memory for whole responses, until their callers have them.
    account: Account,
}

/// Memory that one response has reserved.
struct Reservation<'a> {
    buffers: &'a ResponseBuffers,
    blocks: Option<SemaphorePermit<'a>>,
    whole_response: Option<SemaphorePermit<'a>>,
}

impl ResponseBuffers {
    /// Creates the buffers of a process that may use `max_memory_bytes`.
    pub fn new(max_memory_bytes: u64) -> Self {
        let bytes = usize::try_from(max_memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        let shared = bytes.saturating_sub(MAX_RESPONSE_BYTES) / BLOCK_BYTES;
        let blocks = shared.clamp(MAX_RESPONSE_BYTES / BLOCK_BYTES, Semaphore::MAX_PERMITS);
        Self {
            blocks: Arc::new(Semaphore::new(blocks)),
            whole_response: Arc::new(Semaphore::new(1)),
            account: Account::default(),
        }
    }

    /// Counts whole responses in the account of the process until their callers have them.
    pub fn with_account(mut self, account: &Account) -> Self {
        self.account = account.clone();
        self
    }

    /// Reads a whole body, which waits while the memory is full. The memory is released when the reading
    /// ends, that of the account when the last handle to the bytes is dropped.
    pub async fn read<B>(&self, body: &mut B) -> Result<Bytes, BufferError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let mut content = Buffer::new();
        let mut reservation = Reservation {
            buffers: self,
            blocks: None,
            whole_response: None,
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BufferError::Broken(error.to_string()))?;
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            if content.len() + bytes.len() > MAX_RESPONSE_BYTES {
                return Err(BufferError::TooLong);
            }
            content.append(bytes, None);
            reservation.grow(content.len()).await;
        }
        let reserved = self.account.reserve_answer(content.len()).await;
        Ok(reserved.hold(content))
    }
}

impl Reservation<'_> {
    /// Waits until there is memory for `bytes` in total.
    async fn grow(&mut self, bytes: usize) {
        let held = self.blocks.as_ref();
        let held = held.map_or(0, SemaphorePermit::num_permits);
        let missing = bytes.div_ceil(BLOCK_BYTES).saturating_sub(held);
        if missing == 0 || self.whole_response.is_some() {
            return;
        }
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        // The semaphores are never closed.
        tokio::select! {
            biased;
            Ok(blocks) = self.buffers.blocks.acquire_many(missing) => match &mut self.blocks {
                Some(held) => held.merge(blocks),
                None => self.blocks = Some(blocks),
            },
            Ok(permit) = self.buffers.whole_response.acquire() => {
                log::info!("memory for response bodies is full: a response uses the last room");
                self.whole_response = Some(permit);
            }
            else => {}
        }
    }
}
