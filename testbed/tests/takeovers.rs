//! Streams that another server is to take over from a silent one, against gateways as real processes.

use {
    bytes::Bytes,
    hyper::{Request, header::HeaderValue},
    rstest::rstest,
    serde_json::{Value, json},
    std::{fs, sync::Mutex, time::Duration},
    tamarackdale_testbed::{
        http,
        platform::{Caller, Configuration, Gateway, Oddities, Oddity, Server, Site, request},
        store::Outage,
        wait,
    },
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// A route whose streams may be resumed.
const PATH: &str = "/resumable/1";

/// Timeout of that route, and time that callers have.
const TIMEOUT_MS: u64 = 20_000;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Events of a stream.
const EVENTS: u64 = 5;

/// Beginning of the identifiers of streams by which servers show their start.
const SHOWS_START: &str = "shows-start-";

/// Longest time for a gateway to learn of a change.
const IN_FORCE: Duration = Duration::from_secs(3);

struct Bench {
    site: Site,
    gateway: Gateway,
    servers: Vec<Server>,
}

/// A site with a gateway that is ready and some servers, of which the first `registered` are in service.
async fn start(configuration: &Configuration, servers: Vec<Server>, registered: usize) -> Bench {
    let pointer = "/routes/1/timeout_ms";
    let configuration = configuration.clone().with(pointer, json!(TIMEOUT_MS));
    let site = Site::new(&configuration).expect("starts");
    for (number, server) in servers.iter().enumerate() {
        server.set_latency(EVENT_INTERVAL);
        server.set_events(EVENTS);
        if number < registered {
            site.register(server);
        }
    }
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        site,
        gateway,
        servers,
    }
}

/// Sets the service's budget for repeats.
fn set_repeats(bench: &Bench, budget: f64, extra: u32) {
    let settings = fs::read_to_string(&bench.gateway.settings).expect("written");
    let settings = settings
        .replace("retry_budget = 0.2", &format!("retry_budget = {budget:.1}"))
        .replace("retry_extra = 100", &format!("retry_extra = {extra}"));
    fs::write(&bench.gateway.settings, settings).expect("written");
    let is_reloaded = |log: &Value| log["message"] == "settings reloaded";
    let process = &bench.gateway.process;
    process
        .wait_for_log("new settings", IN_FORCE, is_reloaded)
        .expect("applied");
}

fn engines(count: usize) -> Vec<Server> {
    let server = |number| Server::new(&format!("engine-{number}"), "engine").expect("starts");
    (0..count).map(server).collect()
}

fn patient(id: &str) -> Request<Bytes> {
    let mut message = request(PATH, id);
    let time_left = HeaderValue::from(TIMEOUT_MS);
    message.headers_mut().insert("time-budget", time_left);
    message
}

fn event_ids(body: &Bytes) -> Vec<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

/// Streams that a server has run, besides those by which it has shown its start.
fn runs(server: &Server) -> usize {
    let runs = server.runs();
    runs.iter()
        .filter(|run| !run.id.starts_with(SHOWS_START))
        .count()
}

/// The server that runs something, and the first of the others.
fn split(servers: &[Server]) -> (&Server, &Server) {
    let running = servers.iter().find(|server| runs(server) > 0);
    let other = servers.iter().find(|server| runs(server) == 0);
    (running.expect("runs"), other.expect("idle"))
}

/// Lets each server show by a stream which start of it runs. A stream goes on at a silent server only while a
/// connection that has shown that is open, which is for two seconds after the stream.
async fn show_starts(bench: &Bench) {
    const MOST_ROUNDS: usize = 20;
    for round in 0..MOST_ROUNDS {
        let calls = (0..bench.servers.len()).map(|number| async move {
            let id = format!("{SHOWS_START}{round}-{number}");
            let answer = bench.gateway.call(PATH, &id).await;
            assert_eq!(answer.expect("whole").status(), 200);
        });
        futures_util::future::join_all(calls).await;
        if bench.servers.iter().all(|server| !server.runs().is_empty()) {
            return;
        }
    }
    panic!("a server has run no stream");
}

