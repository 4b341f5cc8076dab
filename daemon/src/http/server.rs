//! HTTP server for a gotham handler, with graceful shutdown.
//!
//! gotham's own server spawns connection tasks that cannot be drained, so this module has its own
//! accept loop.

use {
    super::{
        activity::{Activity, Timeouts, reclaimed_when_quiet},
        memory::{Account, Counted},
        request_body::{DISCARD_TIMEOUT, MAX_DISCARDED_BYTES, RequestBody, discard_all},
        response_body::ResponseBody,
        unframed,
    },
    crate::signal::Shutdown,
    futures_util::FutureExt as _,
    gotham::{handler::NewHandler, helpers::http::Body, service::call_handler, state::State},
    hyper::{
        Request, Response,
        body::{Body as _, Incoming},
        header::{CONNECTION, EXPECT, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    rustix::io::Errno,
    socket2::{SockFilter, SockRef},
    std::{
        io::{self, ErrorKind},
        net::SocketAddr,
        panic::AssertUnwindSafe,
        pin::{Pin, pin},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, watch},
        task::yield_now,
        time::{Instant, sleep, sleep_until, timeout},
    },
    tokio_util::task::TaskTracker,
};

/// Timeouts of listeners that have none of their own.
const TIMEOUTS: Timeouts = Timeouts {
    idle: Duration::from_secs(10),
    head: Duration::from_secs(10),
};

const MAX_HEADER_BUFFER_BYTES: usize = 64 * 1024;
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time for a peer to close its direction of a connection whose requests have all been read: a round trip
/// and thread scheduling on a loaded machine.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the first request on a new connection, within which the shutdown does not close it: a round trip
/// and thread scheduling on an overloaded machine.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_000);

/// Time for the handshakes that are under way when a listener takes no new ones: a round trip in a data
/// centre, twice.
const HANDSHAKE_TIME: Duration = Duration::from_millis(2);

/// Socket filter (classic BPF) that drops TCP segments with the flag SYN and lets all others pass: loads the
/// byte of the flags, skips an instruction if SYN is not set, drops, passes.
const NO_SYN: [SockFilter; 4] = [
    SockFilter::new(0x30, 0, 0, 13),
    SockFilter::new(0x45, 0, 1, 0x02),
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, u32::MAX),
];

/// Size of the pieces in which bytes are read that are discarded. Small, since all connections of a
/// listener may need it at once.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// Why a connection ends on which no request is in progress.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Overdue {
    /// It makes room for another one.
    Reclaimed,
    /// It has been idle, or a head has been incomplete, for too long.
    TimedOut,
}

/// A bound listener with the handler that serves its connections.
pub struct Server<H> {
    name: &'static str,
    listener: TcpListener,
    handler: Arc<H>,
    connections: Arc<Semaphore>,
    /// Notifies an idle connection that is closed in favour of a new one.
    reclaim: Arc<Notify>,
    timeouts: Arc<dyn Fn() -> Timeouts + Send + Sync>,
    /// Number of connections and requests that have come.
    arrivals: Arc<watch::Sender<u64>>,
    memory: Account,
}

