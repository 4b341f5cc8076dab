//! Changes of documents and of the instance list under load, which must fail no accepted request.

use {
    hyper::Method,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tamarackdale_core::{document::Hash, verdict::Verdict},
    tamarackdale_testbed::{
        deployment::{
            Deployment, Layout, Service, Sidecar,
            documents::{orders_with_weight, wait_in_force},
        },
        load::{Generator, Record, Schedule, Shot},
        wait,
    },
    tokio::task::JoinSet,
};

const SERVICE: &str = "ordre-app";
const API_KEY: &str = "slibe-example-key";

/// Time within which a backend server stops receiving requests after its sidecar is listed as
/// leaving.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Time within which an accepted change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Timeout for the restart of one process, and for the retries of one caller.
const RESTART_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two attempts of a caller.
const CALLER_BACKOFF: Duration = Duration::from_millis(50);

/// Time for which processes stand still; the limit for a response's head is shorter, that of a
/// silent report stream longer.
const STANDSTILL: Duration = Duration::from_millis(1_500);

/// Time within which a request is refused once every sidecar is silent for good: the limits for a
/// response's head and for a silent report stream, and two pauses between rounds with a second for a
/// loaded machine.
const REFUSAL_LIMIT: Duration = Duration::from_secs(6);

/// Time within which a request is refused once every sidecar has crashed: less than the limit for a
/// silent report stream.
const CRASH_LIMIT: Duration = Duration::from_secs(2);

/// Offered load, in requests per second.
const RATE: f64 = 100.0;

async fn deployment() -> Deployment {
    let layout = Layout::new(vec![Service::ordre_app(3)]);
    Deployment::start(&layout)
        .await
        .expect("the deployment starts")
}

/// An idempotent read.
fn read(index: usize) -> Shot {
    let path = format!("/orders/{index}");
    Shot::plain(SERVICE, API_KEY, Method::GET, &path, "")
}

/// Offers reads for `length` while `change` changes the deployment.
async fn under_load<F: Future<Output = ()>>(
    entries: &[SocketAddr],
    length: Duration,
    change: F,
) -> Vec<Record> {
    let generator = Generator::new(entries).with_limit(Duration::from_secs(10));
    let schedule = Schedule::even(RATE, length);
    let (records, ()) = tokio::join!(generator.run(&schedule, read), change);
    records
}

/// Waits until the backend server of a sidecar has received a request.
async fn wait_until_called(sidecar: &Sidecar) {
    let is_called = || !sidecar.plain().calls().is_empty();
    assert!(
        wait::until(RESTART_TIMEOUT, is_called).await,
        "the backend server receives no requests"
    );
}

fn assert_all_complete(records: &[Record]) {
    let failed: Vec<&Record> = records.iter().filter(|record| !record.whole).collect();
    assert!(
        failed.is_empty(),
        "{} of {} failed, the first: {:?}",
        failed.len(),
        records.len(),
        failed.first()
    );
}

