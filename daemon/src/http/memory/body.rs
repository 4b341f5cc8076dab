//! Reads the bodies of requests within the account.

use {
    super::{
        Cause, Connection, Reservation,
        buffer::{Buffer, MAPPED_FROM_BYTES},
    },
    bytes::Bytes,
    derive_more::Display,
    http_body_util::BodyExt as _,
    hyper::body::Body,
    std::time::Duration,
    tokio::time::Instant,
};

/// Longest time for which a body waits for memory before its request is refused. Shorter than the time in
/// which a body has to come.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Size of the pieces in which memory for a body is reserved.
const PIECE_BYTES: usize = 16 * 1024;

/// What the connection's buffer takes while a body is read.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Longest body that is read whatever the configuration allows: no machine has as much memory, and sums of a
/// few such lengths do not overflow.
const MAX_BODY_BYTES: usize = u32::MAX as usize;

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ReadError {
    /// The body is larger than the limit.
    #[display("the body is too large")]
    TooLarge,
    /// The connection was lost or the body is malformed.
    #[display("the body did not arrive whole")]
    Broken,
    /// There was no memory for the body.
    #[display("there is no memory for the body")]
    NoMemory,
}

/// A body that is being read.
struct Reading {
    connection: Connection,
    reservation: Reservation,
    content: Buffer,
    limit: usize,
    /// Length that the head announces.
    length: Option<usize>,
}

impl Connection {
    /// Reads a whole body of at most `limit` bytes. They are counted until the last handle to them is dropped.
    pub async fn read<B>(&self, mut body: B, limit: usize) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let limit = limit.min(MAX_BODY_BYTES);
        let hint = body.size_hint();
        if hint.lower() > limit as u64 {
            return Err(ReadError::TooLarge);
        }
        let mut reading = Reading {
            connection: self.clone(),
            reservation: self.shared.account.reserve_nothing(),
            content: Buffer::new(),
            limit,
            length: hint.exact().map(|length| length as usize),
        };
        // Without memory nothing is read.
        reading.grow(0).await?;
        reading.set_awaited(true);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Broken)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if reading.content.len() + data.len() > limit {
                return Err(ReadError::TooLarge);
            }
            reading.append(data).await?;
        }
        Ok(reading.finish())
    }
}

impl Reading {
    /// Copies a piece: one of a few bytes would keep the whole buffer that it was read into.
    async fn append(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let length = self.content.len() + data.len();
        self.grow(length).await?;
        self.content.append(data, self.length);
        Ok(())
    }

    /// What a buffer of `length` bytes takes.
    fn counted(&self, length: usize) -> usize {
        let whole = self.length.unwrap_or(self.limit);
        let capacity = match length < MAPPED_FROM_BYTES {
            true => length.next_power_of_two(),
            false => length,
        };
        capacity.next_multiple_of(PIECE_BYTES).min(whole)
    }

    /// Waits until there is memory for `length` bytes and the connection's buffer.
    async fn grow(&mut self, length: usize) -> Result<(), ReadError> {
        let counted = self.counted(length);
        let longest = self.limit + READ_BUFFER_BYTES;
        let buffer = READ_BUFFER_BYTES.min(self.length.unwrap_or(READ_BUFFER_BYTES));
        let bytes = (counted + buffer).saturating_sub(self.reservation.bytes);
        if bytes == 0 {
            return Ok(());
        }
        let whole = self.length.unwrap_or(self.limit) + buffer;
        let missing = whole.saturating_sub(self.reservation.bytes).max(bytes);
        let id = self.connection.shared.id;
        if !self.reservation.try_grow(id, bytes, missing, longest) {
            self.set_awaited(false);
            let begun = Instant::now();
            loop {
                self.connection.shared.account.wait_freed().await;
                if self.reservation.try_grow(id, bytes, missing, longest) {
                    break;
                }
                if begun.elapsed() >= MAX_WAIT {
                    (self.connection.shared.account.shared.count)(Cause::Refused);
                    return Err(ReadError::NoMemory);
                }
            }
            self.set_awaited(true);
        }
        let held = self.reservation.bytes;
        self.connection.change(|entry| entry.body = held);
        Ok(())
    }

    /// Records whether the peer is waited for, from now on.
    fn set_awaited(&self, is_awaited: bool) {
        self.connection.change(|entry| {
            entry.awaited = is_awaited.then_some(Cause::Body);
            entry.progress = Instant::now();
        });
    }

    fn finish(mut self) -> Bytes {
        let content = std::mem::take(&mut self.content);
        let nothing = self.connection.shared.account.reserve_nothing();
        let mut reservation = std::mem::replace(&mut self.reservation, nothing);
        reservation.shrink(content.resident());
        reservation.hold(content)
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        let id = self.connection.shared.id;
        self.connection.shared.account.lock().waiting.remove(&id);
        self.connection.change(|entry| {
            entry.body = 0;
            entry.awaited = None;
        });
    }
}
