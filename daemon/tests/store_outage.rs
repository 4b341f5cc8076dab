//! Propagation of documents and start of processes while the key-value store is down.

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

/// Time for which a test checks that something does not happen.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(2);

async fn deployment(sidecars: usize) -> Deployment {
    let layout = Layout::new(vec![Service::ordre_app(sidecars)]);
    Deployment::start(&layout)
        .await
        .expect("the deployment starts")
}

/// Waits until a revision is in force everywhere, and asserts that no process adopted an older
/// revision after a newer one.
async fn assert_in_force(deployment: &Deployment, expected: i64, since: Instant) {
    wait_in_force(
        &deployment.peers(),
        SERVICE,
        expected,
        since,
        IN_FORCE_LIMIT,
    )
    .await
    .expect("the revision is in force in time");
    for revisions in deployment.adoptions(SERVICE) {
        assert!(!revisions.is_empty());
        assert!(
            revisions.is_sorted_by(|one, next| one < next),
            "{revisions:?}"
        );
    }
}

/// Writes a change and waits until it is in force everywhere; returns its revision.
async fn change(deployment: &Deployment) -> i64 {
    let since = Instant::now();
    let newest = deployment.apply(SERVICE, &orders_with_weight(9));
    assert_in_force(deployment, newest, since).await;
    newest
}

#[tokio::test]
async fn change_propagates_when_the_store_hangs_right_after_the_write() {
    let deployment = deployment(6).await;
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let file = folder.path().join("edit.toml");
    let present = deployment
        .store
        .record(&format!("tamarackdale/documents/{SERVICE}"));
    let edited_from = present
        .expect("the document is there")
        .mod_revision
        .to_string();
    std::fs::write(&file, orders_with_weight(9)).expect("the file is written");
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
        .expect("the output has the revision");
    assert_in_force(&deployment, revision, since).await;
}

#[tokio::test]
async fn change_known_to_one_process_propagates_without_the_store() {
    let deployment = deployment(6).await;
    let peers = deployment.peers();

    let since = Instant::now();
    let expected = deployment.apply(SERVICE, &orders_with_weight(9));
    'known: loop {
        assert!(since.elapsed() < IN_FORCE_LIMIT);
        for peer in &peers {
            if revision(*peer, SERVICE).await == expected {
                break 'known;
            }
        }
    }
    deployment.store.stop(Outage::Refuse);

    assert_in_force(&deployment, expected, since).await;
}

#[tokio::test]
async fn change_offered_to_any_process_reaches_all() {
    let deployment = deployment(2).await;
    let peers = deployment.peers();
    let first = revision(peers[0], SERVICE).await;
    deployment.store.stop(Outage::Refuse);

    for (revision, peer) in (first + 1..).zip(&peers) {
        let since = Instant::now();
        let offered = offer(*peer, SERVICE, revision, orders_with_weight(9)).await;
        offered.expect("the offer is accepted");
        assert_in_force(&deployment, revision, since).await;
    }
}

#[rstest]
#[case::refuse(Outage::Refuse)]
#[case::hang(Outage::Hang)]
#[tokio::test]
async fn restarted_process_fetches_the_newest_document_from_peers(#[case] outage: Outage) {
    let mut deployment = deployment(6).await;
    let newest = change(&deployment).await;
    deployment.store.stop(outage);

    deployment.routers[0]
        .process
        .kill()
        .expect("the process runs");
    deployment.routers[0]
        .restart(&deployment.list)
        .expect("the process restarts");
    deployment.sidecars[0]
        .process
        .kill()
        .expect("the process runs");
    deployment.sidecars[0]
        .restart(&deployment.list)
        .expect("the process restarts");

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
async fn process_that_reaches_no_majority_of_peers_adopts_no_document() {
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
        .expect("the process restarts");
    let restarted = deployment.routers[0].peers;
    let since = Instant::now();
    while since.elapsed() < OBSERVATION_PERIOD {
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
