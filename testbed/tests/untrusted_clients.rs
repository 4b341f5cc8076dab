//! Callers that hold memory or connections without end, against gateways, routers and sidecars as real
//! processes. Each test checks that the process lives, that the peaks of its memory and descriptors stay
//! within its limits, and that an ordinary request is answered afterwards, while the crowd is still connected.

use {
    bytes::Bytes,
    hyper::Method,
    rstest::rstest,
    serde_json::json,
    std::{
        fs, io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        http,
        load::{Generator, Schedule, Shot},
        platform::{Behaviour, Configuration, Gateway, Server, Site, request},
        process::Process,
    },
    tamarackdale_wire::path,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpSocket, TcpStream},
        task::{JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
};

/// Memory of the smallest machine, in MB.
const SMALLEST_MEMORY_MB: u64 = 112;

/// Lowered memory for crowds that send little each, in MB.
const LOWERED_MEMORY_MB: u64 = 64;

/// Descriptors of the smallest machine.
const MAX_DESCRIPTORS: usize = 2_870;

/// Lowered descriptors. A gateway reserves 900 of them, so that a thousand callers can connect.
const LOWERED_DESCRIPTORS: usize = 1_900;

/// Largest legal body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Callers with bodies or answers of [`MAX_BODY_BYTES`]: 192 MiB together, more than the memory of the smallest
/// machine.
const CROWD: usize = 48;

/// Chunks of one byte of a caller: with 32 bytes for each of them, and 6 that were read, 109 MB for the crowd.
const SMALL_CHUNKS: usize = 60_000;

/// Callers with heads that do not end, as many as can connect.
const HEADS: usize = 1_000;

/// Bytes of such a head, below the limit of a listener: 60 MiB together.
const HEAD_BYTES: usize = 60 * 1024;

/// Callers that connect and send nothing, more than can connect.
const SILENT: usize = 1_500;

/// Memory of a router or sidecar for what callers send, by its settings.
const BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// Memory of a router or sidecar for everything else, as docs/design/LOAD.md states it for a gateway.
const OVERHEAD_BYTES: usize = 64 * 1000 * 1000;

/// Time that the crowd has to send.
const SENDING_TIME: Duration = Duration::from_secs(6);

/// Time in which an ordinary caller repeats its request until it is answered: twice the longest time-out for
/// a body.
const ORDINARY_TIME: Duration = Duration::from_secs(60);

/// Pause between two bytes that a slow caller reads.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Size of the kernel's buffer of a slow caller.
const SLOW_BUFFER_BYTES: u32 = 4 * 1024;

/// What a caller sends after the head of its request.
#[derive(Clone, Copy, Debug)]
enum Sent {
    /// A legal body at once, without its last byte.
    Whole,
    /// A legal body in pieces, without its last byte.
    Pieces,
    /// A legal body in chunks of 64 KiB, without the last chunk.
    Chunks,
    /// Chunks of one byte, without the last chunk.
    SmallChunks,
    /// A body of 64 MiB whose length is announced.
    AnnouncedTooLong,
    /// A body of 64 MiB in chunks.
    TooLong,
}

impl Sent {
    fn framing(self) -> String {
        match self {
            Self::Whole | Self::Pieces => format!("content-length: {MAX_BODY_BYTES}\r\n"),
            Self::AnnouncedTooLong => format!("content-length: {}\r\n", 16 * MAX_BODY_BYTES),
            Self::Chunks | Self::SmallChunks | Self::TooLong => {
                "transfer-encoding: chunked\r\n".to_owned()
            }
        }
    }

