//! Backend servers of two software versions in one service, against gateways as real processes: a
//! stream goes on only at the version that began it.

use {
    futures_util::future::join_all,
    rstest::rstest,
    serde_json::json,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    tamarackdale_testbed::{
        platform::{Behaviour, Caller, Configuration, CrashPoint, Gateway, Server, Site},
        proxy::{Direction, Fault, Proxy, Scope},
        store::Outage,
        wait,
    },
    tokio::time::{sleep, timeout},
};

/// A route whose streams may be resumed.
const PATH: &str = "/resumable/1";

/// Longest time of a request on that route.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Events of a stream.
const EVENTS: u64 = 12;

/// Pause between two events of a stream that is to last for a while.
const SLOW: Duration = Duration::from_millis(400);

/// Pause between two events of a stream that is to end soon.
const QUICK: Duration = Duration::from_millis(20);

/// Time until a change among the servers must be known to all gateways: the convergence of the site's
/// settings, with something for a loaded machine.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Callers whose streams break at the same time: as many as the platform's rules count from.
const CALLERS: usize = 12;

/// Time for which a server that is silent stays so.
const SILENCE: Duration = Duration::from_secs(1);

/// Times that a caller takes its stream up before it gives up.
const TAKE_UPS: usize = 4;

/// Pause of a caller before it comes back after a refusal.
const PAUSE: Duration = Duration::from_millis(400);

struct Bench {
    site: Site,
    gateways: Vec<Gateway>,
    old: Vec<Server>,
    new: Vec<Server>,
}

impl Bench {
    /// A site with gateways and servers of two versions, of which only the first one of `v1` is in
    /// service.
    async fn start(gateways: usize, old: usize, new: usize) -> Self {
        let configuration = Configuration::default()
            .with("/routes/1/timeout_ms", json!(TIMEOUT.as_millis() as u64));
        let site = Site::new(&configuration).expect("starts");
        let (old, new) = (servers("v1", old), servers("v2", new));
        site.register(&old[0]);
        let gateways = site.ready_gateways(gateways).await.expect("starts");
        Self {
            site,
            gateways,
            old,
            new,
        }
    }

    /// Like [`Self::start`], with servers of both versions in service.
    async fn start_in_service(gateways: usize, of_each: usize) -> Self {
        let bench = Self::start(gateways, of_each, of_each).await;
        bench.register(bench.servers());
        sleep(IN_FORCE).await;
        bench
    }

    fn register<'a>(&self, servers: impl IntoIterator<Item = &'a Server>) {
        for server in servers {
            self.site.register(server);
        }
    }

    fn kill_gateways(&mut self) {
        for gateway in &mut self.gateways {
            gateway.process.kill().expect("ends");
        }
    }

    fn servers(&self) -> impl Iterator<Item = &Server> {
        self.old.iter().chain(&self.new)
    }

    fn set_latency(&self, latency: Duration) {
        self.servers()
            .for_each(|server| server.set_latency(latency));
    }

    fn callers_address(&self, number: usize) -> SocketAddr {
        self.gateways[number % self.gateways.len()].callers()
    }

    /// Callers whose streams have each brought `events` events and are still open.
    async fn begin(&self, count: usize, events: usize) -> Vec<Caller> {
        let callers = (0..count).map(|number| async move {
            let mut caller = caller(number);
            caller.begin(self.callers_address(number), events).await;
            caller
        });
        join_all(callers).await
    }

    /// Lets streams begin at all gateways, one after the other, without end.
    async fn keep_beginning(&self) {
        for number in 0.. {
            let mut caller = Caller::new(PATH, &format!("other-{number}"));
            // One that is not answered at once is left.
            let begin = caller.begin(self.callers_address(number), 1);
            let _ = timeout(QUICK, begin).await;
        }
    }

    /// Ends all gateways at once, without notice, and starts them again.
    async fn kill_all_gateways(&mut self) {
        self.kill_gateways();
        self.start_gateways_again().await;
    }

    async fn start_gateways_again(&mut self) {
        for gateway in &mut self.gateways {
            gateway.restart().expect("starts");
        }
        for gateway in &self.gateways {
            assert!(gateway.wait_ready(true).await, "not ready");
        }
    }

    /// Lets each caller take its stream up, at gateways `shift` away from its first one, until it is
    /// served or gives up.
    async fn take_up(&self, callers: &mut [Caller], shift: usize) {
        let calls = callers
            .iter_mut()
            .enumerate()
            .map(|(number, caller)| async move {
                for attempt in 0..TAKE_UPS {
                    let gateway = self.callers_address(number + shift + attempt);
                    if caller.call(gateway).await {
                        return;
                    }
                    sleep(PAUSE).await;
                }
            });
        join_all(calls).await;
    }
}

/// Lets each caller call a gateway once. Returns which of them are served.
async fn call_all(callers: &mut [Caller], gateway: SocketAddr) -> Vec<bool> {
    join_all(callers.iter_mut().map(|caller| caller.call(gateway))).await
}

fn servers(version: &str, count: usize) -> Vec<Server> {
    let server = |number| {
        let id = format!("{version}-{number}");
        let server = Server::new(&id, "engine").expect("starts");
        let server = server.with_version(version);
        server.set_events(EVENTS);
        server.set_latency(SLOW);
        server
    };
    (0..count).map(server).collect()
}

/// A caller with as much time as the route.
fn caller(number: usize) -> Caller {
    Caller::new(PATH, &format!("c{number}")).with_time_budget(TIMEOUT)
}

fn assert_not_joined(callers: &[Caller]) {
    let joined = callers.iter().filter(|caller| caller.versions().len() > 1);
    let joined: Vec<_> = joined.map(Caller::events).collect();
    assert!(
        joined.is_empty(),
        "{} of {} streams are joined from two versions, such as {:?}",
        joined.len(),
        callers.len(),
        joined[0]
    );
}

fn whole(callers: &[Caller]) -> usize {
    let whole = |caller: &&Caller| caller.has_whole_stream(EVENTS);
    callers.iter().filter(whole).count()
}

/// Streams of which at least one event has arrived.
fn begun(callers: &[Caller]) -> usize {
    let begun = |caller: &&Caller| caller.origin().is_some();
    callers.iter().filter(begun).count()
}

/// Runs that went on with a stream, at servers of one version.
fn resumed_runs(servers: &[Server]) -> usize {
    let runs = servers.iter().flat_map(Server::runs);
    runs.filter(|run| run.resumed_after.is_some()).count()
}

