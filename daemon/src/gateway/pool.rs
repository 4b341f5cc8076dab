//! Pool of connections to backend servers.

mod process;
mod socket;

use {
    self::{
        process::{Liveness, Processes},
        socket::Socket,
    },
    crate::http::probe::Probe,
    bytes::Bytes,
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{self, SendRequest},
        },
    },
    hyper_util::rt::TokioIo,
    rustix::io::Errno,
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tamarackdale_core::fleet::{Member, Members},
    tamarackdale_platform::report,
    tamarackdale_store::http::interim,
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Timeout for establishing a connection. The round trip and the backend server's handling take
/// milliseconds. A lost SYN is retransmitted after a second, which is too late to wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before a connection is opened for which there was no file descriptor. Requests that end free some,
/// which takes milliseconds.
const DESCRIPTOR_PAUSE: Duration = Duration::from_millis(10);

/// Longest time for a backend server's report, for which the callers of streams wait: some round trips.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`). A sound
/// server may read nothing for a second or two; callers of streams give up a little later.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum number of idle connections per backend server.
const MAX_IDLE: usize = 32;

/// Time before the backend server's idle timeout at which a connection is closed here, so that a
/// request is not sent on a connection that the backend server is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Size of the read buffer of a connection, in bytes, and so of the longest response head. A backend
/// server in trouble may send bytes without end that are no response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Idle timeout of connections to backend servers that state none.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A connection to a backend server. Dropping it closes the connection at once.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Counts the interim responses to the present request.
    interim: interim::Meter,
    /// Start time of the process at the other end, in Unix milliseconds, once that has stated it.
    started_at_ms: Option<u64>,
    liveness: Arc<Liveness>,
    driver: AbortHandle,
}

/// The head of a response, or why there is none; the request is returned if it was not written.
pub type SendResult = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

impl Connection {
    /// Sends a request, one at a time. The connection breaks when the interim responses to it have more than
    /// [`interim::MAX_BYTES`] bytes.
    pub fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> impl Future<Output = SendResult> + use<> {
        self.interim.observe(&mut request);
        self.sender.try_send_request(request)
    }