    /// Writes the body until the server takes no more of it.
    async fn write(self, stream: &mut TcpStream) -> io::Result<()> {
        const PIECE: usize = 64 * 1024;
        let piece = vec![b'x'; PIECE];
        let chunk = [b"10000\r\n".as_slice(), &piece, b"\r\n"].concat();
        match self {
            Self::Whole => {
                let body = vec![b'x'; MAX_BODY_BYTES - 1];
                stream.write_all(&body).await
            }
            Self::Pieces => {
                for _ in 1..MAX_BODY_BYTES / PIECE {
                    stream.write_all(&piece).await?;
                    sleep(Duration::from_millis(5)).await;
                }
                stream.write_all(&piece[1..]).await
            }
            Self::Chunks => write_repeated(stream, &chunk, MAX_BODY_BYTES / PIECE).await,
            Self::SmallChunks => {
                let chunks = b"1\r\nx\r\n".repeat(100);
                write_repeated(stream, &chunks, SMALL_CHUNKS / 100).await
            }
            Self::AnnouncedTooLong => {
                write_repeated(stream, &piece, 16 * MAX_BODY_BYTES / PIECE).await
            }
            Self::TooLong => write_repeated(stream, &chunk, 16 * MAX_BODY_BYTES / PIECE).await,
        }
    }
}

async fn write_repeated(stream: &mut TcpStream, bytes: &[u8], count: usize) -> io::Result<()> {
    for _ in 0..count {
        stream.write_all(bytes).await?;
    }
    Ok(())
}

/// Callers that stay connected until this is dropped.
struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects callers that each send `head` and a body, and stay connected.
    async fn send(address: SocketAddr, count: usize, head: &str, sent: Option<Sent>) -> Self {
        let mut callers = JoinSet::new();
        for number in 0..count {
            let head = head.replace("NUMBER", &number.to_string());
            callers.spawn(async move {
                let mut stream = TcpStream::connect(address).await?;
                // The server may close the connection, or read no more.
                let _ = timeout(SENDING_TIME, async {
                    stream.write_all(head.as_bytes()).await?;
                    match sent {
                        Some(sent) => sent.write(&mut stream).await,
                        None => Ok(()),
                    }
                })
                .await;
                Ok::<_, io::Error>(stream)
            });
        }
        let streams = callers.join_all().await;
        // Lets the server read what the last ones have sent.
        sleep(Duration::from_millis(500)).await;
        Self {
            _streams: streams.into_iter().filter_map(Result::ok).collect(),
        }
    }
}

/// Callers that send `head` and a body, and read the answer a byte at a time until this is dropped.
struct SlowReaders {
    _callers: JoinSet<io::Result<()>>,
}

impl SlowReaders {
    async fn open(address: SocketAddr, head: &str) -> Self {
        let mut callers = JoinSet::new();
        for number in 0..CROWD {
            let message = head.replace("NUMBER", &number.to_string());
            callers.spawn(async move {
                let socket = TcpSocket::new_v4()?;
                socket.set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
                let mut stream = socket.connect(address).await?;
                stream.write_all(message.as_bytes()).await?;
                loop {
                    stream.read_u8().await?;
                    sleep(READ_PAUSE).await;
                }
            });
        }
        sleep(SENDING_TIME).await;
        Self { _callers: callers }
    }
}

/// Samples the open descriptors of a process.
struct Descriptors {
    most: Arc<AtomicUsize>,
    sampling: JoinHandle<()>,
}

impl Descriptors {
    fn sample(process: &Process) -> Self {
        let folder = format!("/proc/{}/fd", process.id());
        let most = Arc::new(AtomicUsize::new(0));
        let shared = Arc::clone(&most);
        let sampling = tokio::spawn(async move {
            loop {
                let open = fs::read_dir(&folder).map_or(0, Iterator::count);
                shared.fetch_max(open, Ordering::Relaxed);
                sleep(Duration::from_millis(20)).await;
            }
        });
        Self { most, sampling }
    }

    fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

impl Drop for Descriptors {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}

/// What a process is checked for after a crowd.
struct Limits {
    memory_bytes: usize,
    descriptors: usize,
}

fn check(process: &mut Process, descriptors: &Descriptors, limits: &Limits) {
    assert!(process.is_running(), "the process has ended");
    let peak = process.usage().expect("running").peak_memory_bytes;
    let open = descriptors.most();
    println!(
        "{}: peak {} kB, {open} descriptors",
        process.name(),
        peak / 1024
    );
    assert!(peak <= limits.memory_bytes as u64, "{} MB", peak >> 20);
    assert!(open <= limits.descriptors, "{open} descriptors");
}

struct Bench {
    _site: Site,
    gateway: Gateway,
    engine: Server,
    plain: Server,
    limits: Limits,
}

/// A site with an engine, a plain server and a gateway that is ready, whose limits are lowered.
async fn start(memory_mb: u64, max_descriptors: usize) -> Bench {
    let configuration = Configuration::default()
        .with("/limits/max_body_bytes", json!(MAX_BODY_BYTES))
        .with("/services/0/engine/slots", json!(2 * CROWD));
    let site = Site::new(&configuration).expect("starts");
    let site = site.with_limits(memory_mb, max_descriptors);
    let server = |service| Server::new(&format!("{service}-0"), service).expect("starts");
    let (engine, plain) = (server("engine"), server("plain"));
    for server in [&engine, &plain] {
        site.register(server);
    }
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        _site: site,
        gateway,
        engine,
        plain,
        limits: Limits {
            memory_bytes: memory_mb as usize * 1024 * 1024,
            descriptors: max_descriptors,
        },
    }
}

/// Head of a request to a gateway, without its last line break.
fn gateway_head(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nattempt-id: u-NUMBER\r\ntime-budget: 60000\r\n\
         authorization: Bearer key\r\n"
    )
}