/// Guards against an answer that the gateway joins from two versions after a server has broken off.
#[tokio::test]
async fn stream_goes_on_only_at_the_version_that_began_it() {
    let bench = Bench::start(1, 2, 4).await;
    bench.set_latency(QUICK);
    bench.old[0].set_behaviour(Behaviour::BreaksOff);
    bench.old[0].set_latency(SLOW);
    let mut callers = bench.begin(8, 1).await;

    bench.register(bench.servers().skip(1));
    join_all(callers.iter_mut().map(Caller::finish)).await;

    assert_not_joined(&callers);
    assert_eq!(resumed_runs(&bench.new), 0, "runs at the other version");
    assert_eq!(whole(&callers), callers.len());
}

/// Guards against a stream that goes on at another version, or looks complete, when no server of its
/// own version is left.
#[tokio::test]
async fn stream_breaks_visibly_when_no_server_of_its_version_is_left() {
    let bench = Bench::start(1, 1, 4).await;
    bench.set_latency(QUICK);
    bench.old[0].set_behaviour(Behaviour::BreaksOff);
    bench.old[0].set_latency(SLOW);
    let mut callers = bench.begin(8, 1).await;

    bench.register(&bench.new);
    join_all(callers.iter_mut().map(Caller::finish)).await;

    assert_not_joined(&callers);
    assert_eq!(resumed_runs(&bench.new), 0, "runs at the other version");
    for caller in &callers {
        let tried = &caller.tries()[0];
        assert_eq!((tried.status(), tried.is_whole), (Some(200), false));
    }
}

/// Guards against requests that are bound to a version before a server of it has written anything.
#[rstest]
#[case::loses_answers(Behaviour::LosesAnswers, None)]
#[case::crashes_before_the_first_event(Behaviour::Sound, Some(CrashPoint::AfterHead))]
#[tokio::test]
async fn request_without_an_event_yet_moves_to_any_version(
    #[case] behaviour: Behaviour,
    #[case] crash: Option<CrashPoint>,
) {
    let bench = Bench::start(1, 1, 2).await;
    let old = &bench.old[0];
    old.set_behaviour(behaviour);
    old.set_latency(SLOW * 3);
    if let Some(point) = crash {
        old.set_deadly("a request's body", point);
    }
    let mut caller = caller(0);
    let register = async {
        assert!(
            wait::until(IN_FORCE, || old.working() > 0).await,
            "asked nothing"
        );
        bench.register(&bench.new);
    };

    tokio::join!(caller.call(bench.callers_address(0)), register);

    assert!(caller.has_whole_stream(EVENTS), "{:?}", caller.tries());
    assert_eq!(caller.versions(), BTreeSet::from(["v2".to_owned()]));
}

/// Guards against a take-up that is served by another version, beside no fault at all.
#[rstest]
#[case::same_gateway(0)]
#[case::another_gateway(1)]
#[tokio::test]
async fn stream_that_its_caller_takes_up_goes_on_at_its_version(#[case] shift: usize) {
    let bench = Bench::start_in_service(2, 2).await;
    let mut callers = bench.begin(CALLERS, 2).await;
    assert_eq!(begun(&callers), CALLERS);

    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, shift).await;

    assert_not_joined(&callers);
    assert_eq!(whole(&callers), CALLERS);
}

/// Guards against texts of two versions joined after all gateways have ended at once, and against
/// gateways that then refuse the streams that they could go on with.
#[tokio::test]
async fn streams_go_on_at_their_version_after_all_gateways_were_killed() {
    let mut bench = Bench::start_in_service(3, 2).await;
    let mut callers = bench.begin(CALLERS, 3).await;
    assert_eq!(begun(&callers), CALLERS);

    bench.kill_all_gateways().await;
    join_all(callers.iter_mut().map(Caller::finish)).await;
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 1).await;

    assert_not_joined(&callers);
    let whole = whole(&callers);
    assert!(whole * 2 >= CALLERS, "{whole} of {CALLERS} go on");
}

/// How the old version's servers leave.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Removed,
    Draining,
}

/// Guards against take-ups that run at the new version because the old one has left.
#[rstest]
#[case::gateways_live(false, Departure::Removed)]
#[case::gateways_killed(true, Departure::Removed)]
#[case::gateways_killed_while_it_drains(true, Departure::Draining)]
#[tokio::test]
async fn take_up_is_refused_when_its_version_has_left(
    #[case] kills: bool,
    #[case] departure: Departure,
) {
    let mut bench = Bench::start(2, 2, 2).await;
    bench.register(&bench.old);
    sleep(IN_FORCE).await;
    let mut callers = bench.begin(CALLERS, 2).await;
    assert_eq!(begun(&callers), CALLERS);
    bench.register(&bench.new);
    sleep(IN_FORCE / 2).await;

    if kills {
        bench.kill_gateways();
    }
    for server in &bench.old {
        match departure {
            Departure::Removed => bench.site.store.remove(&format!("servers/{}", server.id())),
            Departure::Draining => bench.site.set_state(server, "draining"),
        }
    }
    if kills {
        bench.start_gateways_again().await;
    }
    sleep(IN_FORCE).await;
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    let served_before = resumed_runs(&bench.old);
    bench.take_up(&mut callers, 0).await;

    assert_not_joined(&callers);
    assert_eq!(resumed_runs(&bench.new), 0, "runs at the new version");
    assert_eq!(
        resumed_runs(&bench.old),
        served_before,
        "runs at servers that left"
    );
    for later in callers.iter().flat_map(|caller| &caller.tries()[1..]) {
        let is_success = later
            .status()
            .is_some_and(|status| (200..300).contains(&status));
        assert!(!is_success, "{later:?}");
    }
}

/// Guards against gateways that take the only version they see for the only one there has been: all
/// servers were replaced while no gateway was there.
#[tokio::test]
async fn take_up_is_refused_when_its_version_was_replaced_while_no_gateway_was_there() {
    let mut bench = Bench::start(2, 2, 2).await;
    bench.register(&bench.old);
    sleep(IN_FORCE).await;
    let mut callers = bench.begin(CALLERS, 2).await;
    assert_eq!(begun(&callers), CALLERS);

    bench.kill_gateways();
    for server in &bench.old {
        let key = format!("servers/{}", server.id());
        bench.site.store.remove(&key);
    }
    bench.register(&bench.new);
    bench.start_gateways_again().await;
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 0).await;

    assert_not_joined(&callers);
    assert_eq!(resumed_runs(&bench.new), 0, "runs at the new version");
}

