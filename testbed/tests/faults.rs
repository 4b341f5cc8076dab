//! Promises hold while processes die, pause and lose their connections.

use {
    rstest::rstest,
    std::{collections::HashMap, time::Duration},
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        engine::{Hardware, Run},
        load::{Generator, Record, Schedule, Shot},
        proxy::{Direction, Fault, Proxy, Scope},
        wait,
    },
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Bound on the whole of a test's work.
const LIMIT: Duration = Duration::from_secs(30);

/// Time within which the end of a connection must have become the caller's answer.
const AT_ONCE: Duration = Duration::from_secs(2);

/// Deadline of the tier `site`.
const SITE_DEADLINE: Duration = Duration::from_secs(8);

/// Requests of a burst.
const REQUESTS: usize = 100;

/// Most requests that one sidecar can have granted at once, so soon after its start.
const MAX_GRANTED: usize = 32;

/// Tokens of an answer that takes a while.
const LONG: u32 = 400;

/// Two engines that take four requests each.
async fn start() -> Deployment {
    let hardware = Hardware::newer().with_speedup(4.0).with_max_batch(4);
    let layout = Layout::new(vec![Service::slibe_llm(&[hardware, hardware])]).with_proxies();
    Deployment::start(&layout).await.expect("starts")
}

/// One engine.
async fn start_single() -> Deployment {
    let hardware = Hardware::newer().with_speedup(4.0);
    let layout = Layout::new(vec![Service::slibe_llm(&[hardware])]).with_proxies();
    Deployment::start(&layout).await.expect("starts")
}

fn shot(index: usize) -> Shot {
    let input = format!("bevel angle {index}");
    let tokens = 50 + 5 * (index as u32 % 10);
    Shot::model(
        "slibe-llm",
        "slibe-example-key",
        "sharpening",
        &input,
        tokens,
    )
    .with_tier("workshop")
    .with_key(&format!("key-{index}"))
}

/// A request whose answer is kept for its caller's retry.
fn assessment() -> Shot {
    let input = "restoration of a paring chisel";
    Shot::model("slibe-llm", "slibe-example-key", "sharpening", input, LONG)
        .with_tier("assessment")
        .with_key("assessment")
}

fn offer_burst(deployment: &Deployment) -> JoinHandle<Vec<Record>> {
    let generator = Generator::new(&deployment.entries()).with_limit(LIMIT);
    let schedule = Schedule::burst(Duration::ZERO, REQUESTS);
    tokio::spawn(async move { generator.run(&schedule, shot).await })
}

fn offer(deployment: &Deployment, router: usize, shot: Shot) -> JoinHandle<Record> {
    let entry = deployment.routers[router].callers;
    let generator = Generator::new(&[entry]).with_limit(LIMIT);
    tokio::spawn(async move { generator.offer(Instant::now(), 0, &shot).await })
}

fn runs(deployment: &Deployment) -> Vec<Run> {
    deployment
        .sidecars
        .iter()
        .flat_map(|sidecar| sidecar.engine().runs())
        .collect()
}

/// Waits until an answer is on its way.
async fn wait_for_tokens(deployment: &Deployment) {
    let decoding = || runs(deployment).iter().any(|run| run.decoded_tokens > 10);
    assert!(
        wait::until(LIMIT, decoding).await,
        "no answer is on its way"
    );
}

/// Waits until both engines have work.
async fn wait_for_both(deployment: &Deployment) {
    let busy = || {
        deployment
            .sidecars
            .iter()
            .all(|sidecar| !sidecar.engine().runs().is_empty())
    };
    assert!(wait::until(LIMIT, busy).await, "an engine has no work");
}

fn assert_no_request_ran_twice(deployment: &Deployment) {
    let mut counts: HashMap<Option<String>, usize> = HashMap::new();
    for run in runs(deployment) {
        *counts.entry(run.marker).or_default() += 1;
    }
    let twice: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
}

/// Only what the dead or paused sidecar had been granted is lost, and its callers know.
fn assert_waiting_work_moved(deployment: &Deployment, records: &[Record]) {
    let lost: Vec<_> = records.iter().filter(|record| !record.whole).collect();
    for record in &lost {
        let known = record.broken || record.verdict == Some(Verdict::MayHaveRun);
        let key = record.key.as_deref().unwrap_or_default();
        assert!(known, "{record:?}\n{}", deployment.logs_about(key));
    }
    assert!(lost.len() <= MAX_GRANTED, "{} lost", lost.len());
}

/// No answer is another's or cut without a sign, and what is said not to have run has not.
fn assert_true_verdicts(deployment: &Deployment, records: &[Record]) {
    let runs = runs(deployment);
    for record in records {
        assert!(!record.is_corrupt(), "{record:?}");
        let ran = runs.iter().any(|run| run.marker == record.key);
        assert!(
            !(ran && record.verdict == Some(Verdict::NotRun)),
            "{record:?}"
        );
    }
}

