//! Rollouts with gateways as real processes: the traffic of a service moves to a new version, or back.

use {
    rstest::rstest,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tamarackdale_testbed::{
        http,
        platform::{Behaviour, Configuration, Gateway, Server, Site, request},
        store::{Call, Outage},
        wait,
    },
    tokio::{task::JoinHandle, time::sleep},
};

const SERVICE: &str = "plain";
const PATH: &str = "/booking/1";

/// Service with streams that may be resumed, and a path of its route.
const ENGINE: &str = "engine";
const STREAM_PATH: &str = "/resumable/1";
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Ramp of the orders, in seconds.
const RAMP_S: f64 = 8.0;
const RAMP: Duration = Duration::from_secs(8);

/// Pause between two requests: about 60 a second.
const PAUSE: Duration = Duration::from_millis(16);

/// Share and slack that a bad version may get.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// Time after a start of gateways in which the one with the lowest address begins to watch the orders.
const WATCHED: Duration = Duration::from_millis(3_500);

struct Bench {
    service: &'static str,
    site: Site,
    gateways: Vec<Gateway>,
    old: Vec<Server>,
    new: Vec<Server>,
}

/// Requests that are sent all the time, and how they ended.
struct Load {
    stop: Arc<AtomicBool>,
    good: Arc<AtomicUsize>,
    bad: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Bench {
    /// Gateways and servers of two versions, of which only those of `v1` are registered.
    async fn start(gateways: usize, has_guarantee: bool) -> Self {
        Self::start_for(SERVICE, gateways, has_guarantee).await
    }

    async fn start_for(service: &'static str, gateways: usize, has_guarantee: bool) -> Self {
        let site = Site::new(&Configuration::default()).expect("starts");
        let site = match has_guarantee {
            true => site.with_guarantee("rollout"),
            false => site,
        };
        let servers = |version: &str| -> Vec<Server> {
            (0..2)
                .map(|number| {
                    let id = format!("{version}-{number}");
                    Server::new(&id, service)
                        .expect("starts")
                        .with_version(version)
                })
                .collect()
        };
        let (old, new) = (servers("v1"), servers("v2"));
        old.iter().for_each(|server| site.register(server));
        let gateways = site.ready_gateways(gateways).await.expect("starts");
        sleep(WATCHED).await;
        Self {
            service,
            site,
            gateways,
            old,
            new,
        }
    }

    fn order(&self) {
        self.site.order_rollout(self.service, "v2", RAMP_S);
        self.new
            .iter()
            .for_each(|server| self.site.register(server));
    }

    fn drain_old(&self) {
        for server in &self.old {
            self.site.set_state(server, "draining");
        }
    }

    fn break_new(&self) {
        for server in &self.new {
            server.set_behaviour(Behaviour::Fails);
        }
    }

    /// Path of a route of the service.
    fn path(&self) -> &'static str {
        match self.service {
            SERVICE => PATH,
            _ => STREAM_PATH,
        }
    }

    fn load(&self) -> Load {
        let addresses: Vec<SocketAddr> = self.gateways.iter().map(Gateway::callers).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let (good, bad) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let task = tokio::spawn(send_all(
            addresses,
            self.path(),
            Arc::clone(&stop),
            Arc::clone(&good),
            Arc::clone(&bad),
        ));
        Load {
            stop,
            good,
            bad,
            task,
        }
    }

    fn state(&self) -> Option<String> {
        let status = self.site.rollout_status(self.service)?;
        status["state"].as_str().map(str::to_owned)
    }

    async fn wait_for_state(&self, state: &str, limit: Duration) -> bool {
        wait::until(limit, || self.state().as_deref() == Some(state)).await
    }

    fn sent_to_new(&self) -> usize {
        self.new.iter().map(|server| server.arrivals().len()).sum()
    }

    fn sent_to_old(&self, since: Instant) -> usize {
        let arrivals = self.old.iter().flat_map(Server::arrivals);
        arrivals.filter(|at| *at >= since).count()
    }

    fn lowest(&self) -> usize {
        let gateways = self.gateways.iter().enumerate();
        let lowest = gateways.min_by_key(|(_, gateway)| gateway.peers());
        lowest.map_or(0, |(index, _)| index)
    }
}

