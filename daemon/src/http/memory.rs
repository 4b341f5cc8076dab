//! The account of the memory that callers can make a process hold.
//!
//! All listeners of a process share one account. It counts connections, heads, bodies of requests from their
//! first byte until the request has ended, and answers until they are written. While it is full, bodies are not
//! read on, and connections whose peers make no progress are closed, those that hold most first. The body that
//! lacks least gets the last room, so that one of the longest legal length always fits.

mod body;
mod buffer;
mod connection;

pub use {
    body::ReadError,
    buffer::Buffer,
    connection::{Connection, Counted},
};

use {
    bytes::Bytes,
    derive_more::Display,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Memory of a gateway that is not for callers, in bytes: what its own work may take at most.
const OVERHEAD_BYTES: u64 = 64 * 1024 * 1024;

/// What a connection takes without a request: its task, the state of the protocol and the first buffer.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Heads up to this length are always read. Callers' heads are shorter as a rule.
const SMALL_HEAD_BYTES: usize = 4 * 1024;

/// Part of the account that bodies of requests leave to answers. Without it, requests that have run could
/// wait for memory that others hold which wait for theirs.
const ANSWER_DIVISOR: usize = 4;

/// Time without a byte from or to a peer after which its connection may be closed. A peer that is not in
/// trouble sends or takes more within a round trip and thread scheduling on a loaded machine.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Connections that hold less are not closed: that would free too little.
const LEAST_FREED_BYTES: usize = 2 * 1024;

/// Interval at which stalled connections are looked for, and at which those that wait for memory look for it.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// What a peer was to do when its connection was closed to free memory.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// Send the rest of a head.
    Head,
    /// Send the rest of a body.
    Body,
    /// Take an answer.
    Answer,
    /// Nothing: the body waited too long for memory, and its request was refused.
    Refused,
}

/// The account. Clones share it.
#[derive(Clone)]
pub struct Account {
    shared: Arc<Shared>,
}

struct Shared {
    limit: usize,
    state: Mutex<State>,
    /// Notifies those that wait for memory.
    freed: Notify,
    count: Box<dyn Fn(Cause) + Send + Sync>,
}

#[derive(Default)]
struct State {
    used: usize,
    /// Part of `used` that answers hold.
    answers: usize,
    /// Part of `used` that bodies with the last room hold or may still take.
    last_room: usize,
    /// Bytes that bodies lack which wait for memory, by their connections.
    waiting: HashMap<u64, usize>,
    connections: HashMap<u64, Entry>,
    next_connection: u64,
    scanned: Option<Instant>,
}

/// What a connection holds.
struct Entry {
    listener: &'static str,
    peer: SocketAddr,
    closing: CancellationToken,
    /// Bytes of heads.
    head: usize,
    /// Bytes of the body that is being read.
    body: usize,
    /// Bytes of an answer that are not written.
    unwritten: usize,
    /// Those of them that are counted for the connection.
    counted: usize,
    /// What the peer is waited for, if anything.
    awaited: Option<Cause>,
    /// When the last byte came or went, or the peer began to be waited for.
    progress: Instant,
}

impl Entry {
    fn held(&self) -> usize {
        self.head + self.body + self.unwritten
    }

    fn is_stalled(&self) -> bool {
        self.awaited.is_some()
            && self.held() >= LEAST_FREED_BYTES
            && !self.closing.is_cancelled()
            && self.progress.elapsed() >= STALL_TIME
    }
}

/// Counted memory, which is released when this is dropped.
pub struct Reservation {
    account: Account,
    bytes: usize,
    is_answer: bool,
    last_room: usize,
}

/// Bytes with their reservation.
struct Reserved<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Reserved<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Default for Account {
    /// An account without a limit.
    fn default() -> Self {
        Self::new(usize::MAX / 2)
    }
}

impl Account {
    /// Creates an account of a number of bytes.
    pub fn new(limit: usize) -> Self {
        Self::with_counter(limit, |_| {})
    }

    /// Creates an account that tells `count` of each connection that is closed and each request that is
    /// refused.
    pub fn with_counter(limit: usize, count: impl Fn(Cause) + Send + Sync + 'static) -> Self {
        Self {
            shared: Arc::new(Shared {
                limit,
                state: Mutex::default(),
                freed: Notify::new(),
                count: Box::new(count),
            }),
        }
    }

    /// Part of the memory of a gateway, in bytes, that is for callers.
    pub fn share_of(max_memory_bytes: u64) -> usize {
        let share = max_memory_bytes
            .saturating_sub(OVERHEAD_BYTES)
            .max(max_memory_bytes / 2);
        usize::try_from(share).unwrap_or(usize::MAX / 2)
    }

    /// Number of bytes that are counted now.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Opens the entry of a connection.
    pub fn open(&self, listener: &'static str, peer: SocketAddr) -> Connection {
        let closing = CancellationToken::new();
        let mut state = self.lock();
        let id = state.next_connection;
        state.next_connection += 1;
        state.used += CONNECTION_BYTES;
        let entry = Entry {
            listener,
            peer,
            closing: closing.clone(),
            head: 0,
            body: 0,
            unwritten: 0,
            counted: 0,
            awaited: None,
            progress: Instant::now(),
        };
        state.connections.insert(id, entry);
        drop(state);
        Connection::new(self.clone(), id, closing)
    }

