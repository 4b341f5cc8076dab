//! Connections to backend servers, kept for reuse.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tamarackdale_core::fleet::{Member, Members},
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, timeout},
    },
};

/// Longest time for a connection to come about: the way there and back and the backend server's own
/// handling take milliseconds; a lost packet is sent again after a second, which is too late.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which sent bytes that nobody acknowledges end a connection.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silence after which the other end is asked whether it is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Questions without an answer after which the connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Idle connections kept for one backend server.
const MAX_IDLE: usize = 32;

/// Time by which a connection is dropped before its other end would close it: a request must not
/// cross the close.
const IDLE_RESERVE: Duration = Duration::from_millis(700);

/// Time that a connection may be idle where the backend server states none.
pub const DEFAULT_IDLE: Duration = Duration::from_millis(3_000);

/// A connection to one backend server. Dropping it closes it at once.
pub struct Connection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by backend server.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

impl Pool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// A connection to the backend server: an idle one, or else a new one.
    ///
    /// Fails when no connection comes about in time.
    pub async fn connect(&self, member: &Member) -> io::Result<Connection> {
        match self.take(&member.id) {
            Some(connection) => Ok(connection),
            None => open(member.address).await,
        }
    }

    /// Keeps a connection on which an answer has ended whole, for `idle`.
    pub fn put(&self, id: &str, connection: Connection, idle: Duration) {
        let Some(idle) = idle.checked_sub(IDLE_RESERVE) else {
            return;
        };
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = pool.entry(id.to_owned()).or_default();
        if kept.len() >= MAX_IDLE {
            kept.remove(0);
        }
        kept.push(Idle {
            connection,
            until: Instant::now() + idle,
        });
    }

    /// Closes the connections to backend servers that are no longer registered, and those that
    /// have been idle for too long.
    pub fn prune(&self, roster: &Members) {
        let now = Instant::now();
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        pool.retain(|id, kept| {
            kept.retain(|idle| idle.until > now);
            roster.contains_key(id) && !kept.is_empty()
        });
    }

    /// The connection that was used last, if it is still good: bytes that came on it since then
    /// belong to no request and have closed it.
    fn take(&self, id: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = pool.get_mut(id)?;
        while let Some(idle) = kept.pop() {
            if idle.until > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

async fn open(address: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address; "connection to a backend server ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
    })
}
