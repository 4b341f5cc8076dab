//! Callers' connections of the HTTP server.

use {
    bytes::Bytes,
    futures_util::{StreamExt as _, stream},
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        hyper::{
            Response, Uri,
            body::Frame,
            header::{CONNECTION, HeaderValue},
        },
        router::Router,
        state::{State, StateData},
    },
    rstest::rstest,
    std::{io, net::SocketAddr, time::Duration},
    tamarackdale_testbed::strict::{Connection, Framing, Request},
    tamarackdaled::{
        gateway::callers,
        http::{self, Server, activity::Timeouts, body, request_body::DISCARD_TIMEOUT},
        signal::Shutdown,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

const MAX_CONNECTIONS: usize = 8;

/// Longest time for an answer once the request has been sent.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Time for an answer to `/later`.
const ANSWER_TIME: Duration = Duration::from_millis(20);

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
    BrokenAtOnce,
    Panic,
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
                Some(StreamEnd::BrokenAtOnce) => {
                    stream::iter([Err(io::Error::other("broken off"))]).boxed()
                }
                Some(StreamEnd::Panic) => {
                    stream::once(async { panic!("the test wants it") }).boxed()
                }
                None => stream::pending().boxed(),
            };
            body::stream(first.chain(rest))
        }
    };
    let mut response = Response::new(body);
    match state.borrow::<Uri>().path() {
        "/last" => {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        "/panic" => panic!("the test wants it"),
        "/later" => sleep(ANSWER_TIME).await,
        _ => {}
    }
    Ok((state, response))
}

async fn bind(router: Router) -> (Server<Router>, SocketAddr) {
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = port.local_addr().expect("bound");
    drop(port);
    let server = Server::bind("test", address, MAX_CONNECTIONS, router).await;
    (server.expect("binds"), address)
}

