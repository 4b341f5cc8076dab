//! Callers' connections of the HTTP server.

use {
    bytes::Bytes,
    futures_util::{StreamExt as _, stream},
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{Response, body::Frame},
        state::{State, StateData},
    },
    rstest::rstest,
    std::{io, net::SocketAddr, time::Duration},
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

/// Time from a part of a stream to its break.
const PAUSE: Duration = Duration::from_millis(50);

/// What the server of a test answers.
#[derive(Clone, Copy)]
enum Answer {
    /// That many bytes.
    Bytes(usize),
    /// Some bytes of a stream, which then ends like this or not at all.
    Stream(Option<StreamEnd>),
}

#[derive(Clone, Copy)]
enum StreamEnd {
    Whole,
    Broken,
}

impl StateData for Answer {}

async fn answer(state: State) -> HandlerResult {
    let body: Body = match *state.borrow::<Answer>() {
        Answer::Bytes(size) => body::full(Bytes::from(vec![b'x'; size])),
        Answer::Stream(end) => {
            let first = stream::iter([Ok(Frame::data(Bytes::from_static(b"part")))]);
            let rest = match end {
                Some(StreamEnd::Whole) => stream::empty().boxed(),
                Some(StreamEnd::Broken) => {
                    let error = async {
                        // The part goes out first.
                        sleep(PAUSE).await;
                        Err(io::Error::other("broken off"))
                    };
                    stream::once(error).boxed()
                }
                None => stream::pending().boxed(),
            };
            body::stream(first.chain(rest))
        }
    };
    Ok((state, Response::new(body)))
}

/// A server that answers each request like this, without reading the request's body.
async fn start(answers: Answer, idle: Duration) -> (SocketAddr, Shutdown) {
    let router = http::catch_all_router(answers, answer);
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
    let (address, _) = start(Answer::Bytes(SIZE), IDLE_TIMEOUT).await;
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
    let (address, _) = start(Answer::Bytes(SIZE), IDLE_TIMEOUT).await;
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
    let (address, shutdown) = start(Answer::Bytes(SIZE), Duration::from_secs(60)).await;
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

/// Guards against a stream that breaks off and looks whole to a caller of HTTP/1.0, who is told its end by
/// that of the connection; and against a whole stream that looks broken.
#[rstest]
#[case::whole(Answer::Stream(Some(StreamEnd::Whole)), false)]
#[case::broken(Answer::Stream(Some(StreamEnd::Broken)), true)]
#[case::aborted_at_shutdown(Answer::Stream(None), true)]
#[tokio::test]
async fn only_a_stream_that_breaks_off_resets_the_connection_of_a_caller_without_chunks(
    #[case] answers: Answer,
    #[case] is_reset: bool,
) {
    let (address, shutdown) = start(answers, IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let mut received = [0; 15];

    let request = "GET / HTTP/1.0\r\nHost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let begun = stream.read_exact(&mut received).await;
    sleep(PAUSE * 2).await;
    shutdown.aborting.cancel();
    let read = stream.read_to_end(&mut Vec::new()).await;

    assert!(
        begun.is_ok() && received.starts_with(b"HTTP/1.0 200 OK"),
        "{begun:?}"
    );
    assert_eq!(read.is_err(), is_reset, "{read:?}");
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
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
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