async fn send_all(
    addresses: Vec<SocketAddr>,
    path: &'static str,
    stop: Arc<AtomicBool>,
    good: Arc<AtomicUsize>,
    bad: Arc<AtomicUsize>,
) {
    let mut calls = Vec::new();
    for (number, address) in addresses.iter().cycle().copied().enumerate() {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let (good, bad) = (Arc::clone(&good), Arc::clone(&bad));
        calls.push(tokio::spawn(async move {
            let call = request(path, &format!("request-{number}"));
            let answer = http::call(address, call, CALL_LIMIT).await;
            match answer.is_ok_and(|answer| answer.status() == 200) {
                true => good.fetch_add(1, Ordering::SeqCst),
                false => bad.fetch_add(1, Ordering::SeqCst),
            };
        }));
        sleep(PAUSE).await;
    }
    for call in calls {
        let _ = call.await;
    }
}

impl Load {
    async fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.task.await;
        (
            self.good.load(Ordering::SeqCst),
            self.bad.load(Ordering::SeqCst),
        )
    }
}

// Guards against a good version that does not get everything in time, or loses requests on the way, and
// against requests to it before the order was read.
#[rstest]
#[case(SERVICE)]
#[case(ENGINE)]
#[tokio::test(flavor = "multi_thread")]
async fn good_version_is_completed_in_time(#[case] service: &'static str) {
    let bench = Bench::start_for(service, 3, true).await;
    let load = bench.load();
    sleep(Duration::from_secs(1)).await;

    bench.order();
    let is_running = bench
        .wait_for_state("running", Duration::from_secs(2))
        .await;
    let is_completed = bench.wait_for_state("completed", RAMP).await;
    let completed = Instant::now();
    sleep(Duration::from_secs(1)).await;
    let (good, bad) = load.end().await;

    assert!(
        is_running && is_completed,
        "{:?}",
        bench.site.rollout_status(service)
    );
    assert_eq!(
        bench.site.rollout_status(service),
        Some(json!({"state": "completed", "to": "v2"}))
    );
    assert_eq!(bench.sent_to_old(completed + Duration::from_millis(100)), 0);
    assert_eq!(bad, 0, "{good} good");
}

// Guards against a bad version that gets more than its part, or anything long after its 50th bad answer.
#[rstest]
#[case(SERVICE)]
#[case(ENGINE)]
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back(#[case] service: &'static str) {
    let bench = Bench::start_for(service, 3, true).await;
    bench.break_new();
    let load = bench.load();
    sleep(Duration::from_secs(1)).await;
    let ordered = Instant::now();

    bench.order();
    let is_rolled_back = bench.wait_for_state("rolled_back", RAMP).await;
    sleep(Duration::from_millis(200)).await;
    let sent = bench.sent_to_new();
    let all = (bench.sent_to_old(ordered) + sent) as f64;
    sleep(Duration::from_secs(2)).await;
    load.end().await;

    let status = bench.site.rollout_status(service).unwrap_or_default();
    assert!(is_rolled_back, "{status}");
    assert!(
        status["reason"]
            .as_str()
            .is_some_and(|reason| reason.contains("bad")),
        "{status}"
    );
    assert!(sent as f64 <= SHARE * all + SLACK, "{sent} of {all}");
    assert_eq!(bench.sent_to_new(), sent, "requests after the rollback");
}

// Guards against an order that nobody answers because it cannot be carried out.
#[rstest]
#[case::unknown_service("other", json!({"service": "other", "to": "v2", "ramp_s": 12}))]
#[case::no_time(SERVICE, json!({"service": SERVICE, "to": "v2", "ramp_s": 0}))]
#[case::wrong_type(SERVICE, json!({"service": SERVICE, "to": ["v2"], "ramp_s": 12}))]
#[case::no_server(SERVICE, json!({"service": SERVICE, "to": 7, "ramp_s": 1.5}))]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_order_is_answered(#[case] service: &str, #[case] order: Value) {
    let bench = Bench::start(1, true).await;

    bench.site.put_rollout_order(service, &order);

    let is_answered = wait::until(Duration::from_secs(4), || {
        let status = bench.site.rollout_status(service);
        status
            .is_some_and(|status| status["state"] == "rolled_back" && status["reason"].is_string())
    });
    assert!(
        is_answered.await,
        "{:?}",
        bench.site.rollout_status(service)
    );
}