/// A server that answers each request like this, without reading the request's body.
async fn start(answers: Answer, idle: Duration) -> (SocketAddr, Shutdown) {
    let (server, address) = bind(http::catch_all_router(answers, answer)).await;
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
#[case::whole(Answer::Stream(Some(StreamEnd::Whole)), false, false)]
#[case::broken(Answer::Stream(Some(StreamEnd::Broken)), false, true)]
#[case::aborted_at_shutdown(Answer::Stream(None), false, true)]
#[case::half_closed_by_the_caller(Answer::Stream(None), true, true)]
#[tokio::test]
async fn only_a_stream_that_breaks_off_resets_the_connection_of_a_caller_without_chunks(
    #[case] answers: Answer,
    #[case] half_closes: bool,
    #[case] is_reset: bool,
) {
    let (address, shutdown) = start(answers, IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let mut received = [0; 15];

    let request = "GET / HTTP/1.0\r\nHost: a\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let begun = stream.read_exact(&mut received).await;
    if half_closes {
        stream.shutdown().await.expect("half-closed");
    }
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

/// A request to a path in pieces that are sent a few milliseconds apart.
fn pieces(path: &str, count: usize, framing: Framing) -> Request {
    Request {
        head: format!("POST {path} HTTP/1.1\r\nHost: a\r\n"),
        piece: 10_000,
        pieces: count,
        pause: Duration::from_millis(5),
        framing,
    }
}

/// Guards against an answer that is lost because the connection is closed while its caller still sends.
#[rstest]
#[case::kept("/", 200, false)]
#[case::closed_by_the_server("/last", 200, true)]
#[case::after_a_panic("/panic", 500, false)]
#[tokio::test]
async fn caller_that_sends_all_first_gets_the_answer_to_a_request_that_is_not_read(
    #[case] path: &str,
    #[case] status: u16,
    #[case] is_last: bool,
    #[values(6, 90)] count: usize,
    #[values(Framing::Length, Framing::Chunked)] framing: Framing,
) {
    const CONNECTIONS: usize = 5;
    const CALLS: usize = 2;
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let request = pieces(path, count, framing);
    // The end of a chunked rest cannot be noticed, so such a connection is not kept.
    let is_last = is_last || framing == Framing::Chunked;
    let calls = if is_last { 1 } else { CALLS };
    let mut lost = Vec::new();

    for _ in 0..CONNECTIONS {
        let mut connection = Connection::open(address).await.expect("accepted");
        for _ in 0..calls {
            match connection.call(&request, CALL_LIMIT).await {
                Ok(answer) => assert_eq!((answer.status, answer.is_last), (status, is_last)),
                Err(error) => lost.push(error),
            }
        }
    }

    let all = CONNECTIONS * calls;
    assert!(lost.is_empty(), "{} of {all} lost: {lost:?}", lost.len());
}

/// Guards against a connection that counts as idle, or its body as a head, while its caller still sends,
/// and against one that is not idle after that.
#[tokio::test]
async fn connection_is_idle_from_the_end_of_a_body_that_comes_after_the_answer() {
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let slow = Request {
        pause: IDLE_TIMEOUT / 2,
        ..pieces("/", 6, Framing::Length)
    };
    let mut connection = Connection::open(address).await.expect("accepted");

    let first = connection.call(&slow, CALL_LIMIT).await;
    sleep(IDLE_TIMEOUT / 2).await;
    let second = connection.call(&slow, CALL_LIMIT).await;
    sleep(IDLE_TIMEOUT * 2).await;
    let third = connection.call(&slow, CALL_LIMIT).await;

    assert_eq!(first.expect("answered").status, 200);
    assert_eq!(second.expect("answered").status, 200);
    assert!(third.is_err(), "not closed: {third:?}");
}

/// Guards against the same loss at a graceful shutdown, and a shutdown that waits for longer than needed:
/// for a caller that has sent all and does not close its connection.
#[rstest]
#[case::kept("/", false)]
#[case::closed_by_the_server("/last", true)]
#[tokio::test]
async fn caller_that_still_sends_at_shutdown_gets_its_answer(
    #[case] path: &str,
    #[case] closes: bool,
) {
    let router = http::catch_all_router(Answer::Bytes(16), answer);
    let (server, address) = bind(router).await;
    let shutdown = Shutdown::new();
    let served = shutdown.clone();
    let serving = tokio::spawn(async move { server.serve(&served).await });
    let request = pieces(path, 60, Framing::Length);
    let mut connection = Connection::open(address).await.expect("accepted");

    let (answer, ()) = tokio::join!(connection.call(&request, CALL_LIMIT), async {
        sleep(Duration::from_millis(100)).await;
        shutdown.closing.cancel();
    });
    let open = (!closes).then_some(connection);
    let ended = timeout(Duration::from_secs(1), serving).await;

    assert_eq!(answer.expect("answered").status, 200);
    assert!(ended.is_ok(), "still serving");
    drop(open);
}

/// Guards against a caller that is told to go on with a body that nobody reads.
#[tokio::test]
async fn caller_that_waits_before_its_body_is_answered_at_once() {
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n";

    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let read = timeout(CALL_LIMIT, stream.read_to_string(&mut answer)).await;

    assert!(read.is_ok_and(|read| read.is_ok()), "{answer}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
}

/// Guards against a connection that waits without end for the rest of a body.
#[tokio::test]
async fn body_that_does_not_come_is_awaited_for_a_limited_time() {
    const MARGIN: Duration = Duration::from_secs(3);
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nbody";

    stream.write_all(request.as_bytes()).await.expect("sent");
    let started = Instant::now();
    let mut answer = String::new();
    let read = timeout(DISCARD_TIMEOUT + MARGIN, stream.read_to_string(&mut answer)).await;

    assert!(read.is_ok_and(|read| read.is_ok()), "{answer}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(started.elapsed() + MARGIN > DISCARD_TIMEOUT);
}

/// Guards against a peer that sends without end and is read without end.
#[rstest]
#[case::with_a_length(Framing::Length)]
#[case::chunked(Framing::Chunked)]
#[tokio::test]
async fn body_without_end_is_discarded_within_limits(#[case] framing: Framing) {
    /// What is discarded before and after the end of the answers, and the sockets' buffers.
    const LIMIT: usize = 80 * 1024 * 1024;
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let endless = Request {
        piece: 1024 * 1024,
        pieces: 2 * LIMIT / (1024 * 1024),
        pause: Duration::ZERO,
        ..pieces("/", 0, framing)
    };
    let mut connection = Connection::open(address).await.expect("accepted");

    let answer = connection.call(&endless, CALL_LIMIT).await;

    assert!(answer.is_err(), "{answer:?}");
    let sent = connection.bytes_sent();
    assert!(sent < LIMIT, "{sent} bytes sent");
}

/// Guards against callers that wait without an answer while connections are idle: the one that has been
/// idle for longest makes room.
#[tokio::test]
async fn idle_connection_makes_room_for_a_new_one() {
    let (address, _) = start(Answer::Bytes(16), Duration::from_secs(60)).await;
    let request = pieces("/", 1, Framing::Length);
    let mut kept = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut connection = Connection::open(address).await.expect("accepted");
        let answer = connection.call(&request, CALL_LIMIT).await;
        assert_eq!(answer.expect("answered").status, 200);
        kept.push(connection);
    }

    let mut next = Connection::open(address).await.expect("accepted");
    let answer = next.call(&request, CALL_LIMIT).await;
    let mut others = Vec::new();
    for connection in &mut kept {
        others.push(connection.call(&request, CALL_LIMIT).await.is_ok());
    }

    assert_eq!(answer.expect("answered").status, 200);
    assert!(!others[0], "the longest idle one is still open");
    assert!(others[1..].iter().all(|is_open| *is_open), "{others:?}");
}

/// Guards against the loss of the last answer on a connection on which its caller has sent more requests.
#[tokio::test]
async fn last_answer_is_whole_although_more_requests_follow() {
    const SIZE: usize = 60_000;
    let (address, _) = start(Answer::Bytes(SIZE), IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let last = "GET /last HTTP/1.1\r\nHost: a\r\n\r\n";
    let more = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(1_000);

    stream.write_all(last.as_bytes()).await.expect("sent");
    for piece in more.as_bytes().chunks(2_000) {
        stream.write_all(piece).await.expect("sent");
        sleep(Duration::from_millis(5)).await;
    }
    let mut answers = Vec::new();
    let read = stream.read_to_end(&mut answers).await;

    assert!(read.is_ok(), "{read:?}");
    assert!(answers.starts_with(b"HTTP/1.1 200 OK"));
    assert!(
        (SIZE..SIZE + 1_000).contains(&answers.len()),
        "{}",
        answers.len()
    );
}

/// Guards against a request that is read, begun and not answered because it came just as its connection
/// had been idle for too long.
#[tokio::test]
async fn request_that_arrives_with_the_idle_timeout_is_answered() {
    /// From before the idle timeout until after it. The server runs on the test's thread, so it finds the
    /// request and the timeout at once.
    const STALL: Duration = Duration::from_millis(100);
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let request = b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut streams = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        streams.push(TcpStream::connect(address).await.expect("accepted"));
    }

    sleep(IDLE_TIMEOUT - STALL / 2).await;
    for stream in &mut streams {
        stream.try_write(request).expect("sent");
    }
    std::thread::sleep(STALL);
    let mut answered = Vec::new();
    for stream in &mut streams {
        let read = timeout(CALL_LIMIT, stream.read(&mut [0; 1_000])).await;
        answered.push(matches!(read, Ok(Ok(1..))));
    }

    assert!(answered.iter().all(|answered| *answered), "{answered:?}");
}

/// Guards against callers at the connection limit that lose their connection to each other before their
/// requests arrive.
#[tokio::test]
async fn new_connection_does_not_make_room_before_its_request_arrives() {
    const CALLERS: usize = 4;
    const TRANSIT: Duration = Duration::from_millis(50);
    let (address, _) = start(Answer::Bytes(16), Duration::from_secs(60)).await;
    let mut busy = Vec::new();
    for _ in 1..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("accepted");
        stream.write_all(b"GET / HTTP/1.1\r\n").await.expect("sent");
        busy.push(stream);
    }
    sleep(TRANSIT).await;
    let mut callers = JoinSet::new();

    for _ in 0..CALLERS {
        callers.spawn(async move {
            let mut connection = Connection::open(address).await.expect("accepted");
            sleep(TRANSIT).await;
            let request = pieces("/last", 1, Framing::Length);
            let answer = connection.call(&request, CALL_LIMIT).await;
            answer.map(|answer| answer.status)
        });
    }
    let answers = callers.join_all().await;

    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
}

/// Guards against callers that wait for the peers of idle connections, which do not look at them.
#[tokio::test]
async fn idle_connections_make_room_at_once_although_their_peers_do_not_close_them() {
    /// Time after which callers give up if their request has not been read.
    const PATIENCE: Duration = Duration::from_secs(1);
    let (address, _) = start(Answer::Bytes(16), Duration::from_secs(60)).await;
    let request = pieces("/", 1, Framing::Length);
    let mut kept = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut connection = Connection::open(address).await.expect("accepted");
        let answer = connection.call(&request, CALL_LIMIT).await;
        assert_eq!(answer.expect("answered").status, 200);
        kept.push(connection);
    }
    sleep(PATIENCE).await;
    let mut callers = JoinSet::new();

    for _ in 0..MAX_CONNECTIONS {
        let request = request.clone();
        callers.spawn(async move {
            let mut connection = Connection::open(address).await.expect("accepted");
            let answer = connection.call(&request, PATIENCE).await;
            (answer.map(|answer| answer.status), connection)
        });
    }
    let called = callers.join_all().await;

    let answers: Vec<_> = called.iter().map(|(answer, _)| answer).collect();
    assert!(answers.iter().all(|answer| answer.is_ok()), "{answers:?}");
}

/// Guards against a request that counts as read to its end because the one before it is.
#[tokio::test]
async fn last_answer_reaches_a_caller_whose_head_came_with_the_end_of_another_body() {
    /// Longer than the server waits for a peer that has sent whole requests.
    const PAUSE: Duration = Duration::from_secs(1);
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let first = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nbody";
    let second = "bodyPOST /last HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nbody";

    stream.write_all(first.as_bytes()).await.expect("sent");
    let mut answer = [0; 1_000];
    let read = stream.read(&mut answer).await;
    assert!(read.is_ok_and(|bytes| bytes > 0) && answer.starts_with(b"HTTP/1.1 200"));
    stream.write_all(second.as_bytes()).await.expect("sent");
    for _ in 0..2 {
        sleep(PAUSE).await;
        stream.write_all(b"body").await.expect("sent");
    }
    let mut last = String::new();
    let read = timeout(CALL_LIMIT, stream.read_to_string(&mut last)).await;

    assert!(matches!(read, Ok(Ok(_))), "{read:?}: {last}");
    assert!(last.starts_with("HTTP/1.1 200"), "{last}");
}

/// Guards against a request that is read and dropped because it crosses the end of an idle connection at
/// shutdown: callers send one again only if it was not read.
#[tokio::test]
async fn request_that_crosses_the_end_of_an_idle_connection_is_not_read() {
    const TRANSIT: Duration = Duration::from_millis(50);
    let (address, shutdown) = start(Answer::Bytes(16), Duration::from_secs(60)).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let answered = stream.read(&mut [0; 1_000]).await;
    assert!(answered.is_ok_and(|bytes| bytes > 0));

    shutdown.closing.cancel();
    sleep(TRANSIT).await;
    stream.write_all(request).await.expect("sent");
    sleep(TRANSIT).await;
    // Its system has reset a connection whose bytes nobody reads.
    let next = stream.write_all(request).await;

    assert!(next.is_err(), "read");
}

/// Guards against a connection that counts as idle although a part of a head came with the request before.
#[rstest]
#[case::after_a_request("GET /later HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::after_a_body_that_is_not_read(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
)]
#[tokio::test]
async fn head_whose_first_part_came_with_another_request_is_awaited(#[case] first: &str) {
    const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
    let (server, address) = bind(http::catch_all_router(Answer::Bytes(16), answer)).await;
    let server = server.with_timeouts(|| Timeouts {
        idle: IDLE_TIMEOUT,
        head: HEAD_TIMEOUT,
    });
    tokio::spawn(async move { server.serve(&Shutdown::new()).await });
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let part = "GET / HT";
    let rest = "TP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    let sent = stream.write_all(format!("{first}{part}").as_bytes()).await;
    sleep(IDLE_TIMEOUT * 2).await;
    let completed = stream.write_all(rest.as_bytes()).await;
    let mut answers = String::new();
    let read = timeout(CALL_LIMIT, stream.read_to_string(&mut answers)).await;

    assert!(sent.is_ok() && completed.is_ok(), "{completed:?}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{read:?}");
}