/// Guards against take-ups that are refused although their service has only one version, because
/// gateways that have just started know nothing of before.
#[tokio::test]
async fn streams_of_the_only_version_go_on_after_all_gateways_were_killed() {
    let mut bench = Bench::start(3, 3, 0).await;
    bench.register(&bench.old);
    sleep(IN_FORCE).await;
    let mut callers = bench.begin(CALLERS, 2).await;
    assert_eq!(begun(&callers), CALLERS);

    bench.kill_all_gateways().await;
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 1).await;

    let whole = whole(&callers);
    assert!(whole * 2 >= CALLERS, "{whole} of {CALLERS} go on");
}

/// Guards against take-ups and new streams that are refused because gateways that have all just started
/// have not heard each other yet, of an organisation that uses a good part of its quota.
#[tokio::test]
async fn streams_go_on_within_the_quota_right_after_all_gateways_were_killed() {
    /// Units a second; a stream costs 70.
    const RATE: u32 = 1_000;
    /// Streams before the end of the gateways: more than half of the quota of eight seconds.
    const BEFORE: usize = 90;
    /// Time between the starts of two gateways.
    const STAGGER: Duration = Duration::from_millis(100);
    /// Time in which the use is saved.
    const SAVED: Duration = Duration::from_millis(2_000);
    let mut bench = Bench::start(4, 3, 0).await;
    bench.register(&bench.old);
    let configuration = Configuration::default()
        .with("/routes/1/timeout_ms", json!(TIMEOUT.as_millis() as u64))
        .with("/tenants/0/rate_per_s", json!(RATE))
        .with("/tenants/0/burst", json!(RATE));
    bench.site.configure(&configuration);
    sleep(IN_FORCE).await;
    bench.set_latency(Duration::from_millis(1));
    for number in 0..BEFORE {
        let mut caller = Caller::new(PATH, &format!("before-{number}"));
        assert!(caller.call(bench.callers_address(number)).await, "served");
    }
    bench.set_latency(SLOW);
    let mut callers = bench.begin(CALLERS, 2).await;
    assert_eq!(begun(&callers), CALLERS);
    sleep(SAVED).await;

    bench.kill_gateways();
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    let mut new: Vec<Caller> = (CALLERS..CALLERS * 2).map(caller).collect();
    let of_each = CALLERS / bench.gateways.len();
    let starts = bench.gateways.iter_mut().enumerate();
    let callers = callers.chunks_mut(of_each).zip(new.chunks_mut(of_each));
    let served = join_all(starts.zip(callers).map(
        |((number, gateway), (callers, new))| async move {
            sleep(STAGGER * number as u32).await;
            gateway.restart().expect("starts");
            assert!(gateway.wait_ready(true).await, "not ready");
            let address = gateway.callers();
            tokio::join!(call_all(callers, address), call_all(new, address))
        },
    ));
    let (taken_up, begun): (Vec<_>, Vec<_>) = served.await.into_iter().unzip();

    let count = |served: Vec<Vec<bool>>| served.concat().into_iter().filter(|is| *is).count();
    let (taken_up, begun) = (count(taken_up), count(begun));
    assert!(
        taken_up * 4 >= CALLERS * 3 && begun * 2 >= CALLERS,
        "{taken_up} taken up, {begun} begun of {CALLERS} each"
    );
}

/// Guards against take-ups that the gateways that are left refuse by quota when the others are killed, of an
/// organisation that uses less than half of it.
#[tokio::test]
async fn streams_go_on_within_the_quota_when_most_gateways_are_killed() {
    /// Units a second; a stream costs 70.
    const RATE: u32 = 1_000;
    /// Streams before the loss.
    const BEFORE: usize = 40;
    const GATEWAYS: usize = 4;
    let mut bench = Bench::start(GATEWAYS, 3, 0).await;
    bench.register(&bench.old);
    let configuration = Configuration::default()
        .with("/routes/1/timeout_ms", json!(TIMEOUT.as_millis() as u64))
        .with("/tenants/0/rate_per_s", json!(RATE))
        .with("/tenants/0/burst", json!(RATE));
    bench.site.configure(&configuration);
    sleep(IN_FORCE).await;
    bench.set_latency(Duration::from_millis(1));
    for number in 0..BEFORE {
        let mut caller = Caller::new(PATH, &format!("before-{number}"));
        assert!(caller.call(bench.callers_address(number)).await, "served");
    }
    bench.set_latency(SLOW);
    let callers = bench.begin(CALLERS, 2).await;
    assert_eq!(begun(&callers), CALLERS);
    sleep(QUICK).await;

    let left = GATEWAYS - 1;
    for gateway in &mut bench.gateways[..left] {
        gateway.process.kill().expect("ends");
    }
    bench.set_latency(QUICK);
    let broken = callers.into_iter().enumerate();
    let broken = broken.filter(|(number, _)| number % GATEWAYS != left);
    let mut broken: Vec<Caller> = broken.map(|(_, caller)| caller).collect();
    broken.iter_mut().for_each(Caller::leave);
    let address = bench.gateways[left].callers();
    let taken_up = call_all(&mut broken, address).await;

    let count = taken_up.iter().filter(|is_served| **is_served).count();
    assert!(count * 4 >= broken.len() * 3, "{count} of {}", broken.len());
}

/// Guards against a version that is forgotten after the first take-up: each one names the attempt that
/// brought the first event, whoever served the ones between.
#[tokio::test]
async fn stream_taken_up_several_times_stays_at_its_version() {
    let bench = Bench::start_in_service(3, 2).await;
    let mut callers = bench.begin(CALLERS, 2).await;

    for shift in 1..=3 {
        let calls = callers.iter_mut().enumerate().map(|(number, caller)| {
            let gateway = bench.callers_address(number + shift);
            caller.begin(gateway, 2)
        });
        join_all(calls).await;
    }
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 0).await;

    assert_not_joined(&callers);
    assert_eq!(whole(&callers), CALLERS);
    let origins = callers.iter().filter_map(Caller::origin);
    let resumed = bench.servers().flat_map(Server::runs);
    let resumed = resumed.filter_map(|run| run.resumes);
    let named: Vec<String> = resumed.collect();
    assert!(
        origins
            .into_iter()
            .all(|origin| named.iter().any(|id| id == origin))
    );
}

