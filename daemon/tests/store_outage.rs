//! Documents spread, and processes start, while the key-value service is down.

use {
    rstest::rstest,
    std::time::{Duration, Instant},
    tamarackdale_testbed::{
        deployment::{
            Deployment, Layout, Service,
            documents::{offer, orders_with_weight, revision, wait_in_force},
        },
        store::Outage,
    },
};

const SERVICE: &str = "ordre-app";

/// Time within which an accepted change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Time for which something that must not happen is looked for.
const ABSENCE: Duration = Duration::from_secs(2);

async fn deployment(sidecars: usize) -> Deployment {
    let layout = Layout::new(vec![Service::ordre_app(sidecars)]);
    Deployment::start(&layout).await.expect("the system starts")
}

/// Waits until a revision is in force everywhere, and checks that no process ever went back.
async fn check_in_force(deployment: &Deployment, expected: i64, since: Instant) {
    wait_in_force(
        &deployment.peers(),
        SERVICE,
        expected,
        since,
        IN_FORCE_LIMIT,
    )
    .await
    .expect("in force in time");
    for revisions in deployment.adoptions(SERVICE) {
        assert!(!revisions.is_empty());
        assert!(
            revisions.is_sorted_by(|one, next| one < next),
            "{revisions:?}"
        );
    }
}

async fn change(deployment: &Deployment) -> i64 {
    let since = Instant::now();
    let newest = deployment.apply(SERVICE, &orders_with_weight(9));
    check_in_force(deployment, newest, since).await;
    newest
}

#[tokio::test]
async fn change_spreads_when_the_store_goes_down_right_after_the_write() {
    let deployment = deployment(6).await;
    let folder = tempfile::tempdir().expect("a folder is to be had");
    let file = folder.path().join("edit.toml");
    let present = deployment
        .store
        .record(&format!("tamarackdale/documents/{SERVICE}"));
    let edited_from = present
        .expect("the document is there")
        .mod_revision
        .to_string();
    std::fs::write(&file, orders_with_weight(9)).expect("the folder is writable");
    let file = file.display().to_string();
    deployment.store.hang_after_writes(1);

    let since = Instant::now();
    let arguments = [
        "apply",
        &file,
        "--revision",
        &edited_from,
        "--wait-s",
        "4",
        "--json",
    ];
    let run = deployment.operate(&arguments).expect("the client runs");

    assert_eq!(
        (run.code, &run.json()["in_force"]),
        (0, &8.into()),
        "{}",
        run.stdout
    );
    let revision = run.json()["revision"]
        .as_i64()
        .expect("the revision is told");
    check_in_force(&deployment, revision, since).await;
}

#[tokio::test]
async fn change_known_to_one_process_spreads_without_the_store() {
    let deployment = deployment(6).await;
    let peers = deployment.peers();

    let since = Instant::now();
    let expected = deployment.apply(SERVICE, &orders_with_weight(9));
    'told: loop {
        assert!(since.elapsed() < IN_FORCE_LIMIT);
        for peer in &peers {
            if revision(*peer, SERVICE).await == expected {
                break 'told;
            }
        }
    }
    deployment.store.stop(Outage::Refuse);

    check_in_force(&deployment, expected, since).await;
}

#[tokio::test]
async fn change_known_to_any_one_process_reaches_all() {
    let deployment = deployment(2).await;
    let peers = deployment.peers();
    let first = revision(peers[0], SERVICE).await;
    deployment.store.stop(Outage::Refuse);

    for (revision, peer) in (first + 1..).zip(&peers) {
        let since = Instant::now();
        let offered = offer(*peer, SERVICE, revision, orders_with_weight(9)).await;
        offered.expect("the offer is taken");
        check_in_force(&deployment, revision, since).await;
    }
}

#[rstest]
#[case::refuse(Outage::Refuse)]
#[case::hang(Outage::Hang)]
#[tokio::test]
async fn restarted_process_takes_the_newest_from_peers(#[case] outage: Outage) {
    let mut deployment = deployment(6).await;
    let newest = change(&deployment).await;
    deployment.store.stop(outage);

    deployment.routers[0]
        .process
        .kill()
        .expect("the process runs");
    deployment.routers[0]
        .restart(&deployment.list)
        .expect("restarts");
    deployment.sidecars[0]
        .process
        .kill()
        .expect("the process runs");
    deployment.sidecars[0]
        .restart(&deployment.list)
        .expect("restarts");

    deployment
        .wait_until_ready()
        .await
        .expect("all become ready");
    for peer in deployment.peers() {
        assert_eq!(revision(peer, SERVICE).await, newest);
    }
    for revisions in deployment.adoptions(SERVICE) {
        assert!(
            revisions.is_sorted_by(|one, next| one < next),
            "{revisions:?}"
        );
    }
}

#[tokio::test]
async fn process_that_cannot_ask_a_majority_is_not_ready() {
    let mut deployment = deployment(6).await;
    let newest = change(&deployment).await;
    deployment.store.stop(Outage::Refuse);
    deployment.routers[0]
        .process
        .kill()
        .expect("the process runs");
    for sidecar in &deployment.sidecars {
        sidecar.process.pause().expect("the process runs");
    }

    deployment.routers[0]
        .restart(&deployment.list)
        .expect("restarts");
    let restarted = deployment.routers[0].peers;
    let since = Instant::now();
    while since.elapsed() < ABSENCE {
        let held = revision(restarted, SERVICE).await;
        assert_eq!(held, 0, "one peer of seven is no majority");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for sidecar in &deployment.sidecars {
        sidecar
            .process
            .resume_execution()
            .expect("the process runs");
    }

    deployment
        .wait_until_ready()
        .await
        .expect("all become ready");
    assert_eq!(revision(restarted, SERVICE).await, newest);
}