/// Guards against a caller that keeps its connection with a part of a head that came with another request.
#[tokio::test]
async fn head_whose_first_part_came_with_another_request_is_awaited_for_a_limited_time() {
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");

    let sent = stream
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET")
        .await;
    let mut answers = String::new();
    let read = timeout(CALL_LIMIT, stream.read_to_string(&mut answers)).await;

    assert!(sent.is_ok() && read.is_ok(), "{read:?}");
    assert!(answers.starts_with("HTTP/1.1 200"), "{answers}");
}

/// Guards against a caller that gets nothing of a stream, not even its head, because the stream breaks off
/// before that is written.
#[rstest]
#[case::broken(StreamEnd::BrokenAtOnce)]
#[case::panic(StreamEnd::Panic)]
#[tokio::test]
async fn stream_that_breaks_off_at_once_is_begun(
    #[case] end: StreamEnd,
    #[values("1.0", "1.1")] version: &str,
) {
    let (address, _) = start(Answer::Stream(Some(end)), IDLE_TIMEOUT).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let request = format!("GET / HTTP/{version}\r\nHost: a\r\n\r\n");

    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut received = Vec::new();
    let read = timeout(CALL_LIMIT, stream.read_to_end(&mut received)).await;

    let received = String::from_utf8_lossy(&received);
    let head = format!("HTTP/{version} 200");
    assert!(read.is_ok(), "not closed");
    assert!(received.starts_with(&head), "{received}");
    assert!(received.contains("part"), "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received}");
}