#[tokio::test]
async fn document_changes_fail_no_request() {
    let deployment = deployment().await;
    let entries = deployment.entries();

    let changes = async {
        for weight in 5..25 {
            deployment.apply(SERVICE, &orders_with_weight(weight));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let records = under_load(&entries, Duration::from_secs(3), changes).await;

    assert_all_complete(&records);
}

#[tokio::test]
async fn sidecar_listed_as_leaving_receives_no_new_work_and_loses_none() {
    const LATENCY: Duration = Duration::from_millis(300);
    let deployment = deployment().await;
    let leaving = &deployment.sidecars[0];
    leaving.plain().set_latency(LATENCY);
    let entries = deployment.entries();
    let mut before = Vec::new();
    let since = Instant::now();
    while leaving.plain().calls().is_empty() && since.elapsed() < RESTART_TIMEOUT {
        before.extend(under_load(&entries, LATENCY, async {}).await);
    }
    assert_all_complete(&before);

    let mut after_limit = 0;
    let change = async {
        tokio::time::sleep(LATENCY).await;
        deployment.list.set_leaving(&leaving.name);
        tokio::time::sleep(LEAVE_LIMIT).await;
        after_limit = leaving.plain().calls().len();
    };
    let records = under_load(&entries, LEAVE_LIMIT + 4 * LATENCY, change).await;

    assert_all_complete(&records);
    assert!(
        after_limit > 0,
        "the backend server received requests before"
    );
    assert_eq!(leaving.plain().calls().len(), after_limit);
}

#[tokio::test]
async fn sidecar_listed_as_leaving_returns_its_queued_requests() {
    const LATENCY: Duration = Duration::from_secs(4);
    const REQUESTS: usize = 80;
    let layout = Layout::new(vec![Service::ordre_app(2)]);
    let deployment = Deployment::start(&layout)
        .await
        .expect("the deployment starts");
    let leaving = &deployment.sidecars[0];
    leaving.plain().set_latency(LATENCY);
    let generator = Generator::new(&deployment.entries()).with_limit(RESTART_TIMEOUT);
    let burst = Schedule::burst(Duration::ZERO, REQUESTS);

    let leave = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        wait_until_called(leaving).await;
        deployment.list.set_leaving(&leaving.name);
        tokio::time::sleep(LEAVE_LIMIT).await;
        leaving.plain().calls().len()
    };
    let shot = |index| read(index).with_tier("order");
    let (records, after_limit) = tokio::join!(generator.run(&burst, shot), leave);

    assert_all_complete(&records);
    assert!(
        after_limit > 0,
        "the backend server received requests before"
    );
    assert_eq!(leaving.plain().calls().len(), after_limit);
}

#[tokio::test]
async fn standstill_of_every_sidecar_fails_no_request() {
    let deployment = deployment().await;
    let entries = deployment.entries();

    let standstill = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for sidecar in &deployment.sidecars {
            sidecar.process.pause().expect("the process runs");
        }
        tokio::time::sleep(STANDSTILL).await;
        for sidecar in &deployment.sidecars {
            sidecar
                .process
                .resume_execution()
                .expect("the process runs");
        }
    };
    let records = under_load(&entries, Duration::from_secs(3), standstill).await;

    assert_all_complete(&records);
}

#[tokio::test]
async fn silence_of_every_sidecar_refuses_in_time() {
    let deployment = deployment().await;
    let generator = Generator::new(&deployment.entries()).with_limit(RESTART_TIMEOUT);
    let shot = read(0).with_deadline(RESTART_TIMEOUT);
    for sidecar in &deployment.sidecars {
        sidecar.process.pause().expect("the process runs");
    }

    let started = tokio::time::Instant::now();
    let record = generator.offer(started, 0, &shot).await;

    assert_eq!(record.status, Some(503), "{record:?}");
    assert_eq!(record.verdict, Some(Verdict::NotRun));
    assert!(record.ended < REFUSAL_LIMIT, "{record:?}");
}

#[tokio::test]
async fn crash_of_every_sidecar_refuses_before_the_limit_of_silence() {
    let mut deployment = deployment().await;
    let generator = Generator::new(&deployment.entries()).with_limit(RESTART_TIMEOUT);
    let shot = read(0).with_deadline(RESTART_TIMEOUT);
    for sidecar in &mut deployment.sidecars {
        sidecar.process.kill().expect("the process runs");
    }

    let started = tokio::time::Instant::now();
    let record = generator.offer(started, 0, &shot).await;

    assert_eq!(record.status, Some(503), "{record:?}");
    assert_eq!(record.verdict, Some(Verdict::NotRun));
    assert!(record.ended < CRASH_LIMIT, "{record:?}");
}

#[tokio::test]
async fn standstill_of_every_router_fails_no_request() {
    let deployment = deployment().await;
    let entries = deployment.entries();

    let standstill = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for router in &deployment.routers {
            router.process.pause().expect("the process runs");
        }
        tokio::time::sleep(STANDSTILL).await;
        for router in &deployment.routers {
            router.process.resume_execution().expect("the process runs");
        }
    };
    let records = under_load(&entries, Duration::from_secs(3), standstill).await;

    assert_all_complete(&records);
}

