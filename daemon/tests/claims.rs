//! Bookings under faults, with real processes: claims, takeovers and the loss of the store.

use {
    hyper::Method,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service, Sidecar},
        history::{Execution, History, Submission},
        load::{Generator, Record, Shot},
        plain::Call,
        proxy::{Direction, Fault, Scope},
        store::{self, Outage},
    },
    tokio::{task::JoinHandle, time::sleep},
};

const SERVICE: &str = "ordre-app";
const KEY: &str = "joiner-example-key";

/// Bound on everything that is waited for.
const LIMIT: Duration = Duration::from_secs(20);

/// Longest that an answer may take that depends on nothing but what the router knows.
const AT_ONCE: Duration = Duration::from_millis(500);

/// A system, what its callers saw, and the client that they share.
struct Bench {
    deployment: Deployment,
    generator: Generator,
    start: tokio::time::Instant,
}

impl Bench {
    async fn start() -> Self {
        Self::start_with(layout()).await
    }

    async fn start_with(layout: Layout) -> Self {
        let deployment = Deployment::start(&layout).await.expect("starts");
        let generator = Generator::new(&deployment.entries()).with_limit(LIMIT);
        let bench = Self {
            deployment,
            generator,
            start: tokio::time::Instant::now(),
        };
        // From here on both routers know the sidecars and have a lease.
        for router in 0..2 {
            let shot = booking(&format!("warm-{router}"));
            bench.book_until_served(router, &shot).await;
        }
        bench
    }

    /// Books again while the answer is that it was not run, as a caller does.
    async fn book_until_served(&self, router: usize, shot: &Shot) -> Record {
        let deadline = Instant::now() + LIMIT;
        loop {
            let record = self.book(router, shot).await;
            if record.verdict != Some(Verdict::NotRun) {
                assert!(record.whole, "{record:?}");
                return record;
            }
            assert!(Instant::now() < deadline, "{record:?}");
            let delay = record.retry_after;
            sleep(delay.expect("a refusal says when to return")).await;
        }
    }

    async fn book(&self, router: usize, shot: &Shot) -> Record {
        self.generator.offer(self.start, router, shot).await
    }

    fn set_latency(&self, latency: Duration) {
        for sidecar in self.deployment.sidecars_of(SERVICE) {
            sidecar.plain().set_latency(latency);
        }
    }

    /// Books in a task of its own, so that parts of the system can be stopped meanwhile.
    fn spawn_booking(&self, router: usize, shot: &Shot) -> JoinHandle<Record> {
        let (generator, start, shot) = (self.generator.clone(), self.start, shot.clone());
        tokio::spawn(async move { generator.offer(start, router, &shot).await })
    }

    fn runs(&self, key: &str) -> usize {
        let sidecars = self.deployment.sidecars.iter();
        sidecars.map(|sidecar| runs_at(sidecar, key).len()).sum()
    }

    fn executions(&self, key: &str) -> Vec<Execution> {
        let sidecars = self.deployment.sidecars.iter();
        let calls = sidecars.flat_map(|sidecar| runs_at(sidecar, key));
        calls
            .filter_map(|call| Execution::of_call(SERVICE, &call))
            .collect()
    }

    /// How often the claim has been written.
    fn claims(&self, key: &str) -> usize {
        let key = format!("tamarackdale/claims/{SERVICE}/joiners/{key}");
        let mut writes = self.deployment.store.history();
        writes.retain(|write| write.key == key.as_bytes());
        writes.len()
    }

    /// Checks the promises for these calls, each with its request.
    fn assert_kept(&self, calls: &[(&Shot, &Record)]) {
        let submissions = calls
            .iter()
            .filter_map(|(shot, record)| Submission::of_record(record, shot, is_read(shot)))
            .collect();
        let executions = calls
            .iter()
            .filter_map(|(shot, _)| shot.key.clone())
            .collect::<BTreeSet<_>>()
            .iter()
            .flat_map(|key| self.executions(key))
            .collect();
        let history = History {
            submissions,
            executions,
            ..History::new()
        };
        assert_eq!(history.violations(), Vec::new());
    }
}

/// Calls with this key that the sidecar's backend server has received.
fn runs_at(sidecar: &Sidecar, key: &str) -> Vec<Call> {
    let mut calls = sidecar.plain().calls();
    calls.retain(|call| call.marker.as_deref() == Some(key));
    calls
}