    /// Waits until there is room for an answer. One answer always fits.
    pub async fn reserve_answer(&self, bytes: usize) -> Reservation {
        while !self.try_reserve_answer(bytes) {
            self.wait_freed().await;
        }
        Reservation {
            account: self.clone(),
            bytes,
            is_answer: true,
            last_room: 0,
        }
    }

    fn try_reserve_answer(&self, bytes: usize) -> bool {
        let mut state = self.lock();
        let fits = state.used.saturating_add(bytes) <= self.shared.limit || state.answers == 0;
        match fits {
            true => {
                state.used += bytes;
                state.answers += bytes;
            }
            false => self.make_room(&mut state, bytes),
        }
        fits
    }

    /// Counts `body`, which was decoded from a message whose bytes were counted until now. Does not wait.
    pub fn hold_copy(&self, body: Bytes) -> Bytes {
        let mut reservation = self.reserve_nothing();
        reservation.bytes = body.len();
        self.lock().used += body.len();
        reservation.hold(body)
    }

    fn reserve_nothing(&self) -> Reservation {
        Reservation {
            account: self.clone(),
            bytes: 0,
            is_answer: false,
            last_room: 0,
        }
    }

    /// Waits until memory may have been freed.
    async fn wait_freed(&self) {
        let _ = timeout(SCAN_INTERVAL, self.shared.freed.notified()).await;
    }

    /// Closes stalled connections, those that hold most first, until that frees what lacks for `bytes` more.
    fn make_room(&self, state: &mut State, bytes: usize) {
        let is_recent = |scanned: Instant| scanned.elapsed() < SCAN_INTERVAL;
        if state.scanned.is_some_and(is_recent) {
            return;
        }
        state.scanned = Some(Instant::now());
        let missing = (state.used + bytes).saturating_sub(self.body_limit());
        let stalled = state.connections.values().filter(|it| it.is_stalled());
        let mut stalled: Vec<&Entry> = stalled.collect();
        stalled.sort_by_key(|entry| std::cmp::Reverse(entry.held()));
        let mut freed = 0;
        for entry in stalled {
            if freed >= missing {
                return;
            }
            freed += entry.held();
            self.close(entry);
        }
    }

    /// Ends a connection to free what it holds.
    fn close(&self, entry: &Entry) {
        let Some(cause) = entry.awaited else {
            return;
        };
        log::warn!(
            listener = entry.listener,
            peer:% = entry.peer,
            cause:% = cause,
            bytes = entry.held(),
            silent_ms = entry.progress.elapsed().as_millis() as u64;
            "connection closed: the memory for callers is full, and its peer makes no progress"
        );
        (self.shared.count)(cause);
        entry.closing.cancel();
    }

    /// Number of bytes up to which bodies of requests are read.
    fn body_limit(&self) -> usize {
        self.shared.limit - self.shared.limit / ANSWER_DIVISOR
    }

    fn release(&self, state: MutexGuard<'_, State>) {
        drop(state);
        self.shared.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Ties `bytes` to the reservation, which is released with the last handle to them.
    pub fn hold<T: AsRef<[u8]> + Send + 'static>(self, bytes: T) -> Bytes {
        Bytes::from_owner(Reserved {
            bytes,
            _reservation: self,
        })
    }

    /// Reserves `bytes` more for the body of a connection that lacks `missing` bytes in all, these included.
    /// The longest legal body has `longest` bytes. Returns whether there was room.
    fn try_grow(&mut self, connection: u64, bytes: usize, missing: usize, longest: usize) -> bool {
        let account = self.account.clone();
        let mut state = account.lock();
        let is_free = state.used.saturating_add(bytes) <= account.body_limit();
        if !is_free && self.last_room == 0 {
            account.make_room(&mut state, bytes);
            state.waiting.insert(connection, missing);
            let is_nearest = state.waiting.values().all(|other| missing <= *other);
            let fits = state.last_room == 0 || state.last_room + missing <= longest;
            if !is_nearest || !fits {
                return false;
            }
            self.last_room = missing;
            state.last_room += missing;
        }
        state.waiting.remove(&connection);
        state.used += bytes;
        self.bytes += bytes;
        true
    }

    /// Returns what is reserved above `bytes`.
    fn shrink(&mut self, bytes: usize) {
        let mut state = self.account.lock();
        state.used -= self.bytes.saturating_sub(bytes);
        self.bytes = self.bytes.min(bytes);
        let unneeded = self.last_room.saturating_sub(bytes);
        state.last_room -= unneeded;
        self.last_room -= unneeded;
        self.account.release(state);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        state.used -= self.bytes;
        state.last_room -= self.last_room;
        if self.is_answer {
            state.answers -= self.bytes;
        }
        self.account.release(state);
    }
}
