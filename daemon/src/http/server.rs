//! A listener that serves a gotham router and can be drained.
//!
//! gotham's own server spawns connections that nobody can drain, so the accept loop is here.

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

/// A bound listener with the router that it serves.
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
    /// Binds `address` and logs where it listens.
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

    /// Sets how long a new connection may take for the next request's head, idle time included.
    pub fn with_header_timeout(
        mut self,
        timeout: impl Fn() -> Duration + Send + Sync + 'static,
    ) -> Self {
        self.header_timeout = Arc::new(timeout);
        self
    }

    /// Serves until closing, then ends each connection after the request it carries; at cutting,
    /// ends them all.
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
            let connection = graceful.watch(self.connection(stream, peer));
            let cutting = shutdown.aborting.clone();
            let name = self.name;
            tracker.spawn(async move {
                tokio::select! {
                    result = connection => log_end(name, result),
                    () = cutting.cancelled() => {
                        log::warn!(listener = name, peer:% = peer; "connection cut");
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
                // Small frames must not wait for the peer's acknowledgements.
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

    fn connection(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> impl GracefulConnection<Error = hyper::Error> + use<H> {
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let state = State::from_request(without_broken_request_id(request), peer);
            call_handler(Arc::clone(&handler), AssertUnwindSafe(state))
        });
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout((self.header_timeout)())
            .max_buf_size(MAX_HEADER_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service)
    }
}

/// gotham panics on a request identifier that is not UTF-8, so such a header is taken off.
fn without_broken_request_id(mut request: Request<Incoming>) -> Request<Incoming> {
    let name = "x-request-id";
    let is_broken = request
        .headers()
        .get(name)
        .is_some_and(|value| std::str::from_utf8(value.as_bytes()).is_err());
    if is_broken {
        request.headers_mut().remove(name);
    }
    request
}

fn log_end(name: &'static str, result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        log::debug!(listener = name; "connection ended: {error}");
    }
}