#[tokio::test]
async fn router_dies_mid_stream_and_the_retry_gets_the_same_answer() {
    let mut deployment = start_single().await;
    let first = offer(&deployment, 0, assessment());
    wait_for_tokens(&deployment).await;

    deployment.routers[0].kill().expect("running");
    let first = first.await.expect("no panic");
    let retry = offer(&deployment, 1, assessment()).await.expect("no panic");

    assert!(first.broken && !first.whole, "{first:?}");
    assert!(retry.whole, "{retry:?}");
    assert_no_request_ran_twice(&deployment);
}

#[tokio::test]
async fn sidecar_dies_and_its_waiting_work_moves() {
    let mut deployment = start().await;
    let offered = offer_burst(&deployment);
    wait_for_both(&deployment).await;

    deployment.sidecars[0].kill().expect("running");
    let records = offered.await.expect("no panic");

    assert_no_request_ran_twice(&deployment);
    assert_true_verdicts(&deployment, &records);
    assert_waiting_work_moved(&deployment, &records);
    assert!(
        records.iter().any(|record| !record.whole),
        "nothing was running"
    );
    // All were offered within moments of the kill.
    let lost = records.iter().filter(|record| !record.whole);
    assert!(
        lost.clone().all(|record| record.latency() < AT_ONCE),
        "{:?}",
        lost.max_by_key(|record| record.latency())
    );
}

#[rstest]
#[case::briefly(Duration::from_millis(300))]
#[case::for_long(Duration::from_secs(8))]
#[tokio::test]
async fn sidecar_pauses(#[case] pause: Duration) {
    let deployment = start().await;
    let offered = offer_burst(&deployment);
    wait_for_both(&deployment).await;

    deployment.sidecars[0].process.pause().expect("running");
    tokio::time::sleep(pause).await;
    deployment.sidecars[0]
        .process
        .resume_execution()
        .expect("paused");
    let records = offered.await.expect("no panic");

    assert_no_request_ran_twice(&deployment);
    assert_true_verdicts(&deployment, &records);
    assert_waiting_work_moved(&deployment, &records);
}

/// A link with a proxy.
#[derive(Clone, Copy, Debug)]
enum Link {
    RouterSidecar,
    SidecarEngine,
}

fn proxy(deployment: &Deployment, link: Link) -> &Proxy {
    match link {
        Link::RouterSidecar => deployment.sidecars[0].peer_link(),
        Link::SidecarEngine => deployment.sidecars[0].backend_link(),
    }
}

#[rstest]
#[case::silent_to_router(Link::RouterSidecar, Direction::Both, Fault::silence())]
#[case::silent_half(Link::RouterSidecar, Direction::FromTarget, Fault::silence())]
#[case::silent_to_engine(Link::SidecarEngine, Direction::Both, Fault::silence())]
#[case::silent_half_to_engine(Link::SidecarEngine, Direction::FromTarget, Fault::silence())]
#[case::cut_short(Link::RouterSidecar, Direction::FromTarget, Fault::truncate(1_000))]
#[case::cut_short_at_engine(Link::SidecarEngine, Direction::FromTarget, Fault::truncate(1_000))]
#[tokio::test]
async fn answer_is_whole_though_its_connection_fails(
    #[case] link: Link,
    #[case] direction: Direction,
    #[case] fault: Fault,
) {
    let deployment = start_single().await;
    let offered = offer(&deployment, 0, assessment());
    wait_for_tokens(&deployment).await;

    proxy(&deployment, link).inject(Scope::Open, direction, fault);
    let record = offered.await.expect("no panic");

    assert!(record.whole, "{record:?}");
    assert_no_request_ran_twice(&deployment);
}

#[rstest]
#[case::router_sidecar(Link::RouterSidecar)]
#[case::sidecar_engine(Link::SidecarEngine)]
#[tokio::test]
async fn crossed_and_late_answers_reach_their_own_callers(#[case] link: Link) {
    let deployment = start_single().await;
    let late = Fault::delay(Duration::from_millis(30));
    proxy(&deployment, link).inject(Scope::All, Direction::FromTarget, late);

    let records = offer_burst(&deployment).await.expect("no panic");

    assert!(records.iter().all(|record| record.whole), "{records:?}");
    assert_no_request_ran_twice(&deployment);
}

#[tokio::test]
async fn truncated_answer_breaks_the_callers_connection() {
    let layout = Layout::new(vec![Service::ordre_app(1)]).with_proxies();
    let deployment = Deployment::start(&layout).await.expect("starts");
    let method = hyper::Method::GET;
    let path = "/orders/1?padding=100000";
    let shot = Shot::plain("ordre-app", "joiner-example-key", method, path, "").with_tier("status");
    let cut = Fault::truncate(50_000);
    deployment.sidecars[0]
        .backend_link()
        .inject(Scope::New, Direction::FromTarget, cut);

    let record = offer(&deployment, 0, shot).await.expect("no panic");

    assert!(record.broken && !record.whole, "{record:?}");
    assert_ne!(record.verdict, Some(Verdict::NotRun));
}

