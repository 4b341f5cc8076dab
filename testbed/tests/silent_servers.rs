//! Sound servers that fall silent for a second or so and go on, against gateways, routers and
//! sidecars as real processes.

use {
    bytes::Bytes,
    hyper::{Method, Request, header::HeaderValue},
    rstest::rstest,
    serde_json::{Value, json},
    std::{fs, time::Duration},
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{BackendServer, Deployment, Layout, Service},
        engine::{Hardware, Model, Outcome, Resumption},
        http,
        load::{Generator, Record, Schedule, Shot},
        platform::{Behaviour, Configuration, Gateway, Server, Site, request},
        proxy::{Direction, Fault, Proxy, Scope},
        store::Outage,
        wait,
    },
    tokio::{
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

/// Timeout of all routes, and time that callers have.
const TIMEOUT_MS: u64 = 20_000;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Events of a stream.
const EVENTS: u64 = 5;

/// A silence that callers bear: they give up after two seconds without an event.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(22);

/// Longest time for a gateway to apply a configuration.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

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
        .wait_for_log("new settings", RELOAD_LIMIT, is_reloaded)
        .expect("applied");
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
    set_repeats(&bench, 0.0, 0);
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

/// Number of streams of a load.
const STREAMS: usize = 12;

/// Events of a stream that lasts until all streams of a load have begun, and through some silences.
const MANY: u64 = 40;

/// A site with three servers on which [`STREAMS`] streams have begun.
async fn start_load(path: &str, extra_repeats: u32) -> (Bench, JoinSet<Option<Vec<u64>>>) {
    let bench = start(&configuration(), "engine", 3).await;
    if extra_repeats < 100 {
        set_repeats(&bench, 0.2, extra_repeats);
    }
    for server in &bench.servers {
        server.set_events(MANY);
    }
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let message = patient(path, &format!("m-{number}"));
        let reply = http::send(bench.gateway.callers(), message).await;
        let reply = reply.expect("a head");
        streams.spawn(async move {
            let answer = reply.collect().await.ok()?;
            Some(event_ids(&answer.body))
        });
    }
    (bench, streams)
}

async fn count_whole(streams: JoinSet<Option<Vec<u64>>>) -> usize {
    let all: Vec<u64> = (1..=MANY).collect();
    let answers = streams.join_all().await;
    let whole = answers.iter().flatten().filter(|events| **events == all);
    whole.count()
}

/// Guards against streams that are broken off, many at once, when all servers of a service fall silent
/// at the same moment.
#[rstest]
#[case::a_second("/resumable/1", Duration::from_secs(1), 100)]
#[case::longer("/resumable/1", Duration::from_millis(1_800), 100)]
#[case::few_repeats("/resumable/1", SILENCE, 4)]
#[case::not_resumable("/stream/1", Duration::from_millis(1_800), 100)]
#[tokio::test]
async fn streams_are_whole_when_all_servers_fall_silent_at_once(
    #[case] path: &str,
    #[case] silence: Duration,
    #[case] extra_repeats: u32,
) {
    let (bench, streams) = start_load(path, extra_repeats).await;

    let fall_silent = |server: &Server| server.fall_silent(silence);
    bench.servers.iter().for_each(fall_silent);
    let whole = count_whole(streams).await;

    assert_eq!(whole, STREAMS, "whole streams");
}

/// Guards against streams that run out of attempts because all their servers fall silent three times.
#[tokio::test]
async fn streams_are_whole_when_all_servers_fall_silent_three_times() {
    const PAUSE: Duration = Duration::from_millis(500);
    let (bench, streams) = start_load("/resumable/1", 100).await;

    for _ in 0..3 {
        let fall_silent = |server: &Server| server.fall_silent(SILENCE);
        bench.servers.iter().for_each(fall_silent);
        sleep(SILENCE + PAUSE).await;
    }
    let whole = count_whole(streams).await;

    assert_eq!(whole, STREAMS, "whole streams");
}

/// Guards against streams that are broken off when their server falls silent while the others take
/// nothing.
#[tokio::test]
async fn streams_of_one_silent_server_are_whole_while_the_others_are_full() {
    let (bench, streams) = start_load("/resumable/1", 100).await;

    let (silent, others) = split(&bench.servers);
    others.for_each(|server| server.set_behaviour(Behaviour::Full));
    silent.fall_silent(SILENCE);
    let whole = count_whole(streams).await;

    assert_eq!(whole, STREAMS, "whole streams");
}