/// Guards against the version of a server that wrote no event of a stream, but was the first to be
/// asked: another version began the stream.
#[tokio::test]
async fn stream_that_moved_before_its_first_event_is_taken_up_where_it_began() {
    let bench = Bench::start(2, 1, 3).await;
    bench.old[0].set_behaviour(Behaviour::LosesAnswers);
    bench.old[0].set_latency(SLOW * 3);
    let mut callers: Vec<Caller> = (0..CALLERS).map(caller).collect();
    let calls = callers.iter_mut().enumerate().map(|(number, caller)| {
        let gateway = bench.callers_address(number);
        caller.begin(gateway, 2)
    });
    let register = async {
        let old = &bench.old[0];
        assert!(
            wait::until(IN_FORCE, || old.working() > 0).await,
            "asked nothing"
        );
        bench.register(&bench.new);
    };
    tokio::join!(join_all(calls), register);

    callers.iter_mut().for_each(Caller::leave);
    bench.old[0].set_behaviour(Behaviour::Sound);
    bench.set_latency(QUICK);
    sleep(IN_FORCE).await;
    bench.take_up(&mut callers, 1).await;

    assert_eq!(begun(&callers), CALLERS);
    assert_not_joined(&callers);
    assert_eq!(whole(&callers), CALLERS);
}

/// Guards against the version of a server that was asked first and wrote nothing, which the store may
/// still hold when the gateway that knows better has ended.
#[tokio::test]
async fn stream_that_moved_before_its_first_event_is_not_taken_up_where_it_was_asked_first() {
    const STREAMS: usize = 24;
    let mut bench = Bench::start(3, 1, 2).await;
    bench.register(&bench.new);
    sleep(IN_FORCE).await;
    bench.set_latency(QUICK);
    bench.old[0].set_behaviour(Behaviour::LosesAnswers);
    bench.old[0].set_latency(SLOW * 3);

    // Other streams begin all the while, so that the gateways have something to save at any time.
    let mut callers = tokio::select! {
        callers = bench.begin(STREAMS, 1) => callers,
        () = bench.keep_beginning() => unreachable!("that does not end"),
    };
    let asked_first = bench.old[0].runs();
    let asked_first = asked_first.iter().filter(|run| run.id.starts_with('c'));
    assert!(asked_first.count() >= 4, "few streams were to move");
    bench.kill_all_gateways().await;
    join_all(callers.iter_mut().map(Caller::finish)).await;
    bench.old[0].set_behaviour(Behaviour::Sound);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 1).await;

    assert_not_joined(&callers);
}

/// Guards against a stream that its gateway had moved to another server, and that its caller then takes
/// up at another version.
#[rstest]
#[case::gateways_live(false)]
#[case::gateways_killed(true)]
#[tokio::test]
async fn stream_that_had_moved_is_taken_up_at_its_version(#[case] kills: bool) {
    let mut bench = Bench::start(2, 3, 3).await;
    bench.old[0].set_behaviour(Behaviour::BreaksOff);
    let mut callers = bench.begin(CALLERS, 1).await;
    bench.register(&bench.old[1..]);
    let moved = wait::until(IN_FORCE * 2, || resumed_runs(&bench.old) >= CALLERS).await;
    assert!(moved, "{} of {CALLERS} moved", resumed_runs(&bench.old));
    bench.register(&bench.new);
    sleep(IN_FORCE / 3).await;

    if kills {
        bench.kill_all_gateways().await;
    }
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 1).await;

    assert_not_joined(&callers);
    let whole = whole(&callers);
    assert!(whole * 2 >= CALLERS, "{whole} of {CALLERS} go on");
}

/// Guards against gateways that end before the version of a stream has been kept anywhere else.
#[rstest]
#[case::at_once(0)]
#[case::soon(30)]
#[case::later(100)]
#[tokio::test]
async fn gateways_that_end_just_after_the_first_event_leave_its_version_known(
    #[case] pause_ms: u64,
) {
    let mut bench = Bench::start_in_service(3, 2).await;
    let mut callers = bench.begin(CALLERS, 1).await;
    assert_eq!(begun(&callers), CALLERS);

    sleep(Duration::from_millis(pause_ms)).await;
    bench.kill_all_gateways().await;
    join_all(callers.iter_mut().map(Caller::finish)).await;
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 1).await;

    assert_not_joined(&callers);
    let whole = whole(&callers);
    assert!(whole * 2 >= CALLERS, "{whole} of {CALLERS} go on");
}

/// Guards against streams whose version nobody keeps because there was only one when they began, when
/// another one comes and all gateways end soon after.
#[rstest]
#[case::at_once(Duration::from_millis(100), false)]
#[case::when_all_know_of_it(IN_FORCE, true)]
#[tokio::test]
async fn streams_that_began_before_a_release_go_on_at_their_version(
    #[case] pause: Duration,
    #[case] is_in_force: bool,
) {
    let mut bench = Bench::start(3, 2, 2).await;
    bench.register(&bench.old);
    sleep(IN_FORCE).await;
    let mut callers = bench.begin(CALLERS, 1).await;
    assert_eq!(begun(&callers), CALLERS);

    bench.register(&bench.new);
    sleep(pause).await;
    bench.kill_all_gateways().await;
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 1).await;

    assert_not_joined(&callers);
    let whole = whole(&callers);
    let is_enough = whole * 2 >= CALLERS || !is_in_force;
    assert!(is_enough, "{whole} of {CALLERS} go on");
}

/// How the store is in trouble.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Slow(Duration),
    Away(Outage),
}

/// Guards against streams whose version nobody knows because the store was in trouble when they began,
/// and against streams that do not begin for that reason.
#[rstest]
#[case::slow(Trouble::Slow(Duration::from_millis(400)))]
#[case::refuses(Trouble::Away(Outage::Refuse))]
#[case::hangs(Trouble::Away(Outage::Hang))]
#[tokio::test]
async fn many_streams_that_begin_beside_a_store_in_trouble_go_on_at_their_version(
    #[case] trouble: Trouble,
) {
    const STREAMS: usize = 40;
    const TROUBLE: Duration = Duration::from_millis(700);
    let mut bench = Bench::start_in_service(3, 4).await;
    let store = &bench.site.store;
    match trouble {
        Trouble::Slow(delay) => store.set_delay(delay),
        Trouble::Away(outage) => store.stop(outage),
    }
    let over = async {
        sleep(TROUBLE).await;
        if let Trouble::Away(_) = trouble {
            store.resume();
        }
    };

    let (mut callers, ()) = tokio::join!(bench.begin(STREAMS, 1), over);
    sleep(TROUBLE).await;
    bench.kill_gateways();
    bench.site.store.set_delay(Duration::ZERO);
    bench.start_gateways_again().await;
    join_all(callers.iter_mut().map(Caller::finish)).await;
    let begun = begun(&callers);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 1).await;

    assert_not_joined(&callers);
    assert!(begun * 2 >= STREAMS, "{begun} of {STREAMS} begin");
    let whole = whole(&callers);
    assert!(whole * 2 >= begun, "{whole} of {begun} go on");
}