// Guards against a rollout that ends with the gateway that writes its status.
#[rstest]
#[case::good(false, "completed")]
#[case::bad(true, "rolled_back")]
#[tokio::test(flavor = "multi_thread")]
async fn rollout_goes_on_without_the_gateway_that_is_killed(
    #[case] is_bad: bool,
    #[case] expected: &str,
) {
    let mut bench = Bench::start(3, true).await;
    let lowest = bench.lowest();
    let mut killed = bench.gateways.swap_remove(lowest);
    let load = bench.load();
    bench.order();
    let is_running = bench
        .wait_for_state("running", Duration::from_secs(2))
        .await;
    sleep(Duration::from_millis(1_500)).await;

    killed.process.kill().expect("ends");
    if is_bad {
        bench.break_new();
    }
    let is_ended = bench
        .wait_for_state(expected, RAMP - Duration::from_millis(1_500))
        .await;
    load.end().await;

    assert!(
        is_running && is_ended,
        "{:?}",
        bench.site.rollout_status(SERVICE)
    );
}

// Guards against an outage of the store that lets a bad version go on, or a good one stay unfinished.
#[rstest]
#[case::good_and_hanging(false, Outage::Hang, "completed")]
#[case::bad_and_refusing(true, Outage::Refuse, "rolled_back")]
#[tokio::test(flavor = "multi_thread")]
async fn rollout_outlasts_an_outage_of_the_store(
    #[case] is_bad: bool,
    #[case] outage: Outage,
    #[case] expected: &str,
) {
    let bench = Bench::start(2, true).await;
    let load = bench.load();
    bench.order();
    let is_running = bench
        .wait_for_state("running", Duration::from_secs(2))
        .await;
    sleep(Duration::from_millis(1_500)).await;

    if is_bad {
        bench.break_new();
    }
    bench.site.store.stop(outage);
    sleep(Duration::from_millis(1_800)).await;
    let sent = bench.sent_to_new();
    let during = bench.state();
    sleep(Duration::from_millis(400)).await;
    let later = bench.sent_to_new();
    bench.site.store.resume();
    let is_ended = bench
        .wait_for_state(expected, RAMP - Duration::from_secs(2))
        .await;
    load.end().await;

    assert!(is_running);
    assert_eq!(during.as_deref(), Some("running"));
    assert!(is_ended, "{:?}", bench.site.rollout_status(SERVICE));
    assert!(!is_bad || later == sent, "{sent} and then {later}");
}

// Guards against calls and statuses where nobody asked for rollouts, and against servers of a new version
// that are held back there.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_happens_without_the_guarantee() {
    let bench = Bench::start(1, false).await;
    let reads = bench.site.store.calls(Call::Read);
    let load = bench.load();

    bench.order();
    sleep(Duration::from_secs(1)).await;
    bench.drain_old();
    sleep(Duration::from_secs(2)).await;
    let (_, bad) = load.end().await;

    assert_eq!(bench.state(), None);
    assert!(bench.sent_to_new() > 40, "{} requests", bench.sent_to_new());
    assert_eq!(bad, 0);
    assert!(bench.site.store.calls(Call::Read) >= reads);
    let reads = bench.site.store.reads_of("");
    assert!(
        !reads.iter().any(|key| key.contains("rollout")),
        "{reads:?}"
    );
}

// Guards against servers of another version that wait for an order though there is none.
#[tokio::test(flavor = "multi_thread")]
async fn version_without_an_order_serves_after_one_check() {
    let bench = Bench::start(2, true).await;
    let load = bench.load();

    bench
        .new
        .iter()
        .for_each(|server| bench.site.register(server));
    sleep(Duration::from_secs(1)).await;
    bench.drain_old();
    sleep(Duration::from_secs(2)).await;
    let (_, bad) = load.end().await;

    assert_eq!(bad, 0);
    assert!(bench.sent_to_new() > 40, "{} requests", bench.sent_to_new());
    assert_eq!(bench.state(), None);
    let reads = bench.site.store.reads_of("op/rollout/plain");
    assert_eq!(reads.len(), 2, "{reads:?}");
}