/// Guards against requests that fail, or run again, because their sound server is silent before it
/// answers.
#[rstest]
#[case::idempotent("/status/1")]
#[case::not_idempotent("/booking/1")]
#[tokio::test]
async fn plain_request_at_a_silent_server_gets_its_whole_answer(#[case] path: &str) {
    const REQUESTS: usize = 6;
    let bench = start(&configuration(), "plain", 1).await;
    let callers = bench.gateway.callers();

    bench.servers[0].fall_silent(SILENCE);
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        let message = patient(path, &format!("p-{number}"));
        calls.spawn(http::call(callers, message, CALL_LIMIT));
    }
    let answers = calls.join_all().await;

    for answer in answers {
        let answer = answer.expect("answered");
        assert_eq!(answer.text(), "plain-0 got 16 bytes");
    }
    assert_eq!(bench.servers[0].runs().len(), REQUESTS);
}

/// A later version of the configuration, in which route 1 or what it needs has changed.
#[derive(Clone, Copy, Debug)]
enum Change {
    None,
    RouteMoved,
    RouteRemoved,
    ServiceRemoved,
    OrganisationChanged,
    KeyRemoved,
    TimeoutLowered,
    AttemptsLowered,
}

impl Change {
    fn apply(self, configuration: Configuration) -> Configuration {
        let organisation = |name: &str, key: &str| {
            json!([{"name": name, "api_keys": [key], "priority": 1, "unit": "tokens",
                    "uncached_tokens": 1, "rate_per_s": 100_000, "burst": 100_000}])
        };
        let mut next = configuration.with("/routes/1/priority", json!(0));
        let value = &mut next.value;
        match self {
            Self::None => {}
            Self::RouteMoved => value["routes"][1]["service"] = json!("plain"),
            Self::RouteRemoved => {
                let routes = value["routes"].as_array_mut().expect("routes");
                routes.remove(1);
            }
            Self::ServiceRemoved => {
                value["routes"][0]["service"] = json!("plain");
                value["routes"][1]["service"] = json!("plain");
                let services = value["services"].as_array_mut().expect("services");
                services.retain(|service| service["name"] != "engine");
            }
            Self::OrganisationChanged => value["tenants"] = organisation("p", "key"),
            Self::KeyRemoved => value["tenants"] = organisation("o", "another"),
            Self::TimeoutLowered => value["routes"][1]["timeout_ms"] = json!(1_000),
            Self::AttemptsLowered => value["routes"][1]["attempts"] = json!(1),
        }
        next
    }
}

/// Puts a configuration and waits until the gateway has applied it.
async fn configure(bench: &Bench, next: &Configuration) {
    bench.site.configure(next);
    let is_applied = |log: &Value| {
        log["message"] == "configuration applied" && log["version"] == next.value["version"]
    };
    let is_in_force = || bench.gateway.process.logs().iter().any(is_applied);
    assert!(
        wait::until(IN_FORCE_LIMIT, is_in_force).await,
        "not applied"
    );
}

/// Guards against a stream that is broken off because the configuration changes and its server falls
/// silent.
#[rstest]
#[case::nothing(Change::None)]
#[case::route_moved(Change::RouteMoved)]
#[case::route_removed(Change::RouteRemoved)]
#[case::service_removed(Change::ServiceRemoved)]
#[case::organisation_changed(Change::OrganisationChanged)]
#[case::key_removed(Change::KeyRemoved)]
#[case::timeout_lowered(Change::TimeoutLowered)]
#[case::attempts_lowered(Change::AttemptsLowered)]
#[tokio::test]
async fn stream_beside_a_change_is_whole_although_its_server_falls_silent(
    #[case] change: Change,
    #[values(Duration::ZERO, Duration::from_millis(1_200))] silence: Duration,
) {
    let bench = start(&configuration(), "engine", 2).await;
    for server in &bench.servers {
        server.set_events(MANY);
    }
    let reply = http::send(bench.gateway.callers(), patient("/resumable/1", "r-1")).await;
    let reply = reply.expect("a head");

    configure(&bench, &change.apply(configuration())).await;
    split(&bench.servers).0.fall_silent(silence);
    let answer = reply.collect().await.expect("whole");

    assert_eq!(event_ids(&answer.body), Vec::from_iter(1..=MANY));
}