impl<H> Server<H>
where
    H: NewHandler + 'static,
{
    /// Binds `address` and logs the bound address.
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(
        name: &'static str,
        address: SocketAddr,
        max_connections: usize,
        handler: H,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        log::info!(listener = name, address:% = bound; "listening");
        Ok(Self {
            name,
            listener,
            handler: Arc::new(handler),
            connections: Arc::new(Semaphore::new(max_connections)),
            reclaim: Arc::default(),
            timeouts: Arc::new(|| TIMEOUTS),
            arrivals: Arc::default(),
            memory: Account::default(),
        })
    }

    /// Counts what connections hold in the account of the process.
    pub fn with_memory(mut self, memory: &Account) -> Self {
        self.memory = memory.clone();
        self
    }

    /// Changes whenever a connection or a request comes.
    pub fn arrivals(&self) -> watch::Receiver<u64> {
        self.arrivals.subscribe()
    }

    /// Sets the timeouts of connections. They are read again before a connection is closed, so that
    /// longer ones hold at once.
    pub fn with_timeouts(
        mut self,
        timeouts: impl Fn() -> Timeouts + Send + Sync + 'static,
    ) -> Self {
        self.timeouts = Arc::new(timeouts);
        self
    }

    /// Serves until `shutdown` is closing, then ends each connection after its current request, also those
    /// that peers have opened by then. Drops all connections when `shutdown` is aborting.
    pub async fn serve(self, shutdown: &Shutdown) {
        let tracker = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.accept() => accepted,
                () = shutdown.closing.cancelled() => break,
            };
            if let Some((stream, permit)) = accepted {
                self.spawn_connection(&tracker, stream, permit, shutdown);
            }
        }
        for stream in self.accept_last().await {
            // Beyond the limit a connection is reset, as it would be without this.
            if let Ok(permit) = Arc::clone(&self.connections).try_acquire_owned() {
                self.spawn_connection(&tracker, stream, permit, shutdown);
            }
        }
        drop(self.listener);
        tracker.close();
        tracker.wait().await;
    }

    fn spawn_connection(
        &self,
        tracker: &TaskTracker,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        shutdown: &Shutdown,
    ) {
        let Ok(peer) = stream.peer_addr() else {
            return;
        };
        self.arrivals.send_modify(|arrivals| *arrivals += 1);
        let connection = self.serve_connection(stream, peer, shutdown.clone());
        tracker.spawn(async move {
            connection.await;
            drop(permit);
        });
    }

    /// Accepts the connections that peers have opened, and lets none follow: one that comes between the last
    /// accept and the close of the listener would be reset.
    async fn accept_last(&self) -> Vec<TcpStream> {
        let listener = SockRef::from(&self.listener);
        match listener.attach_filter(&NO_SYN) {
            Ok(()) => sleep(HANDSHAKE_TIME).await,
            Err(error) => log::warn!(listener = self.name; "cannot stop new connections: {error}"),
        }
        let mut streams = Vec::new();
        // Asks the operating system: the runtime hears of connections later.
        loop {
            let accepted = listener.accept();
            let stream = accepted.and_then(|(socket, _)| {
                socket.set_nonblocking(true)?;
                socket.set_tcp_nodelay(true)?;
                TcpStream::from_std(socket.into())
            });
            match stream {
                Ok(stream) => streams.push(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return streams,
                Err(error) => {
                    log::warn!(listener = self.name; "cannot accept a connection: {error}");
                    if is_out_of_descriptors(&error) {
                        return streams;
                    }
                }
            }
        }
    }

    /// Accepts a connection. While there are as many as the limit allows, an idle one makes room for it.
    async fn accept(&self) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        let stream = match self.listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(listener = self.name; "cannot accept a connection: {error}");
                if is_out_of_descriptors(&error) {
                    self.reclaim.notify_one();
                }
                sleep(ACCEPT_BACKOFF).await;
                return None;
            }
        };
        // Without TCP_NODELAY, small frames would wait for the peer's acknowledgements.
        stream.set_nodelay(true).ok()?;
        if self.connections.available_permits() == 0 {
            log::info!(listener = self.name; "connection limit reached: an idle one is closed");
            self.reclaim.notify_one();
        }
        // The semaphore is never closed.
        let permit = Arc::clone(&self.connections).acquire_owned().await.ok()?;
        Some((stream, permit))
    }

    /// Serves one connection until it ends, is idle for too long or is ended by the shutdown.
    fn serve_connection(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        shutdown: Shutdown,
    ) -> impl Future<Output = ()> + use<H> {
        let name = self.name;
        let handler = Arc::clone(&self.handler);
        let timeouts = Arc::clone(&self.timeouts);
        let reclaim = Arc::clone(&self.reclaim);
        let memory = self.memory.open(name, peer);
        let activity = Activity::new().with_memory(memory.clone());
        let closed = memory.clone();
        let requests = activity.clone();
        let arrivals = Arc::clone(&self.arrivals);
        let (rests_sender, rests) = mpsc::unbounded_channel();
        let guard = unframed::Guard::new();
        let stream = guard.watch(stream);
        let service = service_fn(move |request: Request<Incoming>| {
            let version = request.version();
            let path = request.uri().path().to_owned();
            let guard = guard.clone();
            let in_progress = requests.begin_request();
            arrivals.send_modify(|arrivals| *arrivals += 1);
            let awaits_continue = request.headers().contains_key(EXPECT);
            let request = remove_invalid_request_id(request);
            let request = request.map(|body| RequestBody::new(body, requests.clone()));
            let unread = request.body().unread();
            let mut state = State::from_request(request, peer);
            state.put(memory.clone());
            let memory = memory.clone();
            let response = call_handler(Arc::clone(&handler), AssertUnwindSafe(state));
            let activity = requests.clone();
            let rests = rests_sender.clone();
            async move {
                response.await.map(|mut response| {
                    if let Some(rest) = unread.take() {
                        if awaits_continue || is_last(&response, &rest) {
                            let close = HeaderValue::from_static("close");
                            response.headers_mut().insert(CONNECTION, close);
                        } else {
                            let request = activity.begin_discard();
                            // The receiver lives as long as the connection.
                            let _ = rests.send((request, rest));
                        }
                    }
                    let is_counted = response.extensions().get::<Counted>().is_some();
                    response
                        .map(|body: Body| ResponseBody::new(name, path, body))
                        .map(|body| memory.observe(body, is_counted))
                        .map(|body| in_progress.until_end_of(guard.observe(version, body)))
                })
            }
        });
        let stream = activity.observe(stream);
        let mut protocol = http1::Builder::new();
        // `Activity` has the timeouts.
        protocol.header_read_timeout(None);
        protocol.max_buf_size(MAX_HEADER_BUFFER_BYTES);
        let mut connection = protocol.serve_connection(TokioIo::new(stream), service);
        let opened = Instant::now();
        async move {
            let closing = async {
                shutdown.closing.cancelled().await;
                if !activity.has_begun() {
                    sleep_until(opened + FIRST_REQUEST_TIME).await;
                }
                // Lets the runtime hear of bytes that have arrived.
                yield_now().await;
            };
            let mut closing = pin!(closing);
            let mut discarding = pin!(discard_all(
                name,
                peer,
                activity.clone(),
                Arc::clone(&reclaim),
                rests
            ));
            let mut is_closing = false;
            let result = loop {
                let overdue = tokio::select! {
                    // A request that has arrived goes before the timeout.
                    biased;
                    result = &mut connection => break result,
                    () = shutdown.aborting.cancelled() => {
                        log::warn!(
                            listener = name,
                            peer:% = peer,
                            requests = activity.requests(),
                            bytes_read = activity.bytes_read();
                            "connection aborted at shutdown"
                        );
                        return;
                    }
                    () = closed.closed() => return,
                    () = closing.as_mut(), if !is_closing => {
                        if activity.is_idle() {
                            // A request that crosses this stays unread, as its peer can tell.
                            return;
                        }
                        is_closing = true;
                        None
                    }
                    () = discarding.as_mut() => None,
                    // It has been idle for long enough that its peer has the last answer.
                    () = activity.reclaimed(&reclaim) => Some(Overdue::Reclaimed),
                    () = activity.timed_out(&*timeouts) => Some(Overdue::TimedOut),
                };
                let Some(overdue) = overdue else {
                    Pin::new(&mut connection).graceful_shutdown();
                    continue;
                };
                let parts = connection.into_parts();
                let is_idle = parts.read_buf.is_empty();
                if is_closing || is_idle || activity.is_request_incomplete() {
                    log_incomplete_request(name, peer, &activity);
                    return;
                }
                if overdue == Overdue::Reclaimed {
                    // Another connection makes room.
                    reclaim.notify_one();
                }
                // A part of a head came in one read with the request before. From now on it has the time
                // of a head.
                activity.record_begun_head();
                let stream = parts.io.into_inner().with_returned(parts.read_buf);
                connection = protocol.serve_connection(TokioIo::new(stream), parts.service);
            };
            // The end of a rest can come with the end of its connection.
            let _ = discarding.as_mut().now_or_never();
            log_connection_error(name, peer, &activity, result);
            // Drops what is left of the handlers.
            let stream = connection.into_parts().io.into_inner().into_inner();
            tokio::select! {
                () = close(name, peer, &activity, &reclaim, stream) => {}
                () = shutdown.aborting.cancelled() => {}
            }
        }
    }
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}