fn layout() -> Layout {
    Layout::new(vec![Service::ordre_app(2)])
}

fn booking(key: &str) -> Shot {
    booking_of(key, "{\"item\":1}")
}

fn booking_of(key: &str, body: &str) -> Shot {
    Shot::plain(SERVICE, KEY, Method::POST, "/pickups", body)
        .with_tier("order")
        .with_key(key)
}

fn read(key: &str) -> Shot {
    Shot::plain(SERVICE, KEY, Method::GET, "/orders/1", "")
        .with_tier("status")
        .with_key(key)
}

fn is_read(shot: &Shot) -> bool {
    shot.method == Method::GET
}

async fn wait_until(awaited: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "no {awaited} within {LIMIT:?}");
        sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn lost_answers_of_the_store_do_not_lose_or_double_a_booking() {
    let bench = Bench::start().await;
    let shot = booking("lost");

    bench.deployment.store.lose_answers(1);
    let record = bench.book(0, &shot).await;
    let retry = bench.book(1, &shot).await;

    assert!(record.whole && retry.whole, "{record:?} {retry:?}");
    assert_eq!(bench.runs("lost"), 1);
    bench.assert_kept(&[(&shot, &record), (&shot, &retry)]);
}

#[tokio::test]
async fn claims_that_wait_together_share_calls_of_the_store() {
    let bench = Bench::start().await;
    let shots: Vec<Shot> = (0..30).map(|n| booking(&format!("batch-{n}"))).collect();
    let store = &bench.deployment.store;
    let before = store.calls(store::Call::Write);

    store.set_delay(Duration::from_millis(50));
    let records = shots.iter().map(|shot| bench.book(0, shot));
    let records = futures_util::future::join_all(records).await;

    let calls = store.calls(store::Call::Write) - before;
    assert!(records.iter().all(|record| record.whole), "{records:#?}");
    assert!(calls * 2 < 30, "{calls} calls for 30 claims");
    bench.assert_kept(&shots.iter().zip(&records).collect::<Vec<_>>());
}

#[rstest::rstest]
#[case(1)]
#[case(2)]
#[tokio::test]
async fn bookings_racing_at_two_routers_run_once_and_are_answered_twice(#[case] sidecars: usize) {
    let layout = Layout::new(vec![Service::ordre_app(sidecars)]);
    let bench = Bench::start_with(layout).await;
    bench.set_latency(Duration::from_millis(50));
    let shots: Vec<Shot> = (0..20).map(|n| booking(&format!("race-{n}"))).collect();

    let races = shots
        .iter()
        .flat_map(|shot| [bench.book(0, shot), bench.book(1, shot)]);
    let records = futures_util::future::join_all(races).await;

    let calls: Vec<_> = shots
        .iter()
        .flat_map(|shot| [shot, shot])
        .zip(&records)
        .collect();
    assert!(records.iter().all(|record| record.whole), "{records:#?}");
    bench.assert_kept(&calls);
}

#[tokio::test]
async fn router_paused_between_claim_and_grant_does_not_run_the_booking_again() {
    let bench = Bench::start_with(layout().with_proxies()).await;
    let shot = booking("paused");
    let router = &bench.deployment.routers[0];
    let link = router.store_proxy.as_ref().expect("the layout has proxies");
    let slow = Fault::delay(Duration::from_millis(400));

    link.inject(Scope::All, Direction::FromTarget, slow);
    let first = bench.book(0, &shot);
    let second = async {
        wait_until("claim", || bench.claims("paused") == 1).await;
        router.process.pause().expect("paused");
        let record = bench.book(1, &shot).await;
        router.process.resume_execution().expect("goes on");
        record
    };
    let (first, second) = tokio::join!(first, second);

    assert!(second.whole, "{second:?}");
    assert!(first.whole, "{first:?}");
    assert_eq!(bench.claims("paused"), 2, "the claim was not taken over");
    assert_eq!(bench.runs("paused"), 1);
    bench.assert_kept(&[(&shot, &first), (&shot, &second)]);
}