/// Guards against a caller that is told nothing of a request that ended with a panic.
#[tokio::test]
async fn panic_before_the_head_is_answered_as_a_refusal() {
    let response = async { panic!("the test wants it") };

    let refusal = callers::or_refusal("r-1", response).await;

    assert_eq!(refusal.status(), 500);
    assert_eq!(refusal.headers()["attempt-id"], "r-1");
    let text = body::read(refusal.into_body(), 1_000).await;
    assert_eq!(text.expect("read"), r#"{"error":"internal"}"#.as_bytes());
}

/// Guards against new callers that wait for answered ones, which neither send the rest of their bodies nor
/// close their connections.
#[rstest]
#[case::kept("/", "Content-Length: 9")]
#[case::closed_by_the_server("/last", "Content-Length: 9")]
#[case::chunked("/", "Transfer-Encoding: chunked")]
#[tokio::test]
async fn answered_caller_whose_body_does_not_come_makes_room(
    #[case] path: &str,
    #[case] framing: &str,
) {
    let (address, _) = start(Answer::Bytes(16), IDLE_TIMEOUT).await;
    let request = format!("POST {path} HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n4\r\n");
    let mut held = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("accepted");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let answered = timeout(CALL_LIMIT, stream.read(&mut [0; 1_000])).await;
        assert!(matches!(answered, Ok(Ok(1..))), "{answered:?}");
        held.push(stream);
    }
    let mut callers = JoinSet::new();

    for _ in 0..MAX_CONNECTIONS {
        callers.spawn(async move {
            let mut connection = Connection::open(address).await.expect("accepted");
            let request = pieces("/last", 1, Framing::Length);
            let answer = connection.call(&request, CALL_LIMIT).await;
            answer.map(|answer| answer.status)
        });
    }
    let answers = callers.join_all().await;

    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
}
