//! Timeouts of the HTTP client, against a server that sends its response body in pieces.

use {
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt as _, StreamBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
    },
    rstest::rstest,
    std::{io, time::Duration},
    tamarackdale_store::http::{Client, Error},
    tamarackdale_testbed::{
        flood::{Flood, HINT},
        host::{Connection, Host, whole},
        written::{Break, Framing, Written},
    },
    tokio::time::{Instant, sleep},
};

const TIMEOUT: Duration = Duration::from_millis(300);

/// A server whose response bodies are `count` pieces of `bytes` bytes, each after a `pause`.
fn server(count: usize, bytes: usize, pause: Duration) -> Host {
    Host::new("pieces", move |_| async move {
        let pieces = stream::unfold(0, move |sent| async move {
            if sent == count {
                return None;
            }
            sleep(pause).await;
            let piece = Bytes::from(vec![b'x'; bytes]);
            Some((Ok::<_, io::Error>(Frame::data(piece)), sent + 1))
        });
        Some(Response::new(StreamBody::new(pieces).boxed_unsync()))
    })
    .expect("starts")
}

fn client(server: &Host) -> Client {
    Client::new(&format!("http://{}", server.address()), TIMEOUT)
}

/// Guards against a time limit on the whole transfer, which large bodies over slow links exceed.
#[tokio::test]
async fn body_that_keeps_arriving_may_take_longer_than_the_timeout() {
    let server = server(20, 16 * 1024, TIMEOUT / 6);

    let response = client(&server).get_response("/").await;

    assert_eq!(response.expect("whole").body().len(), 20 * 16 * 1024);
}

#[rstest]
#[case::stalled(2, 64 * 1024, TIMEOUT * 20)]
#[case::trickling(100_000, 1, TIMEOUT / 10)]
#[tokio::test]
async fn body_that_stalls_or_trickles_is_given_up(
    #[case] count: usize,
    #[case] bytes: usize,
    #[case] pause: Duration,
) {
    let server = server(count, bytes, pause);
    let started = Instant::now();

    let response = client(&server).get_response("/").await;

    assert!(matches!(response, Err(Error::Lost(_))), "{response:?}");
    assert!(started.elapsed() < TIMEOUT * 10, "{:?}", started.elapsed());
}

/// Guards against a response that breaks off and is taken for a whole one, as an empty list of servers would
/// be.
#[rstest]
#[case::length(Framing::Length, None)]
#[case::chunked(Framing::Chunked, None)]
#[case::after_early_hints(Framing::Length, Some(103))]
#[case::after_an_unasked_upgrade(Framing::Length, Some(101))]
#[tokio::test]
async fn response_that_breaks_off_is_lost(
    #[case] framing: Framing,
    #[case] interim: Option<u16>,
    #[values(false, true)] is_reset: bool,
) {
    const BODY: &str = "{\"items\":[]}";
    let answer = Written { framing, interim };
    let (head, body) = answer.parts("", BODY);
    let mut wrong = Vec::new();

    for bytes in 0..head.len() + body.len() {
        let point = Break {
            answer,
            bytes,
            is_reset,
        };
        let server = Host::new("broken", move |request: Request<Incoming>| async move {
            point.write(request.extensions().get::<Connection>()?, "", BODY);
            None
        });
        let server = server.expect("starts");
        let response = client(&server).get_response("/").await;
        let is_lost = matches!(response, Err(Error::Lost(_)));
        wrong.extend((!is_lost).then(|| format!("{bytes}: {response:?}")));
    }

    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

/// A server that answers without end.
fn flooding(flood: Flood) -> Host {
    let handler = move |request: Request<Incoming>| async move {
        let connection = request.extensions().get::<Connection>()?.clone();
        flood.write(connection, "").await;
        None
    };
    Host::new("flood", handler).expect("starts")
}

/// Guards against a response without end that is kept until the memory is full, or that keeps a thread busy
/// until the timeout.
#[rstest]
#[case::header_line(Flood::HeaderLine)]
#[case::header_lines(Flood::HeaderLines)]
#[case::interim(Flood::Interim)]
#[case::body(Flood::Body)]
#[case::small_chunks(Flood::SmallChunks)]
#[case::chunk_extension(Flood::ChunkExtension)]
#[case::trailers(Flood::Trailers)]
#[tokio::test]
async fn response_without_end_is_given_up(#[case] flood: Flood) {
    const TIMEOUT: Duration = Duration::from_secs(20);
    let server = flooding(flood);
    let client =
        Client::new(&format!("http://{}", server.address()), TIMEOUT).with_max_body(64 * 1024);
    let started = Instant::now();

    let response = client.get_response("/").await;

    assert!(matches!(response, Err(Error::Lost(_))), "{response:?}");
    assert!(started.elapsed() < TIMEOUT / 4, "{:?}", started.elapsed());
}

/// Guards against a sound response that is lost after some hundred interim ones.
#[tokio::test]
async fn response_after_many_interim_ones_is_read() {
    let handler = |request: Request<Incoming>| async move {
        let connection = request.extensions().get::<Connection>()?;
        connection.write(HINT.repeat(500).as_bytes());
        Some(whole(StatusCode::OK, "answer".into()))
    };
    let server = Host::new("hints", handler).expect("starts");

    for _ in 0..5 {
        let response = client(&server).get_response("/").await;
        assert_eq!(&response.expect("whole").body()[..], b"answer");
    }
}