/// Guards against a stream that is broken off, although another server has taken it over, because the
/// silent server breaks before the other one has responded.
#[rstest]
#[case::last_attempt(2)]
#[case::attempt_left(3)]
#[tokio::test]
async fn stream_goes_on_at_its_next_server_when_the_silent_one_breaks(#[case] attempts: u32) {
    /// From the first event, after which another server is sought within about a second.
    const HEAD_OF_NEXT: Duration = Duration::from_secs(2);
    const BREAK: Duration = Duration::from_millis(1_500);
    let configuration = Configuration::default().with("/routes/1/attempts", json!(attempts));
    let bench = start(&configuration, engines(2), 2).await;
    show_starts(&bench).await;
    let reply = http::send(bench.gateway.callers(), patient("r-1")).await;
    let mut reply = reply.expect("a head");
    let first = reply.chunk().await.expect("an event").unwrap_or_default();

    let (silent, next) = split(&bench.servers);
    silent.fall_silent(Duration::from_secs(10));
    next.fall_silent(HEAD_OF_NEXT);
    sleep(BREAK).await;
    assert_eq!(runs(next), 1, "not sent to the other server");
    silent.close();
    let rest = reply.collect().await.expect("whole");

    assert_eq!(event_ids(&first), [1]);
    assert_eq!(event_ids(&rest.body), [2, 3, 4, 5]);
}

/// Guards against a stream that goes on at two servers at a time: the rules allow 400 ms.
#[tokio::test]
async fn stream_runs_at_one_server_at_a_time_when_both_are_silent() {
    const LONGEST_OVERLAP: Duration = Duration::from_millis(400);
    let bench = start(&Configuration::default(), engines(2), 2).await;
    show_starts(&bench).await;
    let reply = http::send(bench.gateway.callers(), patient("r-1")).await;
    let mut reply = reply.expect("a head");
    reply.chunk().await.expect("an event");

    let (silent, next) = split(&bench.servers);
    silent.fall_silent(Duration::from_millis(2_500));
    next.fall_silent(Duration::from_millis(2_500));
    let is_sent = || runs(next) > 0;
    assert!(wait::until(Duration::from_secs(2), is_sent).await);
    sleep(LONGEST_OVERLAP).await;
    let working = [silent.working(), next.working()];

    assert_ne!(working, [1, 1], "requests at work");
}

/// Guards against a stream that its caller takes up at another version than the one that began it,
/// because a server of that version was about to take it over.
#[tokio::test]
async fn stream_that_stayed_at_its_server_is_taken_up_at_the_same_version() {
    /// From the call: between the head and the first event.
    const SILENCE_BEGINS: Duration = Duration::from_millis(900);
    const SILENCE: Duration = Duration::from_millis(1_900);
    let configuration = Configuration::default().with("/routes/1/target_latency_ms", json!(100));
    let servers = vec![
        Server::new("engine-0", "engine").expect("starts"),
        Server::new("engine-1", "engine")
            .expect("starts")
            .with_version("v2"),
    ];
    let bench = start(&configuration, servers, 2).await;
    sleep(IN_FORCE).await;
    for server in &bench.servers {
        server.set_latency(Duration::from_millis(600));
    }
    let time_budget = Duration::from_millis(TIMEOUT_MS);
    let mut caller = Caller::new(PATH, "r").with_time_budget(time_budget);

    let fall_silent = async {
        sleep(SILENCE_BEGINS).await;
        let (silent, next) = split(&bench.servers);
        next.set_latency(Duration::from_secs(4));
        silent.fall_silent(SILENCE);
        next
    };
    let address = bench.gateway.callers();
    let (next, ()) = tokio::join!(fall_silent, caller.begin(address, 1));
    let was_sent_to_both = !next.runs().is_empty();
    caller.leave();
    for server in &bench.servers {
        server.set_latency(EVENT_INTERVAL);
    }
    caller.call(address).await;

    assert!(was_sent_to_both, "no other server was sought");
    assert_eq!(caller.versions().len(), 1, "{:?}", caller.events());
}