/// Sends an ordinary request until it is answered.
async fn call_ordinary(gateway: &Gateway) -> Result<(), String> {
    let mut number = 0;
    let mut last = String::new();
    let calling = async {
        loop {
            number += 1;
            match gateway
                .call("/status/1", &format!("ordinary-{number}"))
                .await
            {
                Ok(answer) if answer.status() == 200 => return,
                Ok(answer) => last = answer.status().to_string(),
                Err(error) => last = error.to_string(),
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(ORDINARY_TIME, calling).await.map_err(|_| last)
}

async fn finish(mut bench: Bench, descriptors: Descriptors) {
    let ordinary = call_ordinary(&bench.gateway).await;

    check(&mut bench.gateway.process, &descriptors, &bench.limits);
    assert_eq!(ordinary, Ok(()));
}

/// Guards against a gateway whose memory is exhausted by the bodies of many callers, each of which is legal or
/// is refused only at its limit, and by the bookkeeping of their pieces.
#[rstest]
#[case::whole(Sent::Whole, SMALLEST_MEMORY_MB)]
#[case::pieces(Sent::Pieces, SMALLEST_MEMORY_MB)]
#[case::chunks(Sent::Chunks, SMALLEST_MEMORY_MB)]
#[case::small_chunks(Sent::SmallChunks, LOWERED_MEMORY_MB)]
#[case::announced_too_long(Sent::AnnouncedTooLong, SMALLEST_MEMORY_MB)]
#[case::too_long(Sent::TooLong, SMALLEST_MEMORY_MB)]
#[tokio::test]
async fn bodies_of_many_callers_take_bounded_memory_of_a_gateway(
    #[case] sent: Sent,
    #[case] memory_mb: u64,
) {
    let bench = start(memory_mb, MAX_DESCRIPTORS).await;
    let descriptors = Descriptors::sample(&bench.gateway.process);
    let head = format!("{}{}\r\n", gateway_head("/booking/1"), sent.framing());

    let _crowd = Crowd::send(bench.gateway.callers(), CROWD, &head, Some(sent)).await;

    finish(bench, descriptors).await;
}

/// Guards against a gateway whose memory is exhausted by heads that do not end.
#[tokio::test]
async fn heads_without_end_take_bounded_memory_of_a_gateway() {
    let bench = start(LOWERED_MEMORY_MB, LOWERED_DESCRIPTORS).await;
    let descriptors = Descriptors::sample(&bench.gateway.process);
    let line = format!("x-filler: {}\r\n", "x".repeat(1_000));
    let lines = line.repeat(HEAD_BYTES / line.len());
    let head = format!("{}{lines}", gateway_head("/booking/1"));

    let _crowd = Crowd::send(bench.gateway.callers(), HEADS, &head, None).await;

    finish(bench, descriptors).await;
}

/// Guards against a gateway that has no descriptors or memory left because of connections without a byte.
#[tokio::test]
async fn connections_without_a_byte_leave_room_for_an_ordinary_caller() {
    let bench = start(LOWERED_MEMORY_MB, LOWERED_DESCRIPTORS).await;
    let descriptors = Descriptors::sample(&bench.gateway.process);

    let _crowd = Crowd::send(bench.gateway.callers(), SILENT, "", None).await;

    finish(bench, descriptors).await;
}

/// Guards against a gateway that keeps the answers of callers that read one byte at a time, without a bound.
#[rstest]
#[case::whole_answers("/booking/1")]
#[case::streams("/stream/1")]
#[tokio::test]
async fn slow_readers_take_bounded_memory_of_a_gateway(#[case] path: &str) {
    let bench = start(SMALLEST_MEMORY_MB, MAX_DESCRIPTORS).await;
    bench
        .plain
        .set_behaviour(Behaviour::AnswersLong(MAX_BODY_BYTES));
    bench.engine.set_events(200_000);
    let descriptors = Descriptors::sample(&bench.gateway.process);
    let tokens = match path {
        "/stream/1" => "token-usage: 50,20\r\nlength-hint: 10\r\n",
        _ => "",
    };
    let head = format!(
        "{}{tokens}content-length: 2\r\n\r\n{{}}",
        gateway_head(path)
    );

    let _crowd = SlowReaders::open(bench.gateway.callers(), &head).await;
    bench.plain.set_behaviour(Behaviour::Sound);

    finish(bench, descriptors).await;
}

/// Guards against a legal request that is refused although there is no overload: its body, or its head, is as
/// long as the limits allow.
#[tokio::test]
async fn longest_legal_request_is_served_by_the_smallest_gateway() {
    let mut bench = start(SMALLEST_MEMORY_MB, MAX_DESCRIPTORS).await;
    let descriptors = Descriptors::sample(&bench.gateway.process);

    for number in 0..3 {
        let call = request("/booking/1", &format!("longest-{number}"));
        let mut call = call.map(|_| Bytes::from(vec![b'x'; MAX_BODY_BYTES]));
        let filler = "x".repeat(15 * 1024).parse().expect("a header value");
        call.headers_mut().insert("x-filler", filler);
        let answer = http::call(bench.gateway.callers(), call, ORDINARY_TIME).await;
        assert_eq!(answer.expect("answered").status(), 200, "{number}");
    }

    check(&mut bench.gateway.process, &descriptors, &bench.limits);
}

/// A router and a sidecar whose memory for what callers send is lowered.
async fn deploy() -> Deployment {
    let bytes = BUFFERED_BYTES.to_string();
    let mut layout = Layout::new(vec![Service::ordre_app(1)])
        .with_routers(1)
        .with_sidecar_flags(&["--max-kept-bytes", &bytes]);
    layout.router_flags = vec!["--max-buffered-bytes".to_owned(), bytes];
    Deployment::start(&layout).await.expect("starts")
}

/// Sends an ordinary request by way of the router and the sidecar until it is answered.
async fn book_ordinary(deployment: &Deployment) -> bool {
    let generator = Generator::new(&deployment.entries()).with_limit(Duration::from_secs(10));
    let shot = Shot::plain(
        "ordre-app",
        "joiner-example-key",
        Method::POST,
        "/pickups",
        "{}",
    );
    let shot = shot.with_tier("order");
    let booking = async {
        loop {
            let schedule = Schedule::burst(Duration::ZERO, 1);
            let records = generator.run(&schedule, |_| shot.clone()).await;
            if records.iter().all(|record| record.whole) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(ORDINARY_TIME, booking).await.is_ok()
}

/// Limits of a router or sidecar: its memory for what callers send and everything else, and as many
/// descriptors as its listeners may have connections.
const DEPLOYED: Limits = Limits {
    memory_bytes: BUFFERED_BYTES + OVERHEAD_BYTES,
    descriptors: 4_096,
};

fn router_head(path: &str) -> String {
    format!(
        "POST /ordre-app{path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer joiner-example-key\r\n\
         tamarackdale-tier: order\r\ntamarackdale-request-id: u-NUMBER\r\n"
    )
}

/// Guards against a router whose memory is exhausted by the bodies of many callers.
#[rstest]
#[tokio::test]
async fn bodies_of_many_callers_take_bounded_memory_of_a_router(
    #[values(
        Sent::Whole,
        Sent::Pieces,
        Sent::Chunks,
        Sent::SmallChunks,
        Sent::TooLong
    )]
    sent: Sent,
) {
    let mut deployment = deploy().await;
    let router = &deployment.routers[0];
    let descriptors = Descriptors::sample(&router.process);
    let head = format!("{}{}\r\n", router_head("/pickups"), sent.framing());

    let _crowd = Crowd::send(router.callers, CROWD, &head, Some(sent)).await;

    let is_answered = book_ordinary(&deployment).await;
    check(&mut deployment.routers[0].process, &descriptors, &DEPLOYED);
    assert!(is_answered, "no answer");
}

/// Guards against a sidecar whose memory is exhausted by the messages of many senders.
#[rstest]
#[tokio::test]
async fn messages_of_many_senders_take_bounded_memory_of_a_sidecar(
    #[values(
        Sent::Whole,
        Sent::Pieces,
        Sent::Chunks,
        Sent::SmallChunks,
        Sent::TooLong
    )]
    sent: Sent,
) {
    let mut deployment = deploy().await;
    let sidecar = &deployment.sidecars[0];
    let descriptors = Descriptors::sample(&sidecar.process);
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: sidecar\r\n{}\r\n",
        path::ENQUEUE,
        sent.framing()
    );

    let _crowd = Crowd::send(sidecar.peers, CROWD, &head, Some(sent)).await;

    let is_answered = book_ordinary(&deployment).await;
    check(&mut deployment.sidecars[0].process, &descriptors, &DEPLOYED);
    assert!(is_answered, "no answer");
}