/// Callers whose streams have each brought an event at one gateway and are still open.
async fn begin_at(bench: &Bench, gateway: usize) -> Vec<Caller> {
    let mut callers: Vec<Caller> = (0..CALLERS).map(caller).collect();
    let address = bench.callers_address(gateway);
    join_all(callers.iter_mut().map(|caller| caller.begin(address, 1))).await;
    assert_eq!(begun(&callers), CALLERS);
    callers
}

/// Lets each caller take its stream up at one gateway, until it is served or gives up.
async fn take_up_at(bench: &Bench, callers: &mut [Caller], gateway: usize) {
    let address = bench.callers_address(gateway);
    let calls = callers.iter_mut().map(|caller| async move {
        for _ in 0..TAKE_UPS {
            if caller.call(address).await {
                return;
            }
            sleep(PAUSE).await;
        }
    });
    join_all(calls).await;
}

/// Status and text of what the first caller's take-ups brought.
fn answers(callers: &[Caller]) -> Vec<(Option<u16>, &str)> {
    let later = callers[0].tries().iter().skip(1);
    later.map(|later| (later.status(), later.text())).collect()
}

/// Guards against gateways that have just started and take the version that they find for the only one
/// that there was: another one left while they were down.
#[rstest]
#[case::all_gateways_killed(true)]
#[case::one_gateway_killed(false)]
#[tokio::test]
async fn stream_whose_version_left_while_its_gateway_was_down_does_not_go_on_at_another(
    #[case] kills_all: bool,
) {
    let mut bench = Bench::start(2, 1, 2).await;
    let first = bench.gateways[0].callers();
    let mut callers: Vec<Caller> = (0..CALLERS).map(caller).collect();
    join_all(callers.iter_mut().map(|caller| caller.begin(first, 2))).await;
    assert!(begun(&callers) >= 8, "{} begin", begun(&callers));

    bench.gateways[0].process.kill().expect("ends");
    if kills_all {
        bench.gateways[1].process.kill().expect("ends");
    }
    bench
        .site
        .store
        .remove(&format!("servers/{}", bench.old[0].id()));
    bench.register(&bench.new);
    bench.gateways[0].restart().expect("starts");
    assert!(bench.gateways[0].wait_ready(true).await, "not ready");
    sleep(IN_FORCE).await;
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    join_all(callers.iter_mut().map(|caller| caller.call(first))).await;

    assert_not_joined(&callers);
}

/// Two gateways, of which the first one has not heard of the new version, and the second one has just
/// saved streams of the old version only. Its next save is half a second later.
async fn saved_without_new_version() -> Bench {
    for _ in 0..10 {
        let mut bench = Bench::start(1, 1, 1).await;
        bench.set_latency(QUICK);
        bench.site.store.set_watches_silent(true);
        bench.register(&bench.new);
        let second = bench.site.gateway("gateway-later").expect("starts");
        assert!(second.wait_ready(true).await, "not ready");
        bench.gateways.push(second);
        let mut other = Caller::new(PATH, "other");
        other.call(bench.callers_address(1)).await;
        if other.versions() == BTreeSet::from(["v1".to_owned()]) {
            return bench;
        }
    }
    panic!("no stream begins at the old version");
}

/// Guards against a gateway that has not heard of a new version yet and takes the old one for the only
/// one, when a stream that began at the new one comes to it before its gateway has saved it.
#[tokio::test]
async fn stream_of_a_version_that_a_gateway_has_not_heard_of_does_not_go_on_there_at_another() {
    let bench = saved_without_new_version().await;

    let mut callers: Vec<Caller> = (0..CALLERS * 2).map(caller).collect();
    let (from, to) = (bench.callers_address(1), bench.callers_address(0));
    let calls = callers.iter_mut().map(|caller| async move {
        caller.begin(from, 1).await;
        caller.leave();
        caller.call(to).await;
    });
    join_all(calls).await;

    assert_not_joined(&callers);
}

/// Two gateways, each with a link of its own to the store, two servers of the old version and one of the
/// new one, which is not in service yet.
async fn start_with_links() -> (Bench, [Proxy; 2]) {
    let configuration =
        Configuration::default().with("/routes/1/timeout_ms", json!(TIMEOUT.as_millis() as u64));
    let mut site = Site::new(&configuration).expect("starts");
    let (old, new) = (servers("v1", 2), servers("v2", 1));
    old.iter().for_each(|server| site.register(server));
    let links = [(); 2].map(|()| Proxy::new(site.store.address()).expect("starts"));
    let mut gateways = Vec::new();
    for (number, link) in links.iter().enumerate() {
        site = site.with_store_address(link.address());
        let gateway = site.gateway(&format!("gateway-{number}")).expect("starts");
        assert!(gateway.wait_ready(true).await, "not ready");
        gateways.push(gateway);
    }
    sleep(IN_FORCE / 2).await;
    let bench = Bench {
        site,
        gateways,
        old,
        new,
    };
    (bench, links)
}

/// How a gateway is out of step.
#[derive(Clone, Copy, Debug)]
enum Lag {
    CutOff,
    StandsStill,
    Down,
}

/// Guards against a gateway that takes the version that it has heard of for the only one: while it was
/// out of step, streams began at a new version elsewhere, and their gateway was cut off before it had
/// saved that.
#[rstest]
#[case::cut_off(Lag::CutOff, false)]
#[case::cut_off_until_the_new_version_has_crashed(Lag::CutOff, true)]
#[case::stands_still(Lag::StandsStill, false)]
#[case::stands_still_until_the_new_version_has_crashed(Lag::StandsStill, true)]
#[case::starts_after_the_new_version_has_crashed(Lag::Down, true)]
#[tokio::test]
async fn stream_does_not_go_on_at_another_version_at_a_gateway_that_was_out_of_step(
    #[case] lag: Lag,
    #[case] crashes: bool,
) {
    const HEARD: Duration = Duration::from_millis(10);
    let (mut bench, links) = start_with_links().await;
    let lagging = &mut bench.gateways[1].process;
    match lag {
        Lag::CutOff => links[1].inject(Scope::All, Direction::Both, Fault::silence()),
        Lag::StandsStill => lagging.pause().expect("stands still"),
        Lag::Down => lagging.kill().map(drop).expect("ends"),
    }
    bench.register(&bench.new);
    let mut callers: Vec<Caller> = (0..CALLERS * 2).map(caller).collect();
    let address = bench.callers_address(0);
    let calls = callers
        .iter_mut()
        .enumerate()
        .map(|(number, caller)| async move {
            sleep(HEARD.mul_f64(number as f64 / CALLERS as f64)).await;
            caller.begin(address, 1).await;
        });
    let cut = async {
        sleep(HEARD).await;
        links[0].inject(Scope::All, Direction::Both, Fault::silence());
    };
    tokio::join!(join_all(calls), cut);

    if crashes {
        let key = format!("servers/{}", bench.new[0].id());
        bench.site.store.remove(&key);
    }
    let lagging = &mut bench.gateways[1];
    match lag {
        Lag::CutOff => links[1].heal(),
        Lag::StandsStill => lagging.process.resume_execution().expect("goes on"),
        Lag::Down => {
            lagging.restart().expect("starts");
            assert!(lagging.wait_ready(true).await, "not ready");
        }
    }
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    take_up_at(&bench, &mut callers, 1).await;

    assert_not_joined(&callers);
    assert!(begun(&callers) * 2 >= callers.len(), "{}", begun(&callers));
}

