//! Sound servers that fall silent for a second or so and go on, against gateways as real processes.

use {
    bytes::Bytes,
    hyper::{Request, header::HeaderValue},
    rstest::rstest,
    serde_json::{Value, json},
    std::{fs, time::Duration},
    tamarackdale_testbed::{
        http,
        platform::{Behaviour, Configuration, Gateway, Server, Site, request},
        store::Outage,
    },
};

/// Timeout of all routes, and time that callers have.
const TIMEOUT_MS: u64 = 10_000;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Events of a stream.
const EVENTS: u64 = 5;

/// A silence that callers bear: they give up after two seconds without an event.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Longest time for a gateway to apply its settings.
const RELOAD_LIMIT: Duration = Duration::from_secs(3);

struct Bench {
    site: Site,
    gateway: Gateway,
    servers: Vec<Server>,
}

fn configuration() -> Configuration {
    (0..4).fold(Configuration::default(), |configuration, number| {
        let pointer = format!("/routes/{number}/timeout_ms");
        configuration.with(&pointer, json!(TIMEOUT_MS))
    })
}

/// A site with some servers of one service and a gateway that is ready.
async fn start(configuration: &Configuration, service: &str, count: usize) -> Bench {
    let site = Site::new(configuration).expect("starts");
    let server = |number| Server::new(&format!("{service}-{number}"), service);
    let servers: Vec<Server> = (0..count)
        .map(|number| server(number).expect("starts"))
        .collect();
    for server in &servers {
        server.set_latency(EVENT_INTERVAL);
        server.set_events(EVENTS);
        site.register(server);
    }
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        site,
        gateway,
        servers,
    }
}

/// A request whose caller has [`TIMEOUT_MS`].
fn patient(path: &str, id: &str) -> Request<Bytes> {
    let mut message = request(path, id);
    let time_left = HeaderValue::from(TIMEOUT_MS);
    message.headers_mut().insert("time-budget", time_left);
    message
}

/// Identifiers of the events in a stream's body.
fn event_ids(body: &Bytes) -> Vec<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

/// The server that runs something, and the others.
fn split(servers: &[Server]) -> (&Server, impl Iterator<Item = &Server>) {
    let is_running = |server: &Server| !server.runs().is_empty();
    let position = servers.iter().position(is_running);
    let position = position.expect("a server runs the request");
    let others = servers.iter().enumerate();
    let others = others.filter(move |(number, _)| *number != position);
    (&servers[position], others.map(|(_, server)| server))
}

/// Guards against a resumable stream that is broken off at the silence of a sound server, because no
/// other server can go on with it.
#[rstest]
#[case::only_server(1, 3, Behaviour::Sound)]
#[case::others_full(3, 8, Behaviour::Full)]
#[case::attempts_used_up(2, 1, Behaviour::Sound)]
#[tokio::test]
async fn resumable_stream_at_a_silent_server_is_whole_where_no_other_takes_it(
    #[case] servers: usize,
    #[case] attempts: u32,
    #[case] others_behaviour: Behaviour,
) {
    let configuration = configuration().with("/routes/1/attempts", json!(attempts));
    let bench = start(&configuration, "engine", servers).await;
    let reply = http::send(bench.gateway.callers(), patient("/resumable/1", "r-1")).await;
    let mut reply = reply.expect("a head");
    let first = reply.chunk().await.expect("an event").unwrap_or_default();

    let (silent, others) = split(&bench.servers);
    others.for_each(|server| server.set_behaviour(others_behaviour));
    silent.fall_silent(SILENCE);
    let rest = reply.collect().await.expect("whole");

    assert_eq!(event_ids(&first), [1]);
    assert_eq!(event_ids(&rest.body), [2, 3, 4, 5]);
}

/// Guards against a resumable stream that is broken off at the silence of a sound server between the
/// head of its response and the first event.
#[tokio::test]
async fn resumable_stream_of_a_server_silent_before_its_first_event_is_whole() {
    let configuration = configuration().with("/routes/1/target_latency_ms", json!(100));
    let bench = start(&configuration, "engine", 1).await;
    let reply = http::send(bench.gateway.callers(), patient("/resumable/1", "r-1")).await;

    bench.servers[0].fall_silent(SILENCE);
    let answer = reply.expect("a head").collect().await.expect("whole");

    assert_eq!(event_ids(&answer.body), [1, 2, 3, 4, 5]);
}

/// Guards against a resumable stream that is broken off at the silence of a sound server because the
/// service's budget for repeats is used up.
#[tokio::test]
async fn resumable_stream_at_a_silent_server_is_whole_without_budget_for_repeats() {
    let bench = start(&configuration(), "engine", 2).await;
    let settings = fs::read_to_string(&bench.gateway.settings).expect("written");
    let settings = settings
        .replace("retry_budget = 0.2", "retry_budget = 0.0")
        .replace("retry_extra = 100", "retry_extra = 0");
    fs::write(&bench.gateway.settings, settings).expect("written");
    let is_reloaded = |log: &Value| log["message"] == "settings reloaded";
    let process = &bench.gateway.process;
    process
        .wait_for_log("new settings", RELOAD_LIMIT, is_reloaded)
        .expect("applied");
    let reply = http::send(bench.gateway.callers(), patient("/resumable/1", "r-1")).await;
    let mut reply = reply.expect("a head");
    let first = reply.chunk().await.expect("an event").unwrap_or_default();

    split(&bench.servers).0.fall_silent(SILENCE);
    let rest = reply.collect().await.expect("whole");

    assert_eq!(event_ids(&first), [1]);
    assert_eq!(event_ids(&rest.body), [2, 3, 4, 5]);
}

/// Guards against a resumable stream that is broken off at the silence of a sound server because the
/// store is down and the configuration is not confirmed any more.
#[tokio::test]
async fn resumable_stream_at_a_silent_server_is_whole_while_the_store_is_down() {
    /// Events of a stream that lasts longer than the last confirmation holds.
    const MANY: u64 = 70;
    let bench = start(&configuration(), "engine", 2).await;
    let set_events = |server: &Server| server.set_events(MANY);
    bench.servers.iter().for_each(set_events);
    let reply = http::send(bench.gateway.callers(), patient("/resumable/1", "r-1")).await;
    let reply = reply.expect("a head");
    bench.site.store.stop(Outage::Hang);
    assert!(bench.gateway.wait_ready(false).await, "still confirmed");

    split(&bench.servers).0.fall_silent(SILENCE);
    let answer = reply.collect().await.expect("whole");

    assert_eq!(event_ids(&answer.body), Vec::from_iter(1..=MANY));
}