// Guards against a rolled back version that gets requests from a gateway that starts after the rollback.
#[tokio::test(flavor = "multi_thread")]
async fn rolled_back_version_stays_away_from_a_gateway_that_starts_later() {
    let mut bench = Bench::start(2, true).await;
    bench.break_new();
    let load = bench.load();
    bench.order();
    let is_rolled_back = bench.wait_for_state("rolled_back", RAMP).await;
    load.end().await;

    bench.gateways[0].process.kill().expect("ends");
    bench.gateways[0].restart().expect("starts");
    assert!(bench.gateways[0].wait_ready(true).await, "not ready");
    let sent = bench.sent_to_new();
    let load = bench.load();
    sleep(Duration::from_secs(2)).await;
    load.end().await;

    assert!(is_rolled_back);
    assert_eq!(bench.sent_to_new(), sent);
}

// Guards against a rollout that goes on after its order was withdrawn, and against a status for it.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_order_keeps_the_share_and_gets_no_status() {
    let bench = Bench::start(2, true).await;
    let load = bench.load();
    bench.order();
    let is_running = bench
        .wait_for_state("running", Duration::from_secs(2))
        .await;
    sleep(Duration::from_secs(1)).await;

    bench.site.store.remove("op/rollout/plain");
    sleep(RAMP).await;
    let withdrawn = Instant::now();
    sleep(Duration::from_secs(1)).await;
    let (_, bad) = load.end().await;

    assert!(is_running);
    assert_eq!(bench.state().as_deref(), Some("running"));
    assert!(bench.sent_to_old(withdrawn) > 20);
    assert_eq!(bad, 0);
}

// Guards against a second order that is not followed, and against the version of the first one that goes on.
#[tokio::test(flavor = "multi_thread")]
async fn newest_order_wins() {
    let bench = Bench::start(2, true).await;
    let third = Server::new("v3-0", SERVICE)
        .expect("starts")
        .with_version("v3");
    let load = bench.load();
    bench.order();
    let is_running = bench
        .wait_for_state("running", Duration::from_secs(2))
        .await;
    sleep(Duration::from_secs(1)).await;

    bench.site.order_rollout(SERVICE, "v3", RAMP_S);
    bench.site.register(&third);
    let is_completed = bench.wait_for_state("completed", RAMP).await;
    let sent = bench.sent_to_new();
    sleep(Duration::from_secs(1)).await;
    let (_, bad) = load.end().await;

    let status = bench.site.rollout_status(SERVICE).unwrap_or_default();
    assert!(is_running && is_completed, "{status}");
    assert_eq!(status["to"], "v3");
    assert_eq!(bench.sent_to_new(), sent);
    assert_eq!(bad, 0);
}

// Guards against a gateway that was halted during the verdict and sends to the version that was rolled back.
#[tokio::test(flavor = "multi_thread")]
async fn halted_gateway_sends_nothing_to_a_version_that_was_rolled_back() {
    let bench = Bench::start(3, true).await;
    let load = bench.load();
    bench.order();
    let is_running = bench
        .wait_for_state("running", Duration::from_secs(2))
        .await;
    sleep(Duration::from_secs(1)).await;
    let halted = (bench.lowest() + 1) % bench.gateways.len();

    bench.gateways[halted].process.pause().expect("pauses");
    bench.break_new();
    let is_rolled_back = bench.wait_for_state("rolled_back", RAMP).await;
    sleep(Duration::from_millis(300)).await;
    let sent = bench.sent_to_new();
    bench.gateways[halted]
        .process
        .resume_execution()
        .expect("resumes");
    sleep(Duration::from_secs(2)).await;
    load.end().await;

    assert!(
        is_running && is_rolled_back,
        "{:?}",
        bench.site.rollout_status(SERVICE)
    );
    // Requests that were on their way when the gateway was halted.
    assert!(
        bench.sent_to_new() - sent <= 2,
        "{} after {sent}",
        bench.sent_to_new()
    );
}
