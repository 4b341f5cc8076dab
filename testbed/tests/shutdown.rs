//! A graceful shutdown cuts off no request.

use {
    rstest::rstest,
    std::{collections::HashMap, time::Duration},
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        engine::Hardware,
        load::{Generator, Record, Schedule, Shot, Summary},
        wait,
    },
};

/// Bound on the whole of a test's work.
const LIMIT: Duration = Duration::from_secs(20);

/// Requests in flight when the process is told to end.
const REQUESTS: usize = 60;

/// Which process is told to end.
#[derive(Clone, Copy, Debug)]
enum Role {
    Router,
    Sidecar,
}

fn shot(index: usize) -> Shot {
    let input = format!("grit sequence {index}");
    Shot::model("slibe-llm", "slibe-example-key", "sharpening", &input, 100)
        .with_tier("workshop")
        .with_key(&format!("key-{index}"))
}

async fn start() -> Deployment {
    // A batch of four per engine, so that most requests wait.
    let hardware = Hardware::newer().with_speedup(4.0).with_max_batch(4);
    let layout = Layout::new(vec![Service::slibe_llm(&[hardware, hardware])]);
    Deployment::start(&layout).await.expect("starts")
}

fn runs(deployment: &Deployment) -> HashMap<Option<String>, usize> {
    let mut runs = HashMap::new();
    for run in deployment
        .sidecars
        .iter()
        .flat_map(|sidecar| sidecar.engine().runs())
    {
        *runs.entry(run.marker).or_default() += 1;
    }
    runs
}

#[rstest]
#[case::router(Role::Router)]
#[case::sidecar(Role::Sidecar)]
#[tokio::test]
async fn requests_in_flight_end_whole(#[case] role: Role) {
    let mut deployment = start().await;
    let generator = Generator::new(&deployment.entries()).with_limit(LIMIT);
    let schedule = Schedule::burst(Duration::ZERO, REQUESTS);
    let offered = tokio::spawn(async move { generator.run(&schedule, shot).await });
    let routed = wait::until(LIMIT, || deployment.routed() >= REQUESTS);
    assert!(routed.await, "not all requests have arrived");
    let started = wait::until(LIMIT, || {
        deployment
            .sidecars
            .iter()
            .all(|sidecar| !sidecar.engine().runs().is_empty())
    });
    assert!(started.await, "an engine has no work");
    assert!(runs(&deployment).len() < REQUESTS, "nothing waits");

    let process = match role {
        Role::Router => &mut deployment.routers[0].process,
        Role::Sidecar => &mut deployment.sidecars[0].process,
    };
    process.terminate().expect("running");
    let records: Vec<Record> = offered.await.expect("no panic");
    let status = match role {
        Role::Router => deployment.routers[0].process.wait(LIMIT).await,
        Role::Sidecar => deployment.sidecars[0].process.wait(LIMIT).await,
    };

    let summary = Summary::of(&records);
    assert_eq!(summary.whole, REQUESTS as u64, "{summary:?}");
    assert_eq!(status.expect("ends").code(), Some(0));
    let runs = runs(&deployment);
    assert_eq!(runs.len(), REQUESTS);
    assert!(runs.values().all(|count| *count == 1));
}

#[tokio::test]
async fn closing_router_is_not_ready_and_takes_no_new_connection() {
    let mut deployment = start().await;
    let generator = Generator::new(&deployment.entries()[..1]).with_limit(LIMIT);
    let schedule = Schedule::burst(Duration::ZERO, 1);
    let offered = tokio::spawn(async move { generator.run(&schedule, shot).await });
    let engines = |deployment: &Deployment| runs(deployment).len();
    assert!(wait::until(LIMIT, || engines(&deployment) == 1).await);

    deployment.routers[0].process.terminate().expect("running");
    let entry = deployment.entries()[0];
    let closed = wait::until(LIMIT, || std::net::TcpStream::connect(entry).is_err()).await;
    let records = offered.await.expect("no panic");

    assert!(closed);
    assert!(records[0].whole, "{records:?}");
    let status = deployment.routers[0]
        .process
        .wait(LIMIT)
        .await
        .expect("ends");
    assert_eq!(status.code(), Some(0));
}