/// Whether a connection ends after a response to a request with an unread `rest`. The end of a rest of
/// unknown length could not be noticed.
fn is_last(response: &Response<Body>, rest: &Incoming) -> bool {
    let connection = response.headers().get(CONNECTION);
    let length = rest.size_hint().exact();
    connection.is_some_and(|value| value == "close")
        || length.is_none_or(|length| length > MAX_DISCARDED_BYTES)
}

/// Closes a connection after its last answer: ends the own direction, and reads until the peer has ended
/// its own, a limit is reached, or a peer that sends nothing is to make room.
async fn close(
    name: &'static str,
    peer: SocketAddr,
    activity: &Activity,
    reclaim: &Notify,
    mut stream: unframed::Guarded,
) {
    if stream.shutdown().await.is_err() {
        // The connection is broken.
        return;
    }
    if activity.is_reclaimed() {
        return;
    }
    let is_incomplete = activity.is_request_incomplete();
    let limit = match is_incomplete {
        true => DISCARD_TIMEOUT,
        false => CLOSE_TIMEOUT,
    };
    let mut discarded = 0;
    let reading = async {
        let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
        while discarded <= MAX_DISCARDED_BYTES {
            let read = tokio::select! {
                biased;
                read = stream.read(&mut buffer) => read,
                () = reclaimed_when_quiet(reclaim) => return false,
            };
            match read {
                Ok(0) | Err(_) => return true,
                Ok(bytes) => discarded += bytes as u64,
            }
        }
        false
    };
    let is_closed_by_peer = timeout(limit, reading).await.unwrap_or(false);
    if is_incomplete || discarded > 0 {
        log::info!(
            listener = name,
            peer:% = peer,
            requests = activity.requests(),
            bytes_read = activity.bytes_read(),
            bytes_discarded = discarded,
            is_closed_by_peer;
            "connection closed before a request was read to its end"
        );
    }
}