/// Guards against streams of a silent server that hold the slots of the others without using them.
#[rstest]
#[case::none_silent(Duration::ZERO)]
#[case::silent(Duration::from_secs(12))]
#[tokio::test]
async fn requests_begin_at_once_beside_silent_streams_without_budget_for_repeats(
    #[case] silence: Duration,
) {
    /// Events of streams that last longer than the test.
    const MANY: u64 = 150;
    const STREAMS: usize = 8;
    const SOON: Duration = Duration::from_millis(600);
    let bench = start(&Configuration::default(), engines(2), 1).await;
    set_repeats(&bench, 0.0, 0);
    bench.servers[0].set_events(MANY);
    let mut open = Vec::new();
    for number in 0..STREAMS {
        let reply = http::send(bench.gateway.callers(), patient(&format!("s-{number}"))).await;
        open.push(reply.expect("a head"));
    }
    bench.servers[0].fall_silent(silence);
    bench.site.register(&bench.servers[1]);
    sleep(IN_FORCE).await;
    let mut calls = JoinSet::new();
    for number in 0..STREAMS {
        let address = bench.gateway.callers();
        calls.spawn(async move {
            let call = http::send(address, patient(&format!("n-{number}")));
            let reply = timeout(SOON, call).await;
            reply.is_ok_and(|reply| reply.is_ok_and(|reply| reply.head().status == 200))
        });
    }
    let begun = calls.join_all().await;

    let begun = begun.iter().filter(|has_begun| **has_begun).count();
    assert_eq!(begun, STREAMS, "begun within {SOON:?} at an idle server");
}

/// Guards against a stream that waits for the answer of a second silent server while a third one could
/// take it over.
#[tokio::test]
async fn stream_goes_on_at_a_third_server_when_the_second_one_is_silent_too() {
    const SILENCE: Duration = Duration::from_secs(10);
    /// Twice the patience with a server, and something for a loaded machine.
    const WHOLE_WITHIN: Duration = Duration::from_secs(5);
    let bench = start(&Configuration::default(), engines(3), 3).await;
    show_starts(&bench).await;
    let reply = http::send(bench.gateway.callers(), patient("r-1")).await;
    let mut reply = reply.expect("a head");
    reply.chunk().await.expect("an event");

    let fall_silent = |server: &Server| server.fall_silent(SILENCE);
    bench.servers.iter().for_each(fall_silent);
    let count_begun = || {
        let begun = bench.servers.iter();
        begun.filter(|server| runs(server) > 0).count()
    };
    assert!(wait::until(Duration::from_secs(2), || count_begun() == 2).await);
    split(&bench.servers).1.fall_silent(Duration::ZERO);
    let rest = timeout(WHOLE_WITHIN, reply.collect()).await;

    let rest = rest.expect("in time").expect("whole");
    assert_eq!(event_ids(&rest.body), [2, 3, 4, 5]);
}

fn error(status: u16) -> Oddity {
    Oddity::Error {
        status,
        content_type: "text/plain",
        is_refusal: false,
    }
}

fn refusal(status: u16) -> Oddity {
    Oddity::Error {
        status,
        content_type: "text/plain",
        is_refusal: true,
    }
}

fn error_as_stream(status: u16) -> Oddity {
    Oddity::Error {
        status,
        content_type: "text/event-stream",
        is_refusal: false,
    }
}

const HEAD: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror\n\n";

/// The events of a stream up to `last`, as the servers write them.
fn events(last: u64) -> String {
    let event = |id| format!("id: {id}\ndata: token {id} of v1\n\n");
    (1..=last).map(event).collect()
}

