//! Documents propagate to every process, and no process returns to an older revision.

use {
    std::time::{Duration, Instant},
    tamarackdale_testbed::{
        deployment::{
            Deployment, Layout, Service,
            documents::{offer, orders_with_weight, revision, wait_in_force},
        },
        proxy::{Direction, Fault, Scope},
        store::Call,
    },
};

const SERVICE: &str = "ordre-app";

/// Time within which an accepted change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Two routers and six sidecars, of which two processes watch the store.
async fn deployment() -> Deployment {
    let layout = Layout::new(vec![Service::ordre_app(6)]);
    Deployment::start(&layout)
        .await
        .expect("the deployment starts")
}

/// Writes a change and waits until it is in force everywhere; returns its revision.
async fn change(deployment: &Deployment, weight: u32) -> i64 {
    let since = Instant::now();
    let revision = deployment.apply(SERVICE, &orders_with_weight(weight));
    wait_in_force(
        &deployment.peers(),
        SERVICE,
        revision,
        since,
        IN_FORCE_LIMIT,
    )
    .await
    .expect("the revision is in force in time");
    revision
}

/// Asserts that every process adopted a revision, and none an older one after a newer one.
fn assert_revisions_increase(deployment: &Deployment) {
    for revisions in deployment.adoptions(SERVICE) {
        assert!(!revisions.is_empty());
        assert!(
            revisions.is_sorted_by(|one, next| one < next),
            "{revisions:?}"
        );
    }
}

fn is_refusal_logged(deployment: &Deployment) -> bool {
    let is_refusal = |line: &serde_json::Value| {
        let message = line["message"].as_str().unwrap_or_default();
        message.starts_with("document refused") && line["service"] == SERVICE
    };
    deployment
        .processes()
        .any(|process| process.logs().iter().any(is_refusal))
}

#[tokio::test]
async fn change_reaches_all_processes_with_two_store_watches() {
    let deployment = deployment().await;

    for weight in 5..10 {
        change(&deployment, weight).await;
    }

    let since = Instant::now();
    while deployment.store.open_watches() != 2 {
        assert!(
            since.elapsed() < IN_FORCE_LIMIT,
            "the number of open watches is not two"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_revisions_increase(&deployment);
}

#[tokio::test]
async fn paused_process_catches_up() {
    let deployment = deployment().await;
    let peers = deployment.peers();
    let paused = [
        &deployment.routers[0].process,
        &deployment.sidecars[3].process,
    ];
    for process in paused {
        process.pause().expect("the process runs");
    }
    let others = [&peers[1..5], &peers[6..]].concat();
    let mut last = 0;
    for weight in 5..8 {
        let since = Instant::now();
        last = deployment.apply(SERVICE, &orders_with_weight(weight));
        wait_in_force(&others, SERVICE, last, since, IN_FORCE_LIMIT)
            .await
            .expect("the revision is in force in time");
    }

    let since = Instant::now();
    for process in paused {
        process.resume_execution().expect("the process runs");
    }

    wait_in_force(&peers, SERVICE, last, since, IN_FORCE_LIMIT)
        .await
        .expect("the revision is in force in time");
    assert_revisions_increase(&deployment);
}

#[tokio::test]
async fn silent_watches_are_reopened() {
    let deployment = deployment().await;
    deployment.store.set_watches_silent(true);

    change(&deployment, 9).await;
    deployment.store.set_watches_silent(false);
    let watches = deployment.store.calls(Call::Watch);
    let since = Instant::now();
    deployment.apply(SERVICE, &orders_with_weight(10));

    while deployment.store.calls(Call::Watch) < watches + 2 {
        assert!(
            since.elapsed() < IN_FORCE_LIMIT,
            "the watches were not reopened"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_revisions_increase(&deployment);
}

#[tokio::test]
async fn permanently_silent_connections_are_replaced() {
    let layout = Layout::new(vec![Service::ordre_app(6)]).with_proxies();
    let deployment = Deployment::start(&layout)
        .await
        .expect("the deployment starts");
    let routers = deployment
        .routers
        .iter()
        .filter_map(|router| router.store_proxy.as_ref());
    let sidecars = deployment
        .sidecars
        .iter()
        .map(|sidecar| sidecar.peer_link());

    for link in routers.chain(sidecars) {
        link.inject(Scope::Open, Direction::Both, Fault::silence());
    }

    change(&deployment, 9).await;
    assert_revisions_increase(&deployment);
}

#[tokio::test]
async fn invalid_document_leaves_the_previous_one_in_force() {
    let deployment = deployment().await;
    let peers = deployment.peers();
    let before = revision(peers[0], SERVICE).await;

    deployment.apply(SERVICE, "service = ");
    let since = Instant::now();
    while !is_refusal_logged(&deployment) {
        assert!(
            since.elapsed() < IN_FORCE_LIMIT,
            "no process logged that it refused the document"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for peer in &peers {
        assert_eq!(revision(*peer, SERVICE).await, before);
    }
    let corrected = change(&deployment, 9).await;

    assert!(corrected > before + 1);
    assert_revisions_increase(&deployment);
}

#[tokio::test]
async fn older_document_offered_later_is_ignored() {
    let deployment = deployment().await;
    let newest = change(&deployment, 9).await;

    for peer in deployment.peers() {
        let old = orders_with_weight(4);
        let offered = offer(peer, SERVICE, newest - 1, old).await;
        offered.expect("the offer is accepted");
    }
    change(&deployment, 10).await;

    assert_revisions_increase(&deployment);
}
