//! What happens on a caller's connection, and when it has been idle for too long.

use {
    super::memory,
    bytes::Bytes,
    http_body_util::BodyExt as _,
    hyper::body::Body,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::{Notify, watch},
        time::{Instant, sleep, sleep_until},
    },
};

/// Time for which a connection is idle before it makes room for another one. Its first or next request may
/// be on its way: a round trip and thread scheduling on a loaded machine.
const RECLAIM_IDLE: Duration = Duration::from_millis(500);

/// Most bytes that are read at once. The buffer of a connection grows with the reads that fill it.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Timeouts of a connection on which no request is in progress.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time between two requests, or before the first one.
    pub idle: Duration,
    /// Time from the first byte of a request's head to its last.
    pub head: Duration,
}

/// What happens on one connection. Clones share it.
#[derive(Clone)]
pub struct Activity {
    state: Arc<watch::Sender<State>>,
    /// What the connection holds of the process's memory, if that is counted.
    memory: Option<memory::Connection>,
}

#[derive(Clone, Copy, Default)]
struct State {
    /// Requests in progress.
    requests: usize,
    /// Number of requests that have begun.
    requests_begun: u64,
    /// When the first byte of a head arrived that is not complete.
    head_since: Option<Instant>,
    /// Whether bytes wait until the peer takes them.
    is_write_blocked: bool,
    /// Whether the body of the last request has not been read to its end.
    is_body_unread: bool,
    /// Bodies whose rests are being read after their answers. There may be two for a moment, since the
    /// next request's head can come with the end of a rest.
    discards: usize,
    /// Whether it makes room for another connection.
    is_reclaimed: bool,
    /// Number of bytes that were read.
    bytes_read: u64,
}

impl State {
    /// Whether anything but the peer is waited for, or the peer takes an answer.
    fn is_busy(&self) -> bool {
        self.requests > 0 || self.discards > 0 || self.is_write_blocked
    }

    /// Whether the next request has not begun either.
    fn is_idle(&self) -> bool {
        !self.is_busy() && self.head_since.is_none()
    }
}

/// A request that is in progress until this is dropped.
pub struct InProgress {
    state: Arc<watch::Sender<State>>,
    memory: Option<memory::Connection>,
}

impl Activity {
    /// Creates the activity of a connection that has just been opened.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the memory of the connection.
    pub fn with_memory(self, memory: memory::Connection) -> Self {
        Self {
            memory: Some(memory),
            ..self
        }
    }

    /// Reports what is read from and written to `stream`, the connection's.
    pub fn observe<T>(&self, stream: T) -> Observed<T> {
        Observed {
            stream,
            activity: self.clone(),
            returned: Bytes::new(),
        }
    }

    /// Records that bytes were read. Returns whether they may be kept.
    fn record_read(&self, bytes: usize) -> bool {
        let is_head = {
            let state = self.state.borrow();
            state.requests == 0 && state.discards == 0
        };
        self.state.send_if_modified(|state| {
            state.bytes_read += bytes as u64;
            let is_new_head =
                state.requests == 0 && state.discards == 0 && state.head_since.is_none();
            if is_new_head {
                state.head_since = Some(Instant::now());
            }
            is_new_head
        });
        let memory = self.memory.as_ref();
        memory.is_none_or(|memory| memory.record_read(bytes, is_head))
    }

    /// Records that a part of a head has been read with the request before it.
    pub fn record_begun_head(&self) {
        self.state
            .send_modify(|state| state.head_since = Some(Instant::now()));
    }

    /// Records that the body of the last request has not been read to its end.
    pub fn record_unread_body(&self) {
        self.state.send_if_modified(|state| {
            state.is_body_unread = true;
            false
        });
    }

    /// Records that the rest of the last request's body is read from now on. The connection is not idle
    /// until the end of that. Returns the request's number.
    pub fn begin_discard(&self) -> u64 {
        self.state.send_modify(|state| state.discards += 1);
        self.state.borrow().requests_begun
    }

    /// Records that the rest of the body of a request is not read any more, either because it was read to
    /// its end or because that took too long.
    pub fn end_discard(&self, request: u64, is_whole: bool) {
        self.state.send_modify(|state| {
            state.discards -= 1;
            // The next request may have begun, with a body of its own.
            state.is_body_unread &= !is_whole || state.requests_begun != request;
        });
    }

    /// Records that the connection ends to make room for another one.
    pub fn record_reclaimed(&self) {
        self.state.send_modify(|state| state.is_reclaimed = true);
    }

    /// Whether the connection ends to make room for another one.
    pub fn is_reclaimed(&self) -> bool {
        self.state.borrow().is_reclaimed
    }

