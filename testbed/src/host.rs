//! HTTP host of the platform's stand-ins: a port that can be closed and opened again.

use {
    crate::port::Port,
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        io::{self, Write as _},
        net::{self, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
            mpsc::{SyncSender, sync_channel},
        },
        thread,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{
            Notify,
            mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        },
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Time from a crash until connections are accepted again.
pub const CRASH_LENGTH: Duration = Duration::from_millis(700);

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The handler cuts the connection.
#[derive(Debug, Display, Error)]
#[display("cut")]
struct Cut;

enum Order {
    Open(SyncSender<()>),
    Close(SyncSender<()>),
}

/// The connection of a request, in the request's extensions, for bytes that are no answer to it.
#[derive(Clone)]
pub struct Connection {
    socket: Arc<net::TcpStream>,
    /// Whether the connection has carried an earlier request.
    pub is_kept: bool,
}

impl Connection {
    /// Writes bytes at once.
    pub fn write(&self, bytes: &[u8]) {
        // A broken connection is the peer's affair.
        let _ = (&*self.socket).write_all(bytes);
    }

    /// Writes what the socket takes at once.
    ///
    /// # Errors
    ///
    /// Fails when it takes nothing at present, or is closed.
    pub fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        (&*self.socket).write(bytes)
    }

    /// Lets the connection be reset when it is closed.
    pub fn reset_at_close(&self) {
        // A broken connection is the peer's affair.
        let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
    }
}

/// A running host. Its thread ends with it.
pub struct Host {
    address: SocketAddr,
    orders: Option<UnboundedSender<Order>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Host {
    /// Serves HTTP on a free loopback port. A request that the handler answers with `None` has its
    /// connection cut.
    ///
    /// # Errors
    ///
    /// No port or thread is available.
    pub fn new<H, F>(name: &str, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        Self::with_crash(name, handler, Arc::default())
    }

    /// Like [`Self::new`], and crashes when `crash` is notified: it cuts all connections, refuses new
    /// ones for [`CRASH_LENGTH`] and is then back.
    ///
    /// # Errors
    ///
    /// No port or thread is available.
    pub fn with_crash<H, F>(name: &str, handler: H, crash: Arc<Notify>) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(name)
            .enable_all()
            .build()?;
        let port = Port::new()?;
        let address = port.address();
        let listener = {
            let _context = runtime.enter();
            port.listen()?
        };
        let (orders, receiver) = unbounded_channel();
        let thread = thread::Builder::new().name(name.into()).spawn(move || {
            runtime.block_on(run(port, listener, receiver, crash, handler));
            runtime.shutdown_background();
        })?;
        Ok(Self {
            address,
            orders: Some(orders),
            thread: Some(thread),
        })
    }

    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections from now on, and cuts those that are open.
    pub fn close(&self) {
        self.order(Order::Close);
    }

    /// Accepts connections again.
    pub fn open(&self) {
        self.order(Order::Open);
    }

    fn order(&self, order: impl Fn(SyncSender<()>) -> Order) {
        let (done, wait) = sync_channel(1);
        if let Some(orders) = &self.orders {
            // A host that has ended needs no order.
            let _ = orders.send(order(done));
            let _ = wait.recv();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// An answer with a whole binary body.
pub fn bytes(bytes: Bytes) -> Response<Body> {
    let body = Full::from(bytes).map_err(|never| match never {});
    Response::new(body.boxed_unsync())
}

/// An answer with a whole JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    whole(status, value.to_string().into())
}

/// An answer with a body of known bytes.
pub fn whole(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let body = Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

async fn run<H, F>(
    port: Port,
    listener: TcpListener,
    mut orders: UnboundedReceiver<Order>,
    crash: Arc<Notify>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    let mut returns_at = None;
    loop {
        let restart = async {
            match returns_at {
                Some(time) => sleep_until(time).await,
                None => std::future::pending().await,
            }
        };
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            order = orders.recv() => match order {
                None => break,
                Some(Order::Close(done)) => {
                    listener = None;
                    connections.shutdown().await;
                    let _ = done.send(());
                }
                Some(Order::Open(done)) => {
                    listener = listener.or_else(|| port.listen().ok());
                    let _ = done.send(());
                }
            },
            () = crash.notified() => {
                listener = None;
                connections.shutdown().await;
                returns_at = Some(Instant::now() + CRASH_LENGTH);
            }
            () = restart => {
                returns_at = None;
                listener = listener.or_else(|| port.listen().ok());
            }
            Ok((stream, _)) = accepted => {
                connections.spawn(serve(stream, handler.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

async fn serve<H, F>(stream: TcpStream, handler: H) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let socket = Arc::new(stream.try_clone()?);
    let stream = TcpStream::from_std(stream)?;
    let requests = AtomicUsize::new(0);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(Connection {
            socket: Arc::clone(&socket),
            is_kept: requests.fetch_add(1, Ordering::SeqCst) > 0,
        });
        let answer = handler(request);
        async move { answer.await.ok_or(Cut) }
    });
    // A broken connection is the peer's affair.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    Ok(())
}