#[tokio::test]
async fn retry_after_the_death_of_its_router_gets_the_answer_of_the_first_run() {
    let mut bench = Bench::start().await;
    bench.set_latency(Duration::from_millis(500));
    let shot = booking("orphan");

    let first = bench.spawn_booking(0, &shot);
    wait_until("run", || bench.runs("orphan") == 1).await;
    bench.deployment.routers[0].process.kill().expect("killed");
    let first = first.await.expect("ends");
    let retry = bench.book(1, &shot).await;

    assert!(first.broken, "{first:?}");
    assert!(retry.whole, "{retry:?}");
    assert_eq!(bench.runs("orphan"), 1);
    bench.assert_kept(&[(&shot, &first), (&shot, &retry)]);
}

#[tokio::test]
async fn other_payload_under_the_same_key_is_refused() {
    let bench = Bench::start().await;
    let (shot, other) = (booking("reused"), booking_of("reused", "{\"item\":2}"));

    let first = bench.book(0, &shot).await;
    let second = bench.book(1, &other).await;

    assert!(first.whole, "{first:?}");
    assert_eq!(second.status, Some(422));
    assert_eq!(second.reason.as_deref(), Some("key-reused"));
    assert_eq!(second.verdict, Some(Verdict::MayHaveRun));
    assert_eq!(bench.runs("reused"), 1);
}

#[tokio::test]
async fn booking_whose_sidecar_died_is_never_run_again() {
    let mut bench = Bench::start().await;
    bench.set_latency(LIMIT);
    let shot = booking("bereft");

    let first = bench.spawn_booking(0, &shot);
    wait_until("run", || bench.runs("bereft") == 1).await;
    let sidecars = &mut bench.deployment.sidecars;
    let has_run = |sidecar: &&mut Sidecar| !runs_at(sidecar, "bereft").is_empty();
    let sidecar = sidecars.iter_mut().find(has_run).expect("one has run it");
    sidecar.process.kill().expect("killed");
    let killed = bench.start.elapsed();
    let first = first.await.expect("ends");
    let retry = bench.book(1, &shot).await;

    assert_eq!(first.verdict, Some(Verdict::MayHaveRun), "{first:?}");
    assert!(first.ended < killed + AT_ONCE, "{first:?}");
    assert_eq!(
        (retry.status, retry.verdict),
        (Some(409), Some(Verdict::MayHaveRun))
    );
    assert_eq!(bench.runs("bereft"), 1);
    bench.assert_kept(&[(&shot, &first), (&shot, &retry)]);
}

#[rstest::rstest]
#[case(Outage::Refuse)]
#[case(Outage::Hang)]
#[tokio::test]
async fn bookings_are_refused_and_reads_go_on_while_the_store_is_down(#[case] outage: Outage) {
    let bench = Bench::start().await;
    let shots: Vec<Shot> = (0..12).map(|n| booking(&format!("outage-{n}"))).collect();
    let reads: Vec<Shot> = (0..12).map(|n| read(&format!("read-{n}"))).collect();
    let (early, late) = shots.split_at(6);

    bench.deployment.store.stop(outage);
    let refused = early
        .iter()
        .enumerate()
        .map(|(n, shot)| bench.book(n, shot));
    let refused = futures_util::future::join_all(refused).await;
    let known = late.iter().enumerate().map(|(n, shot)| bench.book(n, shot));
    let known = futures_util::future::join_all(known).await;
    let read = reads
        .iter()
        .enumerate()
        .map(|(n, shot)| bench.book(n, shot));
    let read = futures_util::future::join_all(read).await;
    bench.deployment.store.resume();
    let recovered = bench.book_until_served(0, &booking("again")).await;

    for record in refused.iter().chain(&known) {
        assert_eq!(record.status, Some(503), "{record:?}");
        assert_eq!(record.verdict, Some(Verdict::NotRun), "{record:?}");
        assert_eq!(
            record.reason.as_deref(),
            Some("store-unavailable"),
            "{record:?}"
        );
        assert!(record.retry_after.is_some(), "{record:?}");
    }
    for record in &known {
        assert!(record.latency() < AT_ONCE, "{record:?}");
    }
    assert!(read.iter().all(|record| record.whole), "{read:#?}");
    assert!(recovered.whole, "{recovered:?}");
    assert_eq!(bench.runs("again"), 1);
    for shot in &shots {
        assert_eq!(bench.runs(shot.key.as_deref().expect("keyed")), 0);
    }
}