/// Removes a request identifier that is not UTF-8, on which gotham would panic.
fn remove_invalid_request_id(mut request: Request<Incoming>) -> Request<Incoming> {
    let name = "x-request-id";
    let is_invalid = request
        .headers()
        .get(name)
        .is_some_and(|value| std::str::from_utf8(value.as_bytes()).is_err());
    if is_invalid {
        request.headers_mut().remove(name);
    }
    request
}

/// Logs why a connection failed, at a level that is written if callers did not get an answer by that.
fn log_connection_error(
    name: &'static str,
    peer: SocketAddr,
    activity: &Activity,
    result: Result<(), hyper::Error>,
) {
    let Err(error) = result else {
        return;
    };
    match activity.requests() {
        0 => log::debug!(listener = name; "connection failed: {error}"),
        requests => log::info!(
            listener = name,
            peer:% = peer,
            requests,
            bytes_read = activity.bytes_read();
            "connection ended before its response was complete: {error}"
        ),
    }
}

/// Logs that a connection is closed although its peer may still send a request.
fn log_incomplete_request(name: &'static str, peer: SocketAddr, activity: &Activity) {
    if activity.is_request_incomplete() {
        log::info!(
            listener = name,
            peer:% = peer,
            requests = activity.requests(),
            bytes_read = activity.bytes_read();
            "connection closed before a request was read to its end"
        );
    }
}