/// Guards against streams that begin at a version that the store does not know yet, and against
/// requests that are refused for that although another version serves.
#[rstest]
#[case::serves_on(false)]
#[case::crashes(true)]
#[tokio::test]
async fn stream_begins_at_a_new_version_only_once_the_store_knows_it(#[case] crashes: bool) {
    let (bench, links) = start_with_links().await;
    links[1].inject(Scope::All, Direction::Both, Fault::silence());
    bench.site.store.set_writes_hanging(true);
    bench.register(&bench.new);
    sleep(PAUSE).await;
    let mut callers = begin_at(&bench, 0).await;
    let new = versions_begun(&callers, "v2");

    if crashes {
        let key = format!("servers/{}", bench.new[0].id());
        bench.site.store.remove(&key);
    }
    links[1].heal();
    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    take_up_at(&bench, &mut callers, 1).await;

    assert_not_joined(&callers);
    assert_eq!(new, 0, "streams at the version that is not saved");
    bench.site.store.set_writes_hanging(false);
    // The check that confirms the configuration is a transaction, so it was held back like a write.
    assert!(bench.gateways[0].wait_ready(true).await, "not ready");
    let mut is_used = false;
    for number in 0..CALLERS {
        let mut later = Caller::new(PATH, &format!("later-{number}"));
        let is_served = later.call(bench.callers_address(0)).await;
        assert!(is_served, "refused: {:?}", later.tries());
        is_used |= later.versions().contains("v2");
    }
    assert!(is_used || crashes, "the new version stays unused");
}

/// Guards against streams that wait, or are refused, in an ordinary release because their version is not
/// saved yet: the old servers leave as soon as the new ones have come.
#[tokio::test]
async fn new_streams_begin_at_once_during_a_release() {
    const EVERY: Duration = Duration::from_millis(25);
    const COUNT: usize = 80;
    const LONGEST: Duration = Duration::from_millis(300);
    let bench = Bench::start(3, 2, 2).await;
    bench.register(&bench.old);
    bench.set_latency(QUICK);
    sleep(IN_FORCE).await;

    let release = async {
        sleep(EVERY * 20).await;
        bench.register(&bench.new);
        sleep(EVERY * 5).await;
        for old in &bench.old {
            bench.site.set_state(old, "draining");
        }
    };
    let bench = &bench;
    let calls = (0..COUNT).map(|number| async move {
        sleep(EVERY * number as u32).await;
        let mut caller = caller(number);
        let start = tokio::time::Instant::now();
        caller.begin(bench.callers_address(number), 1).await;
        let elapsed = start.elapsed();
        caller.finish().await;
        (caller, elapsed)
    });
    let (answers, ()) = tokio::join!(join_all(calls), release);

    let (callers, elapsed): (Vec<Caller>, Vec<Duration>) = answers.into_iter().unzip();
    let longest = elapsed.into_iter().max().unwrap_or_default();
    assert_eq!(whole(&callers), COUNT);
    assert!(versions_begun(&callers, "v2") > COUNT / 2);
    assert!(longest < LONGEST, "first event after {longest:?}");
}

/// Number of streams that began at a version.
fn versions_begun(callers: &[Caller], version: &str) -> usize {
    let began = |caller: &&Caller| caller.versions().contains(version);
    callers.iter().filter(began).count()
}

/// Two gateways and two servers of the old version, of which the second one has started again at the new
/// version while its registration still names the old one.
async fn start_with_restarted() -> (Bench, Vec<Caller>) {
    const STREAMS: usize = 6;
    let bench = Bench::start(2, 2, 0).await;
    let mut callers: Vec<Caller> = (0..STREAMS).map(caller).collect();
    let address = bench.callers_address(0);
    join_all(callers.iter_mut().map(|caller| caller.begin(address, 1))).await;
    assert_eq!(begun(&callers), STREAMS);
    bench.register(&bench.old);
    sleep(IN_FORCE / 2).await;
    bench.old[1].restart_at("v2");
    (bench, callers)
}

/// Guards against a server that starts again under its identifier and address at another version, and is
/// taken for the former one until its registration says so.
#[rstest]
#[case::within_an_answer(false)]
#[case::taken_up(true)]
#[tokio::test]
async fn stream_does_not_go_on_at_a_server_that_started_again_at_another_version(
    #[case] is_taken_up: bool,
) {
    let (bench, mut callers) = start_with_restarted().await;

    bench.old[0].close();
    match is_taken_up {
        false => drop(join_all(callers.iter_mut().map(Caller::finish)).await),
        true => {
            callers.iter_mut().for_each(Caller::leave);
            take_up_at(&bench, &mut callers, 1).await;
        }
    }

    assert_not_joined(&callers);
    assert_eq!(resumed_runs(&bench.old[1..]), 0, "runs at the new version");
}

/// Guards against a stream that goes on at such a server because that is silent and does not say that it has
/// started again.
#[rstest]
#[case::within_an_answer(false)]
#[case::taken_up(true)]
#[tokio::test]
async fn stream_does_not_go_on_at_a_silent_server_that_started_again_at_another_version(
    #[case] is_taken_up: bool,
) {
    let (bench, mut callers) = start_with_restarted().await;
    bench.old[1].fall_silent(SILENCE);

    bench.old[0].close();
    match is_taken_up {
        false => drop(join_all(callers.iter_mut().map(Caller::finish)).await),
        true => {
            callers.iter_mut().for_each(Caller::leave);
            take_up_at(&bench, &mut callers, 1).await;
        }
    }

    assert_not_joined(&callers);
    assert_eq!(resumed_runs(&bench.old[1..]), 0, "runs at the new version");
}