/// Reads an answer to its end. Returns its body, and whether it came to a clean end.
async fn read(mut reply: http::Reply) -> (String, bool) {
    let mut body = Vec::new();
    let is_whole = loop {
        match reply.chunk().await {
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    (String::from_utf8_lossy(&body).into_owned(), is_whole)
}

/// Guards against an error's text, or a part of another run, in the middle of a stream that broke and was
/// to go on elsewhere, and against a stream that ends as if it were complete.
#[rstest]
#[case::fails(error(500))]
#[case::bad_gateway(error(502))]
#[case::unavailable(error(503))]
#[case::refuses(refusal(500))]
#[case::unavailable_and_refuses(refusal(503))]
#[case::bad_request(error(400))]
#[case::not_found(error(404))]
#[case::success_that_is_no_stream(error(200))]
#[case::no_content(error_as_stream(204))]
#[case::partial_content(error_as_stream(206))]
#[case::failure_as_stream(error_as_stream(500))]
#[case::refusal_as_stream(error_as_stream(404))]
#[case::no_event(Oddity::Unframed(2, 1, ""))]
#[case::head_in_place_of_events(Oddity::Unframed(2, 1, HEAD))]
#[case::head_after_an_event(Oddity::Unframed(2, 2, HEAD))]
#[case::text_after_an_event(Oddity::Unframed(2, 2, "internal error\n\n"))]
#[case::event_without_identifier(Oddity::Unframed(2, 2, "data: internal error\n\n"))]
#[case::starts_again(Oddity::Unframed(1, 5, ""))]
#[case::repeats_an_event(Oddity::Unframed(2, 3, "id: 3\ndata: token 3 of v1\n\n"))]
#[tokio::test]
async fn stream_that_another_server_does_not_go_on_with_is_whole_or_broken_off(
    #[case] oddity: Oddity,
    #[values(2, 8)] attempts: u32,
) {
    let configuration = Configuration::default().with("/routes/1/attempts", json!(attempts));
    let bench = start(&configuration, engines(3), 3).await;
    let reply = http::send(bench.gateway.callers(), patient("r-1")).await;
    let mut reply = reply.expect("a head");
    let first = reply.chunk().await.expect("an event").unwrap_or_default();

    let oddities = Oddities::new(Mutex::new(vec![oddity]));
    for server in &bench.servers {
        server.set_oddities(&oddities);
    }
    split(&bench.servers).0.close();
    let (rest, is_whole) = read(reply).await;

    let body = [&String::from_utf8_lossy(&first), rest.as_str()].concat();
    assert!(events(EVENTS).starts_with(&body), "{body}");
    assert!(oddities.lock().expect("sound").is_empty(), "not sent on");
    let is_complete = body == events(EVENTS);
    assert_eq!((is_whole, is_complete), (attempts > 2, attempts > 2));
}

/// Guards against an error's text as the first part of a stream.
#[rstest]
#[case::nothing(Oddity::Unframed(1, 0, ""))]
#[case::head(Oddity::Unframed(1, 0, HEAD))]
#[case::head_after_an_event(Oddity::Unframed(1, 1, HEAD))]
#[case::text(Oddity::Unframed(1, 0, "data: internal error\n\n"))]
#[tokio::test]
async fn stream_whose_server_writes_something_else_into_it_is_whole(#[case] oddity: Oddity) {
    let bench = start(&Configuration::default(), engines(3), 3).await;
    let oddities = Oddities::new(Mutex::new(vec![oddity]));
    for server in &bench.servers {
        server.set_oddities(&oddities);
    }

    let reply = http::send(bench.gateway.callers(), patient("r-1")).await;
    let answer = read(reply.expect("a head")).await;

    assert_eq!(answer, (events(EVENTS), true));
}

/// What a stream that broke lacks to go on.
#[derive(Clone, Copy, Debug)]
enum Lack {
    Confirmation,
    Server,
}

/// Guards against a stream that is broken off because it cannot go on in the very moment at which its
/// server breaks, and against one that goes on although it may not yet.
#[rstest]
#[case::confirmation(Lack::Confirmation)]
#[case::server(Lack::Server)]
#[tokio::test]
async fn stream_that_breaks_waits_for_what_it_lacks(#[case] lack: Lack) {
    /// Longer than the last confirmation holds.
    const MANY: u64 = 70;
    const LACK: Duration = Duration::from_millis(600);
    let registered = if matches!(lack, Lack::Server) { 1 } else { 2 };
    let bench = start(&Configuration::default(), engines(2), registered).await;
    bench
        .servers
        .iter()
        .for_each(|server| server.set_events(MANY));
    let reply = http::send(bench.gateway.callers(), patient("r-1")).await;
    let mut reply = reply.expect("a head");
    let first = reply.chunk().await.expect("an event").unwrap_or_default();
    let reading = tokio::spawn(read(reply));
    if matches!(lack, Lack::Confirmation) {
        bench.site.store.stop(Outage::Hang);
        assert!(bench.gateway.wait_ready(false).await, "still confirmed");
    }

    let (running, next) = split(&bench.servers);
    running.close();
    sleep(LACK).await;
    let runs_without = next.runs().len();
    match lack {
        Lack::Confirmation => bench.site.store.resume(),
        Lack::Server => bench.site.register(next),
    }
    let (rest, is_whole) = reading.await.expect("reads");

    assert_eq!(runs_without, 0, "runs at the next server");
    let body = [&String::from_utf8_lossy(&first), rest.as_str()].concat();
    assert_eq!((body, is_whole), (events(MANY), true));
}

/// Guards against a stream that is broken off because the budget for repeats is used up at the moment at
/// which its server breaks.
#[tokio::test]
async fn stream_that_breaks_waits_for_a_repeat() {
    const MANY: u64 = 70;
    const LACK: Duration = Duration::from_millis(600);
    let bench = start(&Configuration::default(), engines(2), 1).await;
    // Of a budget of less than one repeat a random draw decides.
    set_repeats(&bench, 1.0, 2);
    bench
        .servers
        .iter()
        .for_each(|server| server.set_events(MANY));
    let mut streams = JoinSet::new();
    for id in ["r-1", "r-2"] {
        let reply = http::send(bench.gateway.callers(), patient(id)).await;
        streams.spawn(read(reply.expect("a head")));
    }
    let [running, next] = &bench.servers[..] else {
        panic!("two servers")
    };
    bench.site.register(next);
    sleep(IN_FORCE).await;

    running.close();
    sleep(LACK).await;
    let runs_without = next.runs().len();
    let other = http::send(bench.gateway.callers(), patient("n-1")).await;
    let bodies = streams.join_all().await;

    assert_eq!(runs_without, 1, "runs at the next server");
    assert!(other.is_ok(), "no answer");
    assert_eq!(bodies, vec![(events(MANY), true); 2]);
}

/// Guards against a stream of which its caller gets the head and then nothing: no answer that says what
/// has become of the request.
#[rstest]
#[case::nothing(Oddity::Unframed(1, 0, ""), "/resumable/1")]
#[case::text(Oddity::Unframed(1, 0, "internal error\n\n"), "/resumable/1")]
#[case::not_resumable(Oddity::Unframed(1, 0, ""), "/stream/1")]
#[tokio::test]
async fn stream_that_no_server_begins_is_answered(#[case] oddity: Oddity, #[case] path: &str) {
    let bench = start(&Configuration::default(), engines(3), 3).await;
    let oddities = Oddities::new(Mutex::new(vec![oddity; 3]));
    for server in &bench.servers {
        server.set_oddities(&oddities);
    }

    let reply = http::send(bench.gateway.callers(), request(path, "r-1")).await;
    let reply = reply.expect("a head");
    let status = reply.head().status.as_u16();
    let (_, is_whole) = read(reply).await;

    assert_eq!((status, is_whole), (502, true));
}

/// A stream keeps the head of its first server, so another signature is no fault.
#[tokio::test]
async fn stream_goes_on_at_a_server_with_another_signature() {
    let bench = start(&Configuration::default(), engines(2), 2).await;
    let reply = http::send(bench.gateway.callers(), patient("r-1")).await;
    let mut reply = reply.expect("a head");
    let seal = reply.head().headers["response-seal"].clone();
    let first = reply.chunk().await.expect("an event").unwrap_or_default();

    let (running, next) = split(&bench.servers);
    next.set_oddities(&Oddities::new(Mutex::new(vec![Oddity::OtherSeal])));
    running.close();
    let (rest, is_whole) = read(reply).await;

    assert_eq!(seal, "signature");
    let body = [&String::from_utf8_lossy(&first), rest.as_str()].concat();
    assert_eq!((body, is_whole), (events(EVENTS), true));
}
