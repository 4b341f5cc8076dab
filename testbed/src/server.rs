//! A small HTTP server on a thread of its own, the base of the stand-ins.

use {
    bytes::Bytes,
    futures_util::{Stream, StreamExt as _},
    http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, io, net::SocketAddr, thread},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::oneshot,
    },
};

/// Body of a stand-in's answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An HTTP server on a free loopback port; its thread is joined on drop.
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server.
    ///
    /// `setup` runs on the server's own runtime, where it may spawn background tasks, and returns
    /// the function that answers requests.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread can be had.
    pub fn new<S, H, F>(name: &str, setup: S) -> io::Result<Self>
    where
        S: FnOnce() -> H + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                runtime.block_on(async move {
                    tokio::select! {
                        _ = accept(listener, setup) => {}
                        _ = stopped => {}
                    }
                });
            })?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address that the server listens on, as a URL without a path.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the server's thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

async fn accept<S, H, F>(listener: std::net::TcpListener, setup: S) -> io::Result<()>
where
    S: FnOnce() -> H,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    let handler = setup();
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        tokio::spawn(serve(stream, handler.clone()));
    }
}

async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // The peer may leave at any moment, which is no fault of the server.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let bytes = Bytes::from(value.to_string());
    answer(status, "application/json", full(bytes))
}

/// An answer that streams server-sent events, each already formatted.
pub fn events<S>(stream: S) -> Response<Body>
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    let frames = stream.map(|bytes| Ok::<_, io::Error>(Frame::data(bytes)));
    let body = StreamBody::new(frames).boxed_unsync();
    answer(StatusCode::OK, "text/event-stream", body)
}

/// One server-sent event.
pub fn event(name: &str, data: &serde_json::Value) -> Bytes {
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}

fn answer(status: StatusCode, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