/// Guards against a stream that began at such a server, and then goes on at the version that was registered.
#[tokio::test]
async fn stream_that_began_at_a_silent_server_that_started_again_goes_on_at_no_other_version() {
    const STREAMS: usize = 6;
    let bench = Bench::start(1, 2, 0).await;
    bench.register(&bench.old);
    sleep(IN_FORCE / 2).await;
    bench.old[1].restart_at("v2");
    bench.old[1].fall_silent(SILENCE);
    let address = bench.callers_address(0);
    let mut callers: Vec<Caller> = (0..STREAMS).map(caller).collect();

    join_all(callers.iter_mut().map(|caller| caller.begin(address, 1))).await;
    bench.old[1].close();
    join_all(callers.iter_mut().map(Caller::finish)).await;

    assert_eq!(begun(&callers), STREAMS);
    assert_eq!(versions_begun(&callers, "v2"), 0);
    assert_not_joined(&callers);
}

/// Guards against streams that go on nowhere, because a sound server of their version is silent for a second and
/// is not known to be the process that is registered.
#[rstest]
#[case::within_an_answer(false)]
#[case::taken_up(true)]
#[tokio::test]
async fn stream_goes_on_at_a_sound_server_that_was_silent(#[case] is_taken_up: bool) {
    const STREAMS: usize = 6;
    let bench = Bench::start(2, 2, 0).await;
    let mut callers: Vec<Caller> = (0..STREAMS).map(caller).collect();
    let address = bench.callers_address(0);
    join_all(callers.iter_mut().map(|caller| caller.begin(address, 1))).await;
    bench.register(&bench.old);
    sleep(IN_FORCE / 2).await;
    bench.set_latency(QUICK);
    bench.old[1].fall_silent(SILENCE);

    bench.old[0].close();
    match is_taken_up {
        false => drop(join_all(callers.iter_mut().map(Caller::finish)).await),
        true => {
            callers.iter_mut().for_each(Caller::leave);
            bench.take_up(&mut callers, 0).await;
        }
    }

    assert_not_joined(&callers);
    assert_eq!(whole(&callers), STREAMS);
}

/// Guards against the former version of such a server in the origins of streams that begin there, which
/// then go on elsewhere at a version that they did not begin at. No store knows the new version before
/// the registration names it, so no stream begins there until then, with and without connections that
/// were open to the former process.
#[rstest]
#[case::not_connected(0)]
#[case::connected(CALLERS)]
#[tokio::test]
async fn stream_that_began_at_a_server_that_started_again_goes_on_at_no_other_version(
    #[case] open: usize,
) {
    /// Fewer than one server has slots.
    const STREAMS: usize = 6;
    let bench = Bench::start(1, 2, 0).await;
    bench.register(&bench.old);
    sleep(IN_FORCE / 2).await;
    let address = bench.callers_address(0);
    let begin = async |name: &str, count: usize| {
        let caller = |number| Caller::new(PATH, &format!("{name}-{number}"));
        let mut callers: Vec<Caller> = (0..count)
            .map(|number| caller(number).with_time_budget(TIMEOUT))
            .collect();
        join_all(callers.iter_mut().map(|caller| caller.begin(address, 1))).await;
        assert_eq!(begun(&callers), count, "{name}");
        callers
    };
    let before = begin("before", open).await;

    bench.old[1].restart_at("v2");
    drop(before);
    let mut early = begin("early", STREAMS).await;
    let early_at_new = versions_begun(&early, "v2");
    bench.register(&bench.old);
    sleep(IN_FORCE / 2).await;
    let mut late = begin("late", STREAMS).await;
    let late_at_new = versions_begun(&late, "v2");
    bench.old[1].close();
    join_all(early.iter_mut().chain(&mut late).map(Caller::finish)).await;

    assert_eq!(early_at_new, 0, "begun before the registration names it");
    assert!(late_at_new > 0, "none at the new version");
    assert_not_joined(&early);
    assert_not_joined(&late);
    assert_eq!(whole(&early), STREAMS);
}

/// Guards against a report for each stream, or for each connection, where an open connection shows which
/// process of the server is there.
#[tokio::test]
async fn servers_are_asked_for_their_start_once_while_connections_last() {
    /// As many as the server has slots.
    const STREAMS: usize = 8;
    const ROUNDS: usize = 4;
    let bench = Bench::start(1, 1, 0).await;
    bench.set_latency(QUICK);

    let mut callers: Vec<Caller> = (0..ROUNDS * STREAMS).map(caller).collect();
    for round in callers.chunks_mut(STREAMS) {
        let address = bench.callers_address(0);
        join_all(round.iter_mut().map(|caller| caller.call(address))).await;
    }

    assert_eq!(whole(&callers), callers.len());
    assert_eq!(bench.old[0].reports(), 1);
}

/// Guards against a server that serves no stream that goes on because it is asked for its start first.
#[tokio::test]
async fn stream_goes_on_at_a_server_that_started_again_at_its_version() {
    let (bench, mut callers) = start_with_restarted().await;
    bench.old[1].restart_at("v1");
    bench.register(&bench.old);
    sleep(IN_FORCE / 2).await;
    bench.set_latency(QUICK);

    bench.old[0].close();
    join_all(callers.iter_mut().map(Caller::finish)).await;

    assert_not_joined(&callers);
    assert_eq!(whole(&callers), callers.len());
}

/// Guards against take-ups that wait for the store beyond the time that they have.
#[tokio::test]
async fn take_up_beside_a_store_that_hangs_is_answered_in_its_time() {
    const BUDGET: Duration = Duration::from_millis(500);
    let bench = Bench::start_in_service(2, 2).await;
    let mut callers = (0..CALLERS)
        .map(|number| {
            Caller::new(PATH, &format!("c{number}")).with_time_budget(Duration::from_millis(1_000))
        })
        .collect::<Vec<_>>();
    join_all(
        callers
            .iter_mut()
            .map(|caller| caller.begin(bench.callers_address(0), 1)),
    )
    .await;
    assert_eq!(begun(&callers), CALLERS);
    bench.site.store.stop(Outage::Hang);

    callers.iter_mut().for_each(Caller::leave);
    let mut callers: Vec<Caller> = callers
        .into_iter()
        .map(|caller| caller.with_time_budget(BUDGET))
        .collect();
    let calls = callers.iter_mut().map(|caller| {
        let address = bench.callers_address(1);
        async move {
            let start = tokio::time::Instant::now();
            caller.call(address).await;
            start.elapsed()
        }
    });
    let elapsed = join_all(calls).await;

    let longest = elapsed.into_iter().max().unwrap_or_default();
    assert!(
        longest < BUDGET + Duration::from_millis(500),
        "answered after {longest:?} with a time budget of {BUDGET:?}"
    );
}