/// An engine's runs of requests offered from `start` on.
fn runs_since(deployment: &Deployment, sidecar: usize, start: usize) -> usize {
    deployment.sidecars[sidecar].engine().runs().len() - start
}

#[rstest]
#[case::from_the_start(0)]
#[case::while_serving(20)]
#[tokio::test]
async fn engine_slows_tenfold(#[case] warm_up: usize) {
    let deployment = start().await;
    let generator = Generator::new(&deployment.entries()).with_limit(LIMIT);
    let site = |index| shot(index).with_tier("site");
    let warm_up = Schedule::even(10.0, Duration::from_millis(100) * warm_up as u32);
    generator
        .run(&warm_up, |index| site(REQUESTS + index))
        .await;
    let before = [0, 1].map(|sidecar| runs_since(&deployment, sidecar, 0));
    deployment.sidecars[0].engine().set_slow_factor(10.0);
    let schedule = Schedule::even(10.0, Duration::from_secs(6));

    let records = generator.run(&schedule, site).await;

    assert_true_verdicts(&deployment, &records);
    assert_no_request_ran_twice(&deployment);
    let in_time = records
        .iter()
        .filter(|record| record.whole && record.latency() <= SITE_DEADLINE)
        .count();
    assert!(
        in_time * 10 >= records.len() * 9,
        "{in_time} of {}",
        records.len()
    );
    let slow = runs_since(&deployment, 0, before[0]);
    let quick = runs_since(&deployment, 1, before[1]);
    assert!(
        slow * 2 < quick,
        "{slow} runs at the slow engine, {quick} at the other"
    );
}

/// Guards against an engine that counts as slow for good after it stood still for a moment, or its machine
/// did: it then gets no requests by whose tokens its speed could be measured again.
#[tokio::test]
async fn engine_that_stood_still_for_a_moment_is_preferred_to_one_that_is_slow() {
    const STALL: Duration = Duration::from_millis(300);
    let deployment = start().await;
    deployment.sidecars[0].engine().set_slow_factor(10.0);
    let generator = Generator::new(&deployment.entries()).with_limit(LIMIT);
    let site = |index| shot(index).with_tier("site");
    let warm_up = Schedule::even(10.0, Duration::from_secs(2));
    generator
        .run(&warm_up, |index| site(REQUESTS + index))
        .await;
    let running = offer(&deployment, 0, assessment());
    let quick = || deployment.sidecars[1].engine().runs();
    let is_decoding = || {
        let runs = quick();
        runs.last()
            .is_some_and(|run| run.output_tokens == LONG && run.decoded_tokens > LONG / 4)
    };
    assert!(
        wait::until(LIMIT, is_decoding).await,
        "no answer is on its way"
    );
    deployment.sidecars[1].process.pause().expect("running");
    sleep(STALL).await;
    let process = &deployment.sidecars[1].process;
    process.resume_execution().expect("running");
    assert!(running.await.expect("no panic").whole);
    let before = [0, 1].map(|sidecar| runs_since(&deployment, sidecar, 0));

    let schedule = Schedule::even(10.0, Duration::from_secs(3));
    let records = generator.run(&schedule, site).await;

    assert!(records.iter().all(|record| record.whole));
    let slow = runs_since(&deployment, 0, before[0]);
    let quick = runs_since(&deployment, 1, before[1]);
    assert!(
        slow * 2 < quick,
        "{slow} runs at the slow engine, {quick} at the other"
    );
}

#[tokio::test]
async fn silent_link_and_death_of_the_router_together() {
    let mut deployment = start_single().await;
    let first = offer(&deployment, 0, assessment());
    wait_for_tokens(&deployment).await;

    for link in [Link::RouterSidecar, Link::SidecarEngine] {
        proxy(&deployment, link).inject(Scope::Open, Direction::Both, Fault::silence());
    }
    deployment.routers[0].kill().expect("running");
    let retry = offer(&deployment, 1, assessment()).await.expect("no panic");

    assert!(first.await.expect("no panic").broken);
    assert!(retry.whole, "{retry:?}");
    assert_no_request_ran_twice(&deployment);
}

#[tokio::test]
async fn sidecar_dies_while_the_other_engine_slows() {
    let mut deployment = start().await;
    let offered = offer_burst(&deployment);
    wait_for_both(&deployment).await;

    deployment.sidecars[1].engine().set_slow_factor(3.0);
    deployment.sidecars[0].kill().expect("running");
    let records = offered.await.expect("no panic");

    assert_no_request_ran_twice(&deployment);
    assert_true_verdicts(&deployment, &records);
    assert_waiting_work_moved(&deployment, &records);
}