/// Restarts every process in turn and updates `entries` with the routers' new listen addresses.
async fn restart_all(deployment: &mut Deployment, entries: &Mutex<Vec<SocketAddr>>) {
    for index in 0..deployment.sidecars.len() {
        let sidecar = &mut deployment.sidecars[index];
        sidecar.process.terminate().expect("the process runs");
        let status = sidecar
            .process
            .wait(RESTART_TIMEOUT)
            .await
            .expect("the process exits");
        assert_eq!(status.code(), Some(0));
        sidecar
            .restart(&deployment.list)
            .expect("the process restarts");
        deployment
            .wait_until_ready()
            .await
            .expect("all processes become ready");
        wait_until_used(deployment, index).await;
    }
    for index in 0..deployment.routers.len() {
        let router = &mut deployment.routers[index];
        router.process.terminate().expect("the process runs");
        let status = router
            .process
            .wait(RESTART_TIMEOUT)
            .await
            .expect("the process exits");
        assert_eq!(status.code(), Some(0));
        router
            .restart(&deployment.list)
            .expect("the process restarts");
        deployment
            .wait_until_ready()
            .await
            .expect("all processes become ready");
        *entries.lock().expect("no holder panics") = deployment.entries();
    }
}

/// Waits until a restarted sidecar receives work again.
async fn wait_until_used(deployment: &Deployment, index: usize) {
    let plain = deployment.sidecars[index].plain();
    let before = plain.calls().len();
    let since = Instant::now();
    while plain.calls().len() == before {
        assert!(
            since.elapsed() < RESTART_TIMEOUT,
            "the restarted sidecar receives no requests"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Calls with retries under the same key, until a complete response or the timeout.
async fn call_with_retries(entries: &Mutex<Vec<SocketAddr>>, index: usize) -> Record {
    let shot = read(index).with_key(&format!("read-{index}"));
    let started = tokio::time::Instant::now();
    let mut attempt = index;
    loop {
        let entries = entries.lock().expect("no holder panics").clone();
        let generator = Generator::new(&entries).with_limit(RESTART_TIMEOUT);
        let record = generator.offer(started, attempt, &shot).await;
        if record.whole || started.elapsed() > RESTART_TIMEOUT {
            return record;
        }
        attempt += 1;
        tokio::time::sleep(CALLER_BACKOFF).await;
    }
}

#[tokio::test]
async fn rolling_restart_fails_no_caller_that_retries() {
    let mut deployment = deployment().await;
    let entries = Arc::new(Mutex::new(deployment.entries()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers = {
        let (entries, stop) = (Arc::clone(&entries), Arc::clone(&stop));
        tokio::spawn(async move {
            let mut calls = JoinSet::new();
            for index in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let entries = Arc::clone(&entries);
                calls.spawn(async move { call_with_retries(&entries, index).await });
                tokio::time::sleep(Duration::from_secs_f64(1.0 / RATE)).await;
            }
            calls.join_all().await
        })
    };

    restart_all(&mut deployment, &entries).await;
    stop.store(true, Ordering::SeqCst);
    let records = callers.await.expect("no caller panics");

    assert_all_complete(&records);
    let calls = deployment
        .sidecars
        .iter()
        .flat_map(|sidecar| sidecar.plain().calls());
    let markers: Vec<Option<String>> = calls.map(|call| call.marker).collect();
    let distinct: HashSet<&Option<String>> = markers.iter().collect();
    assert_eq!(
        markers.len(),
        distinct.len(),
        "a request was dispatched twice"
    );
    assert!(records.len() > 100);
}

#[tokio::test]
async fn every_router_applies_a_replaced_api_key() {
    const OTHER_KEY: &str = "another-example-key";
    let deployment = deployment().await;
    let old_hash = Hash::of(API_KEY).to_string();
    let new_hash = Hash::of(OTHER_KEY).to_string();
    let replaced = orders_with_weight(4).replace(&old_hash, &new_hash);

    let since = Instant::now();
    let revision = deployment.apply(SERVICE, &replaced);
    wait_in_force(
        &deployment.peers(),
        SERVICE,
        revision,
        since,
        IN_FORCE_LIMIT,
    )
    .await
    .expect("the revision is in force in time");

    let started = tokio::time::Instant::now();
    for entry in deployment.entries() {
        let generator = Generator::new(&[entry]).with_limit(RESTART_TIMEOUT);
        let old = generator.offer(started, 0, &read(0)).await;
        let shot = Shot::plain(SERVICE, OTHER_KEY, Method::GET, "/orders/1", "");
        let new = generator.offer(started, 1, &shot).await;
        assert_eq!(old.status, Some(401));
        assert!(new.whole, "{new:?}");
    }
}
