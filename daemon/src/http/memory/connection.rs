//! What one connection holds of the account.

use {
    super::{Account, CONNECTION_BYTES, Cause, Entry, SMALL_HEAD_BYTES},
    bytes::Bytes,
    gotham::state::{FromState as _, State, StateData},
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

/// Bytes of buffers for each byte of a head: it is read into a buffer that grows by doubling.
const HEAD_FACTOR: usize = 2;

/// Marks, among the extensions of a response, that its body is counted already.
#[derive(Clone, Copy)]
pub struct Counted;

/// The entry of a connection, which is closed when the last clone is dropped.
#[derive(Clone)]
pub struct Connection {
    pub(super) shared: Arc<Shared>,
}

pub(super) struct Shared {
    pub(super) account: Account,
    pub(super) id: u64,
    closing: CancellationToken,
}

impl StateData for Connection {}

impl Connection {
    pub(super) fn new(account: Account, id: u64, closing: CancellationToken) -> Self {
        let shared = Shared {
            account,
            id,
            closing,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The connection of a request.
    pub fn of(state: &State) -> Self {
        Self::borrow_from(state).clone()
    }

    /// The account.
    pub fn account(&self) -> &Account {
        &self.shared.account
    }

    /// Waits until the connection is to be closed to free memory.
    pub async fn closed(&self) {
        self.shared.closing.cancelled().await;
    }

    /// Whether the connection is to be closed to free memory.
    pub fn is_closing(&self) -> bool {
        self.shared.closing.is_cancelled()
    }

    /// Records bytes that came. Returns whether they may be kept: a long head is not while the account is full.
    pub fn record_read(&self, bytes: usize, is_head: bool) -> bool {
        let account = &self.shared.account;
        let mut state = account.lock();
        let Some(entry) = state.connections.get_mut(&self.shared.id) else {
            return true;
        };
        entry.progress = Instant::now();
        if !is_head {
            return true;
        }
        let counted = bytes * HEAD_FACTOR;
        entry.head += counted;
        entry.awaited = Some(Cause::Head);
        let is_long = entry.head > SMALL_HEAD_BYTES * HEAD_FACTOR;
        state.used += counted;
        if !is_long || state.used <= account.shared.limit {
            return true;
        }
        account.make_room(&mut state, 0);
        if state.used <= account.shared.limit {
            return true;
        }
        if let Some(entry) = state.connections.get(&self.shared.id) {
            account.close(entry);
        }
        false
    }

    /// Records that the head of a request is complete.
    pub fn begin_request(&self) {
        self.change(|entry| entry.awaited = None);
    }

    /// Records that the last request has ended, with its head.
    pub fn end_request(&self) {
        let account = &self.shared.account;
        let mut state = account.lock();
        let Some(entry) = state.connections.get_mut(&self.shared.id) else {
            return;
        };
        let head = std::mem::take(&mut entry.head);
        state.used -= head;
        account.release(state);
    }

    /// Records bytes that went, or that none do before the peer takes some.
    pub fn record_write(&self, bytes: Option<usize>) {
        let account = &self.shared.account;
        let mut state = account.lock();
        let Some(entry) = state.connections.get_mut(&self.shared.id) else {
            return;
        };
        let Some(bytes) = bytes else {
            if entry.awaited.is_none() && entry.unwritten > 0 {
                entry.awaited = Some(Cause::Answer);
                entry.progress = Instant::now();
            }
            return;
        };
        if entry.awaited == Some(Cause::Answer) {
            entry.awaited = None;
        }
        if entry.unwritten > 0 {
            entry.progress = Instant::now();
        }
        let freed = entry.record_written(bytes);
        state.used -= freed;
        if freed > 0 {
            account.release(state);
        }
    }

    /// Records that all of an answer so far is written.
    pub fn record_flush(&self) {
        self.record_write(Some(usize::MAX));
    }

    fn record_answer(&self, bytes: usize, is_counted: bool) {
        let account = &self.shared.account;
        let mut state = account.lock();
        let Some(entry) = state.connections.get_mut(&self.shared.id) else {
            return;
        };
        entry.unwritten += bytes;
        if is_counted {
            return;
        }
        entry.counted += bytes;
        state.used += bytes;
        if state.used > account.shared.limit {
            account.make_room(&mut state, 0);
        }
    }

    /// Follows the body of an answer on the connection.
    pub fn observe<B>(&self, body: B, is_counted: bool) -> Observed<B> {
        Observed {
            body,
            connection: self.clone(),
            is_counted,
        }
    }

    pub(super) fn change(&self, change: impl FnOnce(&mut Entry)) {
        let mut state = self.shared.account.lock();
        if let Some(entry) = state.connections.get_mut(&self.shared.id) {
            change(entry);
        }
    }
}

impl Entry {
    /// Records bytes that are written, and returns how many of them were counted for the connection.
    fn record_written(&mut self, bytes: usize) -> usize {
        self.unwritten = self.unwritten.saturating_sub(bytes);
        let freed = self.counted.saturating_sub(self.unwritten);
        self.counted -= freed;
        freed
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        if let Some(entry) = state.connections.remove(&self.id) {
            state.used -= CONNECTION_BYTES + entry.head + entry.counted;
        }
        self.account.release(state);
    }
}

/// The body of an answer whose bytes count until they are written.
pub struct Observed<B> {
    body: B,
    connection: Connection,
    is_counted: bool,
}

impl<B: Body<Data = Bytes> + Unpin> Body for Observed<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.connection.record_answer(bytes, self.is_counted);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
