//! HTTP server for a gotham handler, with graceful shutdown.
//!
//! gotham's own server spawns connection tasks that cannot be drained, so this module has its own
//! accept loop.

use {
    super::{
        activity::{Activity, Timeouts},
        unframed,
    },
    crate::signal::Shutdown,
    gotham::{handler::NewHandler, helpers::http::Body, service::call_handler, state::State},
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, panic::AssertUnwindSafe, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
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

/// A bound listener with the handler that serves its connections.
pub struct Server<H> {
    name: &'static str,
    listener: TcpListener,
    handler: Arc<H>,
    connections: Arc<Semaphore>,
    timeouts: Arc<dyn Fn() -> Timeouts + Send + Sync>,
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
            timeouts: Arc::new(|| TIMEOUTS),
        })
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

    /// Serves until `shutdown` is closing, then ends each connection after its current request.
    /// Drops all connections when `shutdown` is aborting.
    pub async fn serve(self, shutdown: &Shutdown) {
        let tracker = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.accept() => accepted,
                () = shutdown.closing.cancelled() => break,
            };
            let Some((stream, permit)) = accepted else {
                continue;
            };
            let Ok(peer) = stream.peer_addr() else {
                continue;
            };
            let connection = self.serve_connection(stream, peer, shutdown.clone());
            tracker.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
        drop(self.listener);
        tracker.close();
        tracker.wait().await;
    }

    async fn accept(&self) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
        // The semaphore is never closed.
        let permit = Arc::clone(&self.connections).acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, _)) => {
                // Without TCP_NODELAY, small frames would wait for the peer's acknowledgements.
                stream.set_nodelay(true).ok()?;
                Some((stream, permit))
            }
            Err(error) => {
                log::warn!(listener = self.name; "cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                None
            }
        }
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
        let activity = Activity::new();
        let requests = activity.clone();
        let guard = unframed::Guard::new();
        let stream = guard.watch(stream);
        let service = service_fn(move |request: Request<Incoming>| {
            let version = request.version();
            let guard = guard.clone();
            let state = State::from_request(remove_invalid_request_id(request), peer);
            let response = call_handler(Arc::clone(&handler), AssertUnwindSafe(state));
            let in_progress = requests.begin_request();
            async move {
                let response = response.await;
                response.map(|response| {
                    response
                        .map(|body: Body| in_progress.until_end_of(guard.observe(version, body)))
                })
            }
        });
        let stream = activity.observe(stream);
        let connection = http1::Builder::new()
            // `Activity` has the timeouts.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEADER_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        async move {
            let mut connection = pin!(connection);
            let mut is_closing = false;
            loop {
                tokio::select! {
                    // A request that has arrived goes before the timeout.
                    biased;
                    result = connection.as_mut() => {
                        log_connection_error(name, peer, &activity, result);
                        return;
                    }
                    () = shutdown.aborting.cancelled() => {
                        log::warn!(listener = name, peer:% = peer; "connection aborted at shutdown");
                        return;
                    }
                    () = shutdown.closing.cancelled(), if !is_closing => {
                        is_closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                    () = activity.timed_out(&*timeouts) => return,
                }
            }
        }
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
            requests;
            "connection ended before its response was complete: {error}"
        ),
    }
}