/// Guards against heads that do not end, and connections without a byte, at a router and a sidecar.
#[rstest]
#[tokio::test]
async fn heads_without_end_take_bounded_memory_of_a_router_and_a_sidecar(
    #[values(true, false)] is_router: bool,
) {
    let mut deployment = deploy().await;
    let (process, address) = match is_router {
        true => (
            &deployment.routers[0].process,
            deployment.routers[0].callers,
        ),
        false => (
            &deployment.sidecars[0].process,
            deployment.sidecars[0].peers,
        ),
    };
    let descriptors = Descriptors::sample(process);
    let line = format!("x-filler: {}\r\n", "x".repeat(1_000));
    let head = format!(
        "{}{}",
        router_head("/pickups"),
        line.repeat(HEAD_BYTES / line.len())
    );

    let _crowd = Crowd::send(address, HEADS, &head, None).await;

    let is_answered = book_ordinary(&deployment).await;
    let process = match is_router {
        true => &mut deployment.routers[0].process,
        false => &mut deployment.sidecars[0].process,
    };
    check(process, &descriptors, &DEPLOYED);
    assert!(is_answered, "no answer");
}

/// Guards against a router and a sidecar that keep the answers of callers that read one byte at a time.
#[tokio::test]
async fn slow_readers_take_bounded_memory_of_a_router_and_a_sidecar() {
    let mut deployment = deploy().await;
    let router = Descriptors::sample(&deployment.routers[0].process);
    let sidecar = Descriptors::sample(&deployment.sidecars[0].process);
    let path = format!("/pickups?padding={MAX_BODY_BYTES}");
    let head = format!("{}content-length: 2\r\n\r\n{{}}", router_head(&path));

    let _crowd = SlowReaders::open(deployment.routers[0].callers, &head).await;

    let is_answered = book_ordinary(&deployment).await;
    check(&mut deployment.routers[0].process, &router, &DEPLOYED);
    check(&mut deployment.sidecars[0].process, &sidecar, &DEPLOYED);
    assert!(is_answered, "no answer");
}