    /// Records whether bytes that were to be written wait until the peer takes them.
    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        let is_blocked = polled.is_pending();
        if let Some(memory) = &self.memory {
            match polled {
                Poll::Ready(Ok(bytes)) => memory.record_write(Some(*bytes)),
                Poll::Ready(Err(_)) => {}
                Poll::Pending => memory.record_write(None),
            }
        }
        self.state.send_if_modified(|state| {
            let has_changed = state.is_write_blocked != is_blocked;
            state.is_write_blocked = is_blocked;
            has_changed
        });
    }

    /// Records that the head of a request is complete.
    pub fn begin_request(&self) -> InProgress {
        self.state.send_modify(|state| {
            state.requests += 1;
            state.requests_begun += 1;
            state.head_since = None;
            state.is_body_unread = false;
        });
        if let Some(memory) = &self.memory {
            memory.begin_request();
        }
        InProgress {
            state: Arc::clone(&self.state),
            memory: self.memory.clone(),
        }
    }

    /// Whether a request has come, or a part of one.
    pub fn has_begun(&self) -> bool {
        self.state.borrow().bytes_read > 0
    }

    /// Number of requests in progress.
    pub fn requests(&self) -> usize {
        self.state.borrow().requests
    }

    /// Number of bytes that were read.
    pub fn bytes_read(&self) -> u64 {
        self.state.borrow().bytes_read
    }

    /// Whether the peer has sent a part of a request and not all of it, as far as was read.
    pub fn is_request_incomplete(&self) -> bool {
        let state = self.state.borrow();
        state.is_body_unread || state.head_since.is_some()
    }

    /// Whether no request is in progress, none has begun to arrive, and the last answer is written.
    pub fn is_idle(&self) -> bool {
        self.state.borrow().is_idle()
    }

    /// Waits until the connection has been idle for half a second and `reclaim` notifies it. The one
    /// that has waited longest is notified first.
    pub async fn reclaimed(&self, reclaim: &Notify) {
        let mut changes = self.state.subscribe();
        loop {
            let is_idle = changes.borrow_and_update().is_idle();
            let notified = reclaimed_when_quiet(reclaim);
            tokio::select! {
                // A request may have begun since the notification.
                biased;
                _ = changes.changed() => {}
                () = notified, if is_idle => return,
            }
        }
    }

    /// Waits until a head takes too long, or the connection has been idle for too long. The timeouts
    /// are read at the beginning and at the end of that time, and the longer one counts.
    pub async fn timed_out(&self, timeouts: &(dyn Fn() -> Timeouts + Send + Sync)) {
        let mut changes = self.state.subscribe();
        loop {
            let state = *changes.borrow_and_update();
            if state.is_busy() {
                // The sender lives as long as `self`.
                let _ = changes.changed().await;
                continue;
            }
            let since = state.head_since.unwrap_or_else(Instant::now);
            let limit = || match state.head_since {
                Some(_) => timeouts().head,
                None => timeouts().idle,
            };
            tokio::select! {
                // A request may have begun since the timeout was noticed.
                biased;
                _ = changes.changed() => {}
                () = elapsed(since, limit) => return,
            }
        }
    }
}

/// Waits for half a second, in which a peer that is waited for sends nothing, and then until `reclaim`
/// notifies the connection.
pub async fn reclaimed_when_quiet(reclaim: &Notify) {
    sleep(RECLAIM_IDLE).await;
    reclaim.notified().await;
}

/// Waits until `limit` has passed since `since`, where a longer limit at the end counts.
async fn elapsed(since: Instant, limit: impl Fn() -> Duration) {
    let mut longest = limit();
    loop {
        sleep_until(since + longest).await;
        let current = limit();
        if current <= longest {
            return;
        }
        longest = current;
    }
}

impl InProgress {
    /// Keeps the request in progress until all of `body`, its response, is taken for writing.
    pub fn until_end_of<B>(self, body: B) -> impl Body<Data = Bytes, Error = B::Error>
    where
        B: Body<Data = Bytes>,
    {
        body.map_err(move |error| {
            let _ = &self;
            error
        })
    }
}

/// A stream of bytes whose reads and writes its connection's activity follows.
pub struct Observed<T> {
    stream: T,
    activity: Activity,
    /// Bytes that were read and are read again.
    returned: Bytes,
}

impl<T> Observed<T> {
    /// Returns `bytes`, which were read and not used, so that they are read again before others.
    pub fn with_returned(self, bytes: Bytes) -> Self {
        Self {
            returned: bytes,
            ..self
        }
    }

    /// The stream itself.
    pub fn into_inner(self) -> T {
        self.stream
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Observed<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.returned.is_empty() {
            let bytes = self.returned.len().min(buffer.remaining());
            buffer.put_slice(&self.returned.split_to(bytes));
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = match buffer.remaining() <= MAX_READ_BYTES {
            true => Pin::new(&mut self.stream).poll_read(context, buffer),
            false => {
                let mut part = ReadBuf::new(buffer.initialize_unfilled_to(MAX_READ_BYTES));
                let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
                let bytes = part.filled().len();
                buffer.advance(bytes);
                polled
            }
        };
        let bytes = buffer.filled().len() - before;
        if bytes > 0 && !self.activity.record_read(bytes) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Observed<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.activity.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The connection flushes the stream once it has no bytes left to write.
        if let Some(memory) = &self.activity.memory {
            memory.record_flush();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            state: Arc::new(watch::Sender::default()),
            memory: None,
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.state.send_modify(|state| state.requests -= 1);
        if let Some(memory) = &self.memory {
            memory.end_request();
        }
    }
}