/// Guards against requests that wait for a server and get neither an answer nor a refusal because the
/// configuration changes.
#[rstest]
#[case::route_moved(Change::RouteMoved)]
#[case::route_removed(Change::RouteRemoved)]
#[case::service_removed(Change::ServiceRemoved)]
#[case::organisation_changed(Change::OrganisationChanged)]
#[case::key_removed(Change::KeyRemoved)]
#[case::timeout_lowered(Change::TimeoutLowered)]
#[case::attempts_lowered(Change::AttemptsLowered)]
#[tokio::test]
async fn streams_that_wait_beside_a_change_are_whole_or_refused(#[case] change: Change) {
    /// More than the server takes at once.
    const CALLS: usize = 24;
    // Callers may wait for as long as the requests before theirs take.
    let patient_route = configuration().with("/routes/1/target_latency_ms", json!(8_000));
    let bench = start(&patient_route, "engine", 1).await;
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        let message = patient("/resumable/1", &format!("w-{number}"));
        calls.spawn(http::call(bench.gateway.callers(), message, CALL_LIMIT));
    }

    sleep(EVENT_INTERVAL * 2).await;
    configure(&bench, &change.apply(patient_route)).await;
    let begun = bench.servers[0].runs().len();
    let answers = calls.join_all().await;

    assert!(begun < CALLS, "no request waited");
    let all: Vec<u64> = (1..=EVENTS).collect();
    for answer in answers {
        let answer = answer.expect("answered");
        let is_whole = answer.status() == 200 && event_ids(&answer.body) == all;
        assert!(is_whole || answer.status() >= 429, "{answer:?}");
    }
}

/// Guards against a request that is given up, although its connection is sound and all that arrives is
/// acknowledged, because its server does not read the rest of a long body for a while.
#[rstest]
#[case::a_second(Duration::from_secs(1))]
#[case::longer(Duration::from_millis(1_800))]
#[tokio::test]
async fn long_body_at_a_server_that_does_not_read_for_a_while_is_answered(#[case] pause: Duration) {
    /// More than the buffers of a connection hold.
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    let limits = configuration().with("/limits/max_body_bytes", json!(BODY_BYTES));
    let site = Site::new(&limits).expect("starts");
    let server = Server::new("plain-0", "plain").expect("starts");
    let proxy = Proxy::new(server.address()).expect("starts");
    let server = server.with_advertised(proxy.address());
    site.register(&server);
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    let message = patient("/booking/1", "l-1").map(|_| Bytes::from(vec![b'x'; BODY_BYTES]));

    proxy.inject(Scope::All, Direction::ToTarget, Fault::silence());
    let call = tokio::spawn(http::call(gateway.callers(), message, CALL_LIMIT));
    assert!(
        wait::until(CALL_LIMIT, || proxy.open() > 0).await,
        "not sent"
    );
    sleep(pause).await;
    proxy.heal();
    let answer = call.await.expect("ends").expect("answered");

    assert_eq!(answer.text(), format!("plain-0 got {BODY_BYTES} bytes"));
}

/// Requests offered to a router of the own interface.
const OFFERED: usize = 8;

/// One engine behind a sidecar and two routers.
async fn start_engine() -> Deployment {
    let hardware = Hardware::newer().with_speedup(4.0);
    let layout = Layout::new(vec![Service::slibe_llm(&[hardware])]);
    Deployment::start(&layout).await.expect("starts")
}

/// One engine behind a sidecar and two routers, whose responses can be continued like this.
async fn start_engine_with(resumption: Resumption) -> Deployment {
    let hardware = Hardware::newer().with_speedup(4.0);
    let model = Model::new(hardware).with_models(&["sharpening"]);
    let mut service = Service::slibe_llm(&[]);
    let model = model.with_resumption(resumption);
    service.backend_servers.push(BackendServer::Engine(model));
    Deployment::start(&Layout::new(vec![service]))
        .await
        .expect("starts")
}

/// A request to the engine whose answer takes a second or so.
fn advice(index: usize) -> Shot {
    const TOKENS: u32 = 400;
    let input = format!("bevel angle {index}");
    Shot::model(
        "slibe-llm",
        "slibe-example-key",
        "sharpening",
        &input,
        TOKENS,
    )
    .with_tier("workshop")
    .with_key(&format!("key-{index}"))
}

/// A request to the plain service that may not be repeated.
fn order(index: usize) -> Shot {
    Shot::plain(
        "ordre-app",
        "joiner-example-key",
        Method::POST,
        "/pickups",
        "{}",
    )
    .with_tier("order")
    .with_key(&format!("key-{index}"))
}

