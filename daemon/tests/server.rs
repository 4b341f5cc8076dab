//! Callers' connections of the HTTP server.

use {
    bytes::Bytes,
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::Response,
        state::{State, StateData},
    },
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tamarackdaled::{
        http::{self, Server, activity::Timeouts, body},
        signal::Shutdown,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        time::sleep,
    },
};

const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone)]
struct Answer(usize);

impl StateData for Answer {}

async fn answer(state: State) -> HandlerResult {
    let size = state.borrow::<Answer>().0;
    let response: Response<Body> = Response::new(body::full(Bytes::from(vec![b'x'; size])));
    Ok((state, response))
}

/// A server that answers each request with that many bytes, without reading the request's body.
async fn start(size: usize, idle: Duration) -> (SocketAddr, Shutdown) {
    let router = http::catch_all_router(Answer(size), answer);
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = port.local_addr().expect("bound");
    drop(port);
    let server = Server::bind("test", address, 8, router)
        .await
        .expect("binds");
    let server = server.with_timeouts(move || Timeouts { idle, head: idle });
    let shutdown = Shutdown::new();
    let served = shutdown.clone();
    tokio::spawn(async move { server.serve(&served).await });
    (address, shutdown)
}

/// Guards against an answer that is cut by the idle timeout while its caller still receives it.
#[tokio::test]
async fn answer_is_whole_although_its_caller_reads_slowly() {
    const SIZE: usize = 64 * 1024 * 1024;
    let (address, _) = start(SIZE, IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    stream.write_all(request.as_bytes()).await.expect("sent");
    sleep(IDLE_TIMEOUT * 3).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;

    assert!(answer.len() > SIZE, "{} bytes, {read:?}", answer.len());
}

/// Guards against the same on a kept connection.
#[tokio::test]
async fn answer_on_a_kept_connection_is_whole_although_its_caller_reads_slowly() {
    const SIZE: usize = 64 * 1024 * 1024;
    let (address, _) = start(SIZE, IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");

    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    sleep(IDLE_TIMEOUT * 3).await;
    let mut answer = vec![0; SIZE];
    let read = stream.read_exact(&mut answer).await;

    assert!(read.is_ok(), "{read:?}");
}

/// Guards against an answer that is cut by the graceful shutdown while its caller still receives it.
#[tokio::test]
async fn answer_on_a_kept_connection_is_whole_at_shutdown() {
    const SIZE: usize = 64 * 1024 * 1024;
    const PAUSE: Duration = Duration::from_millis(300);
    let (address, shutdown) = start(SIZE, Duration::from_secs(60)).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");

    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    sleep(PAUSE).await;
    shutdown.closing.cancel();
    sleep(PAUSE).await;
    let mut answer = vec![0; SIZE];
    let read = stream.read_exact(&mut answer).await;

    assert!(read.is_ok(), "{read:?}");
}

/// Guards against a request that is sent wholly and gets no answer because its body is not read.
#[rstest]
#[case::at_once(1)]
#[case::in_pieces(6)]
#[tokio::test]
async fn request_whose_body_is_not_read_is_answered(#[case] pieces: usize) {
    const CALLS: usize = 50;
    const SIZE: usize = 60_000;
    const PAUSE: Duration = Duration::from_millis(1);
    let (address, _) = start(16, IDLE_TIMEOUT).await;
    let mut answered = 0;

    for _ in 0..CALLS {
        let mut stream = TcpStream::connect(address).await.expect("accepted");
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {SIZE}\r\n\r\n");
        let message = [head.into_bytes(), vec![b'x'; SIZE]].concat();
        for piece in message.chunks(message.len().div_ceil(pieces)) {
            // A caller that cannot send the rest still reads the answer.
            let _ = stream.write_all(piece).await;
            sleep(PAUSE).await;
        }
        let mut answer = [0; 15];
        let read = stream.read_exact(&mut answer).await;
        answered += usize::from(read.is_ok() && answer.starts_with(b"HTTP/1.1 200 OK"));
    }

    assert_eq!(answered, CALLS, "answered");
}