    async fn read_report(&mut self, address: SocketAddr) -> io::Result<Bytes> {
        let response = self.send(report::request(address)).await;
        let response = response.map_err(|error| io::Error::other(error.into_error()))?;
        let body = response.into_body();
        let body = Limited::new(body, report::MAX_BYTES).collect().await;
        let bytes = body.map_err(io::Error::other)?.to_bytes();
        // The next request is sent at once, for which the connection must have ended this exchange.
        self.sender.ready().await.map_err(io::Error::other)?;
        Ok(bytes)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct IdleConnection {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by identifier of the backend server.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
    /// When backend servers to which connections broke were last probed, and whether they were
    /// reachable.
    probes: Mutex<HashMap<String, Arc<Probe>>>,
    processes: Processes,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an idle connection to the backend server, or opens a new one.
    ///
    /// Fails if no connection is established within the timeout.
    pub async fn connect(&self, member: &Member) -> io::Result<Connection> {
        match self.take_idle(&member.id) {
            Some(connection) => Ok(connection),
            None => open(member.address).await,
        }
    }

    /// Whether the process at the other end of a connection is the start of the backend server that is
    /// registered. It is asked unless an open connection has shown that it is; one that does not state its
    /// start counts as the registered one.
    ///
    /// Fails if it does not answer in time.
    pub async fn leads_to(&self, connection: &mut Connection, member: &Member) -> io::Result<bool> {
        if member.started_at_ms == 0 {
            return Ok(true);
        }
        let started_at_ms = match connection.started_at_ms {
            Some(known) => known,
            None => timeout(REPORT_TIMEOUT, self.find_start(connection, member)).await??,
        };
        Ok(started_at_ms == member.started_at_ms)
    }

    async fn find_start(&self, connection: &mut Connection, member: &Member) -> io::Result<u64> {
        let turn = self.processes.turn(&member.id);
        let _turn = turn.lock().await;
        // The other connection may lead to a former process whose end has not been noticed. So what it has
        // shown is not kept for this one, and keeps no stream from the registered process.
        if self.processes.started_at_ms(&member.id) == Some(member.started_at_ms) {
            return Ok(member.started_at_ms);
        }
        let body = connection.read_report(member.address).await?;
        let started_at_ms = report::started_at_ms(&body).unwrap_or(member.started_at_ms);
        connection.started_at_ms = Some(started_at_ms);
        self.processes
            .record(&member.id, started_at_ms, &connection.liveness);
        Ok(started_at_ms)
    }

    /// Whether a backend server to which a connection broke accepts new ones, and so has not crashed.
    /// The new connection is kept in the pool. When many connections break at once, one of those who
    /// ask opens a new one, and the others get the same result.
    pub async fn is_reachable(&self, member: &Member) -> bool {
        let with_opened = |opened| match opened {
            Ok(connection) => self.put(&member.id, connection, DEFAULT_IDLE_TIMEOUT),
            Err(error) => log::info!(
                backend_server = member.id.as_str();
                "backend server has crashed: connections broke and no new one is accepted: {error}"
            ),
        };
        self.probe(member)
            .is_reachable(open(member.address), is_closed, with_opened)
            .await
    }

    /// Whether a backend server, which has just closed a connection, refuses new ones, and so has ended. A new
    /// connection is kept in the pool.
    pub async fn has_ended(&self, member: &Member) -> bool {
        let with_opened = |opened| {
            if let Ok(connection) = opened {
                self.put(&member.id, connection, DEFAULT_IDLE_TIMEOUT);
            }
        };
        self.probe(member)
            .is_refused(|| open(member.address), is_closed, with_opened)
            .await
    }

    fn probe(&self, member: &Member) -> Arc<Probe> {
        let mut probes = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        probes.retain(|id, probe| *id == member.id || Arc::strong_count(probe) > 1);
        Arc::clone(probes.entry(member.id.clone()).or_default())
    }

    /// Returns a connection to the pool after a complete response. The backend server keeps it open
    /// for `idle_timeout`.
    pub fn put(&self, id: &str, connection: Connection, idle_timeout: Duration) {
        let Some(max_idle) = idle_timeout.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = pool.entry(id.to_owned()).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires: Instant::now() + max_idle,
        });
    }

    /// Closes connections to backend servers that are no longer registered, and expired
    /// connections.
    pub fn prune(&self, members: &Members) {
        self.processes.retain(|id| members.contains_key(id));
        let now = Instant::now();
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        pool.retain(|id, connections| {
            connections.retain(|idle| idle.expires > now);
            members.contains_key(id) && !connections.is_empty()
        });
    }

    /// Takes the most recently used idle connection that is still open. A connection on which
    /// unsolicited bytes arrived has been closed.
    fn take_idle(&self, id: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = pool.get_mut(id)?;
        while let Some(idle) = connections.pop() {
            if idle.expires > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

fn is_closed(opened: &Connection) -> bool {
    opened.sender.is_closed()
}

/// Whether a connection was not opened because of this process or system, and not of its peer.
pub fn lacks_descriptors(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}

/// Opens a connection, and waits within the timeout while there is no file descriptor for it.
async fn open_stream(address: SocketAddr) -> io::Result<TcpStream> {
    let end = Instant::now() + CONNECT_TIMEOUT;
    loop {
        let result = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?;
        let may_wait = Instant::now() + DESCRIPTOR_PAUSE < end;
        match result {
            Err(error) if lacks_descriptors(&error) && may_wait => sleep(DESCRIPTOR_PAUSE).await,
            result => return result,
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<Connection> {
    let stream = open_stream(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    let liveness = Arc::new(Liveness::default());
    let interim = interim::Meter::new();
    let socket = Socket::new(stream, Arc::clone(&liveness), interim.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address; "connection to a backend server failed: {error}");
        }
    });
    Ok(Connection {
        sender,
        interim,
        started_at_ms: None,
        liveness,
        driver: driver.abort_handle(),
    })
}