/// Offers [`OFFERED`] requests at once.
fn offer(deployment: &Deployment, shot: fn(usize) -> Shot) -> JoinHandle<Vec<Record>> {
    let generator = Generator::new(&deployment.entries()).with_limit(CALL_LIMIT);
    let schedule = Schedule::burst(Duration::ZERO, OFFERED);
    tokio::spawn(async move { generator.run(&schedule, shot).await })
}

/// Waits until all requests have tokens.
async fn wait_for_tokens(deployment: &Deployment) {
    let engine = deployment.sidecars[0].engine();
    let have_begun = || {
        let runs = engine.runs();
        runs.len() == OFFERED && runs.iter().all(|run| run.decoded_tokens > 10)
    };
    assert!(wait::until(CALL_LIMIT, have_begun).await, "not begun");
}

fn assert_whole(records: &[Record]) {
    assert_eq!(records.len(), OFFERED);
    let lost: Vec<_> = records.iter().filter(|record| !record.whole).collect();
    assert!(lost.is_empty(), "{} lost: {lost:?}", lost.len());
}

/// Guards against answers that a sidecar or router gives up because a sound engine is silent in their
/// midst.
#[tokio::test]
async fn answers_of_an_engine_that_falls_silent_midway_are_whole() {
    let deployment = start_engine().await;
    let offered = offer(&deployment, advice);
    wait_for_tokens(&deployment).await;

    deployment.sidecars[0].engine().fall_silent(SILENCE);
    let records = offered.await.expect("no panic");

    assert_whole(&records);
}

/// Guards against answers that a sidecar gives up, long before their deadline, because their sound
/// engine is silent for longer than the sidecar takes to seek the rest on another connection, and the
/// rest is not to be had there.
#[rstest]
#[case::no_identifier(Resumption::Unnamed, Duration::from_secs(7))]
#[case::resumption_refused(Resumption::Refused, Duration::from_secs(7))]
#[case::all_connections_silent(Resumption::Offered, Duration::from_secs(18))]
#[tokio::test]
async fn answers_of_an_engine_silent_for_long_midway_are_whole(
    #[case] resumption: Resumption,
    #[case] silence: Duration,
) {
    let deployment = start_engine_with(resumption).await;
    let offered = offer(&deployment, advice);
    wait_for_tokens(&deployment).await;

    deployment.sidecars[0].engine().fall_silent(silence);
    let records = offered.await.expect("no panic");

    assert_whole(&records);
}

/// Guards against a caller who waits without end for a stream whose engine stays silent, and against one
/// whose stream fails before its deadline.
#[rstest]
#[case::no_identifier(Resumption::Unnamed)]
#[case::resumption_refused(Resumption::Refused)]
#[case::all_connections_silent(Resumption::Offered)]
#[tokio::test]
async fn stream_of_an_engine_that_stays_silent_fails_at_its_deadline(
    #[case] resumption: Resumption,
) {
    const DEADLINE: Duration = Duration::from_secs(20);
    const MARGIN: Duration = Duration::from_millis(1_500);
    let deployment = start_engine_with(resumption).await;
    let offered = offer(&deployment, |index| advice(index).with_deadline(DEADLINE));
    wait_for_tokens(&deployment).await;

    deployment.sidecars[0].engine().fall_silent(CALL_LIMIT * 2);
    let records = offered.await.expect("no panic");

    for record in records {
        let taken = record.ended - record.offered;
        assert!(record.broken && !record.whole, "{record:?}");
        assert!(taken >= DEADLINE - MARGIN, "{record:?}");
        assert!(taken <= DEADLINE + MARGIN, "{record:?}");
    }
}

/// Guards against a run that goes on for a caller who has left, because the sidecar waits for a silent
/// engine.
#[tokio::test]
async fn run_at_an_engine_silent_for_long_is_cancelled_soon_after_its_caller_has_left() {
    /// When the caller leaves; the sidecar seeks the rest elsewhere by then.
    const CALLER_PATIENCE: Duration = Duration::from_secs(7);
    /// Makes the answer take longer than that.
    const SLOW_FACTOR: f64 = 20.0;
    let deployment = start_engine_with(Resumption::Offered).await;
    let engine = deployment.sidecars[0].engine();
    engine.set_slow_factor(SLOW_FACTOR);
    let generator = Generator::new(&deployment.entries()).with_limit(CALLER_PATIENCE);
    let schedule = Schedule::burst(Duration::ZERO, 1);
    let offered = tokio::spawn(async move { generator.run(&schedule, advice).await });
    let has_begun = || engine.runs().iter().any(|run| run.decoded_tokens > 2);
    assert!(wait::until(CALL_LIMIT, has_begun).await, "not begun");

    engine.fall_silent(CALL_LIMIT);
    let records = offered.await.expect("no panic");
    let is_cancelled = || engine.runs()[0].outcome == Outcome::Cancelled;
    let soon = wait::until(Duration::from_secs(2), is_cancelled).await;

    assert!(!records[0].whole, "{records:?}");
    assert!(soon, "{:?}", engine.runs());
}

