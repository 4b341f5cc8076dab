//! HTTP server for a gotham handler, with graceful shutdown.
//!
//! gotham's own server spawns connection tasks that cannot be drained, so this module has its own
//! accept loop.

use {
    crate::signal::Shutdown,
    gotham::{handler::NewHandler, service::call_handler, state::State},
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::{GracefulConnection, GracefulShutdown},
    },
    std::{io, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
    },
    tokio_util::task::TaskTracker,
};

const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADER_BUFFER_BYTES: usize = 64 * 1024;
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A bound listener with the handler that serves its connections.
pub struct Server<H> {
    name: &'static str,
    listener: TcpListener,
    handler: Arc<H>,
    connections: Arc<Semaphore>,
    header_timeout: Arc<dyn Fn() -> Duration + Send + Sync>,
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
            header_timeout: Arc::new(|| HEADER_READ_TIMEOUT),
        })
    }

    /// Sets the timeout for reading a request's head, including the idle time before it. It is
    /// evaluated for each new connection.
    pub fn with_header_timeout(
        mut self,
        timeout: impl Fn() -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.header_timeout = Arc::new(timeout);
        self
    }

    /// Serves until `shutdown` is closing, then ends each connection after its current request.
    /// Drops all connections when `shutdown` is aborting.
    pub async fn serve(self, shutdown: &Shutdown) {
        let graceful = GracefulShutdown::new();
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
            let connection = graceful.watch(self.serve_connection(stream, peer));
            let aborting = shutdown.aborting.clone();
            let name = self.name;
            tracker.spawn(async move {
                tokio::select! {
                    result = connection => log_connection_error(name, result),
                    () = aborting.cancelled() => {
                        log::warn!(
                            listener = name,
                            peer:% = peer;
                            "connection aborted at shutdown"
                        );
                    }
                }
                drop(permit);
            });
        }
        drop(self.listener);
        tracker.close();
        graceful.shutdown().await;
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

    fn serve_connection(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> impl GracefulConnection<Error = hyper::Error> + use<H> {
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let state = State::from_request(remove_invalid_request_id(request), peer);
            call_handler(Arc::clone(&handler), AssertUnwindSafe(state))
        });
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout((self.header_timeout)())
            .max_buf_size(MAX_HEADER_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service)
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

fn log_connection_error(name: &'static str, result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!(listener = name; "connection failed: {error}");
    }
}