/// Guards against a stream that is forgotten when the route's time is over, although its caller has more
/// and comes back.
#[rstest]
#[case::at_once(Duration::from_millis(500))]
#[case::after_a_pause(IN_FORCE)]
#[tokio::test]
async fn stream_that_ended_with_its_routes_time_is_taken_up_for_as_long_as_its_caller_has(
    #[case] pause: Duration,
) {
    let bench = Bench::start_in_service(2, 2).await;
    let configuration = Configuration::default().with("/routes/1/timeout_ms", json!(1_000));
    bench.site.configure(&configuration);
    sleep(IN_FORCE).await;
    let mut callers = bench.begin(CALLERS, 1).await;
    assert_eq!(begun(&callers), CALLERS);
    join_all(callers.iter_mut().map(Caller::finish)).await;

    sleep(pause).await;
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 0).await;

    assert_not_joined(&callers);
    let whole = whole(&callers);
    let answers = answers(&callers);
    assert!(
        whole * 2 >= CALLERS,
        "{whole} of {CALLERS} go on: {answers:?}"
    );
}

/// Guards against streams that other gateways do not know any more after the store was restored from a
/// copy of before they began.
#[tokio::test]
async fn streams_are_known_again_after_the_store_was_restored() {
    let bench = Bench::start_in_service(2, 2).await;
    let copy = bench.site.store.copy();
    let mut callers = begin_at(&bench, 0).await;
    sleep(IN_FORCE / 2).await;
    bench.site.store.restore(copy);
    sleep(IN_FORCE / 2).await;

    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    take_up_at(&bench, &mut callers, 1).await;

    assert_not_joined(&callers);
    let whole = whole(&callers);
    let answers = answers(&callers);
    assert!(
        whole * 2 >= CALLERS,
        "{whole} of {CALLERS} go on: {answers:?}"
    );
}

/// Guards against new requests that wait behind a stream whose version has no free slot, while servers
/// of another version have.
#[rstest]
#[case::crash(None)]
#[case::silence(Some(Duration::from_secs(6)))]
#[tokio::test]
async fn new_streams_do_not_wait_behind_one_whose_version_has_no_free_slot(
    #[case] silence: Option<Duration>,
) {
    const LIMIT: Duration = Duration::from_millis(400);
    let bench = Bench::start(1, 2, 2).await;
    bench.register(&bench.old);
    sleep(IN_FORCE).await;
    bench.set_latency(Duration::from_millis(700));
    let _open = bench.begin(16, 1).await;
    bench
        .new
        .iter()
        .for_each(|server| server.set_latency(QUICK));
    bench.register(&bench.new);
    sleep(IN_FORCE / 3).await;
    let mut before = Caller::new(PATH, "before").with_time_budget(TIMEOUT);
    let start = tokio::time::Instant::now();
    before.begin(bench.callers_address(0), 1).await;
    assert!(start.elapsed() < LIMIT, "no free slot");

    match silence {
        None => bench.old[1].close(),
        Some(length) => {
            bench.old[1].fall_silent(length);
            // Until another server is sought for its streams.
            sleep(Duration::from_millis(1_300)).await;
        }
    }
    sleep(Duration::from_millis(100)).await;
    let calls = (0..8).map(|number| {
        let address = bench.callers_address(0);
        async move {
            let mut caller = Caller::new(PATH, &format!("new-{number}")).with_time_budget(TIMEOUT);
            let start = tokio::time::Instant::now();
            caller.begin(address, 1).await;
            (start.elapsed(), caller.tries()[0].status())
        }
    });
    let begun = join_all(calls).await;

    let late = begun
        .iter()
        .filter(|(elapsed, status)| *elapsed > LIMIT || *status != Some(200));
    assert_eq!(late.count(), 0, "{begun:?}");
}

/// Guards against less urgent requests that are refused because a stream whose version has no free slot
/// is shed, while servers of another version have free slots.
#[tokio::test]
async fn less_urgent_requests_are_not_refused_for_a_stream_whose_version_has_no_free_slot() {
    let bench = Bench::start(1, 2, 2).await;
    let configuration = Configuration::default()
        .with("/routes/1/timeout_ms", json!(TIMEOUT.as_millis() as u64))
        .with("/routes/0/timeout_ms", json!(TIMEOUT.as_millis() as u64))
        .with("/routes/0/priority", json!(5));
    bench.site.configure(&configuration);
    bench.register(&bench.old);
    sleep(IN_FORCE).await;
    bench.set_latency(Duration::from_millis(700));
    let _open = bench.begin(16, 1).await;
    bench
        .new
        .iter()
        .for_each(|server| server.set_latency(QUICK));
    bench.register(&bench.new);
    sleep(IN_FORCE / 3).await;

    bench.old[1].close();
    let calls = (0..50).map(|number: u32| {
        let address = bench.callers_address(0);
        async move {
            sleep(Duration::from_millis(40) * number).await;
            let mut caller = Caller::new("/stream/1", &format!("less-{number}"));
            caller.begin(address, 1).await;
            let first = &caller.tries()[0];
            (first.status(), first.text().to_owned())
        }
    });
    let answers = join_all(calls).await;

    let refused = answers.iter().filter(|(status, _)| *status != Some(200));
    assert_eq!(refused.count(), 0, "{answers:?}");
}

/// Guards against a take-up whose caller gets the text of a server that does not go on as the rest of the
/// stream.
#[tokio::test]
async fn take_up_is_not_answered_with_what_is_no_stream() {
    let bench = Bench::start_in_service(2, 2).await;
    let mut callers = bench.begin(CALLERS, EVENTS as usize - 1).await;
    assert_eq!(begun(&callers), CALLERS);
    // One event is left, so that the text comes alone and without the type of an event stream.
    let text = Behaviour::Interjects("{\"error\":\"the engine has failed\"}\n\n");
    bench.old[0].set_behaviour(text);

    callers.iter_mut().for_each(Caller::leave);
    bench.set_latency(QUICK);
    bench.take_up(&mut callers, 0).await;

    let tries = callers.iter().flat_map(Caller::tries);
    let foreign = tries.filter(|attempt| attempt.has_foreign_text()).count();
    assert_eq!(foreign, 0, "{:?}", answers(&callers));
}