/// Guards against requests that a sidecar or router gives up because a sound engine is silent before it
/// begins to answer.
#[tokio::test]
async fn answers_of_an_engine_that_is_silent_before_its_first_token_are_whole() {
    let deployment = start_engine().await;

    deployment.sidecars[0].engine().fall_silent(SILENCE);
    let records = offer(&deployment, advice).await.expect("no panic");

    assert_whole(&records);
}

/// Guards against requests that a sidecar or router gives up because a sound plain service is silent.
#[rstest]
#[case::shorter(SILENCE)]
#[case::most_of_their_time(Duration::from_secs(8))]
#[tokio::test]
async fn answers_of_a_plain_service_that_is_silent_are_whole(#[case] silence: Duration) {
    let layout = Layout::new(vec![Service::ordre_app(1)]);
    let deployment = Deployment::start(&layout).await.expect("starts");

    deployment.sidecars[0].plain().fall_silent(silence);
    let records = offer(&deployment, order).await.expect("no panic");

    assert_whole(&records);
    assert_eq!(deployment.sidecars[0].plain().calls().len(), OFFERED);
}

/// Guards against answers that are given up because a sidecar or a router stands still for as long as a
/// sound server may.
#[rstest]
#[case::sidecar(true)]
#[case::router(false)]
#[tokio::test]
async fn answers_are_whole_although_a_process_on_their_way_stands_still(#[case] is_sidecar: bool) {
    let deployment = start_engine().await;
    let offered = offer(&deployment, advice);
    wait_for_tokens(&deployment).await;
    let process = match is_sidecar {
        true => &deployment.sidecars[0].process,
        false => &deployment.routers[0].process,
    };

    process.pause().expect("running");
    sleep(SILENCE).await;
    process.resume_execution().expect("paused");
    let records = offered.await.expect("no panic");

    assert_whole(&records);
}

/// Guards against answers that are given up, long before their deadline, because a sidecar or a router
/// stands still for longer than connections are kept, and then goes on.
#[rstest]
#[case::sidecar(true)]
#[case::router(false)]
#[tokio::test]
async fn answers_are_whole_although_a_process_on_their_way_stands_still_for_long(
    #[case] is_sidecar: bool,
) {
    const STANDSTILL: Duration = Duration::from_secs(17);
    let deployment = start_engine().await;
    let offered = offer(&deployment, advice);
    wait_for_tokens(&deployment).await;
    let process = match is_sidecar {
        true => &deployment.sidecars[0].process,
        false => &deployment.routers[0].process,
    };

    process.pause().expect("running");
    sleep(STANDSTILL).await;
    process.resume_execution().expect("paused");
    let records = offered.await.expect("no panic");

    assert_whole(&records);
}

/// Guards against requests that end without an answer, or run after they were refused, because their
/// sidecar stands still before it takes them.
#[tokio::test]
async fn requests_at_a_sidecar_that_stands_still_are_answered_or_refused_and_not_run() {
    let layout = Layout::new(vec![Service::ordre_app(1)]);
    let deployment = Deployment::start(&layout).await.expect("starts");
    let sidecar = &deployment.sidecars[0];

    sidecar.process.pause().expect("running");
    let offered = offer(&deployment, order);
    sleep(SILENCE).await;
    sidecar.process.resume_execution().expect("paused");
    let records = offered.await.expect("no panic");
    // A request that the sidecar took late would run by now.
    sleep(SILENCE).await;

    let calls = sidecar.plain().calls();
    assert_eq!(records.len(), OFFERED);
    for record in &records {
        let runs = calls.iter().filter(|call| call.marker == record.key);
        let expected = usize::from(record.whole);
        let is_refused = record.verdict == Some(Verdict::NotRun);
        assert!(record.whole || is_refused, "{record:?}");
        assert_eq!(runs.count(), expected, "{record:?}");
    }
}
