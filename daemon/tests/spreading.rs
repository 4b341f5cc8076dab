//! Documents reach every process, come what may, and never go back.

use {
    rstest::rstest,
    std::{
        net::SocketAddr,
        process::{Command, Output},
        time::{Duration, Instant},
    },
    tamarackdale_platform::http,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        process,
        proxy::{Direction, Fault, Scope},
        store::{Call, Outage},
    },
    tamarackdale_wire::{Status, codec, message::Document, path},
};

const SERVICE: &str = "ordre-app";

/// Time within which an accepted change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Time for which something that must not happen is looked for.
const ABSENCE: Duration = Duration::from_secs(2);

/// Two routers and six sidecars, of which two processes watch the store.
async fn deployment() -> Deployment {
    let layout = Layout::new(vec![Service::ordre_app(6)]);
    Deployment::start(&layout).await.expect("the system starts")
}

/// The example document with another weight, so that each is a change.
fn document(weight: u32) -> String {
    Service::ordre_app(0)
        .document
        .replace("weight = 4", &format!("weight = {weight}"))
}

fn peers(deployment: &Deployment) -> Vec<SocketAddr> {
    let routers = deployment.routers.iter().map(|router| router.peers);
    let sidecars = deployment.sidecars.iter().map(|sidecar| sidecar.peers);
    routers.chain(sidecars).collect()
}

async fn status(address: SocketAddr) -> Option<Status> {
    let url = format!("http://{address}{}", path::STATUS);
    let client = http::Client::new(&url, Duration::from_millis(500));
    codec::decode(&client.get().await.ok()?).ok()
}

/// Revision of the service's document on a process; zero if it has none.
async fn revision(address: SocketAddr) -> i64 {
    let documents = status(address).await.unwrap_or_default().documents;
    documents
        .iter()
        .find(|document| document.service == SERVICE)
        .map_or(0, |document| document.revision)
}

/// Waits until all have the revision, no longer than `limit` after `since`.
async fn wait_in_force(peers: &[SocketAddr], expected: i64, since: Instant, limit: Duration) {
    for peer in peers {
        while revision(*peer).await < expected {
            assert!(since.elapsed() < limit, "{peer} lacks revision {expected}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    assert!(since.elapsed() < limit);
}

/// Checks in the logs that no process ever put an older revision in force.
fn check_history(deployment: &Deployment) {
    let routers = deployment.routers.iter().map(|router| &router.process);
    let sidecars = deployment.sidecars.iter().map(|sidecar| &sidecar.process);
    for process in routers.chain(sidecars) {
        let revisions: Vec<i64> = process
            .logs()
            .iter()
            .filter(|line| line["message"] == "document in force" && line["service"] == SERVICE)
            .filter_map(|line| line["revision"].as_i64())
            .collect();
        assert!(!revisions.is_empty(), "{} adopted nothing", process.name());
        assert!(
            revisions.is_sorted_by(|one, next| one < next),
            "{}: {revisions:?}",
            process.name()
        );
    }
}

fn is_refusal_logged(deployment: &Deployment) -> bool {
    let routers = deployment.routers.iter().map(|router| &router.process);
    let sidecars = deployment.sidecars.iter().map(|sidecar| &sidecar.process);
    let is_refusal = |line: &serde_json::Value| {
        let message = line["message"].as_str().unwrap_or_default();
        message.starts_with("document refused") && line["service"] == SERVICE
    };
    routers
        .chain(sidecars)
        .any(|process| process.logs().iter().any(is_refusal))
}

/// Runs the operators' client against the deployment's platform.
fn client(deployment: &Deployment, arguments: &[&str]) -> Output {
    let binary = process::binary("tamarackdale").expect("the client is built");
    Command::new(binary)
        .args(arguments)
        .env("TAMARACKDALE_STORE", deployment.store.url())
        .env("TAMARACKDALE_INSTANCE_LIST", deployment.list.url())
        .output()
        .expect("the client runs")
}

#[tokio::test]
async fn change_is_in_force_everywhere_with_few_watches() {
    let deployment = deployment().await;
    let peers = peers(&deployment);

    for weight in 5..10 {
        let since = Instant::now();
        let revision = deployment.apply(SERVICE, &document(weight));
        wait_in_force(&peers, revision, since, IN_FORCE_LIMIT).await;
    }

    let since = Instant::now();
    while deployment.store.open_watches() != 2 {
        assert!(since.elapsed() < IN_FORCE_LIMIT, "two processes watch");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    check_history(&deployment);
}

#[tokio::test]
async fn change_spreads_when_the_store_goes_down_right_after_the_write() {
    let deployment = deployment().await;
    let folder = tempfile::tempdir().expect("a folder is to be had");
    let file = folder.path().join("edit.toml");
    let present = deployment
        .store
        .record(&format!("tamarackdale/documents/{SERVICE}"));
    let edited_from = present
        .expect("the document is there")
        .mod_revision
        .to_string();
    std::fs::write(&file, document(9)).expect("the folder is writable");
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
    let output = client(&deployment, &arguments);

    let shown: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    assert_eq!(output.status.code(), Some(0), "{shown}");
    assert_eq!(shown["in_force"], 8);
    let revision = shown["revision"].as_i64().expect("the revision is told");
    wait_in_force(&peers(&deployment), revision, since, IN_FORCE_LIMIT).await;
    check_history(&deployment);
}

#[tokio::test]
async fn change_known_to_one_process_spreads_without_the_store() {
    let deployment = deployment().await;
    let peers = peers(&deployment);

    let since = Instant::now();
    let expected = deployment.apply(SERVICE, &document(9));
    'told: loop {
        assert!(since.elapsed() < IN_FORCE_LIMIT);
        for peer in &peers {
            if revision(*peer).await == expected {
                break 'told;
            }
        }
    }
    deployment.store.stop(Outage::Refuse);

    wait_in_force(&peers, expected, since, IN_FORCE_LIMIT).await;
    check_history(&deployment);
}

#[tokio::test]
async fn paused_process_catches_up() {
    let deployment = deployment().await;
    let peers = peers(&deployment);
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
        last = deployment.apply(SERVICE, &document(weight));
        wait_in_force(&others, last, since, IN_FORCE_LIMIT).await;
    }

    let since = Instant::now();
    for process in paused {
        process.resume_execution().expect("the process runs");
    }

    wait_in_force(&peers, last, since, IN_FORCE_LIMIT).await;
    check_history(&deployment);
}

#[rstest]
#[case::refuse(Outage::Refuse)]
#[case::hang(Outage::Hang)]
#[tokio::test]
async fn restarted_process_takes_the_newest_from_peers(#[case] outage: Outage) {
    let mut deployment = deployment().await;
    let since = Instant::now();
    let newest = deployment.apply(SERVICE, &document(9));
    wait_in_force(&peers(&deployment), newest, since, IN_FORCE_LIMIT).await;
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
    for peer in peers(&deployment) {
        assert_eq!(revision(peer).await, newest);
    }
    check_history(&deployment);
}

#[tokio::test]
async fn process_that_cannot_ask_a_majority_is_not_ready() {
    let mut deployment = deployment().await;
    let since = Instant::now();
    let newest = deployment.apply(SERVICE, &document(9));
    wait_in_force(&peers(&deployment), newest, since, IN_FORCE_LIMIT).await;
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
        assert_eq!(
            revision(restarted).await,
            0,
            "one peer of seven is no majority"
        );
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
    assert_eq!(revision(restarted).await, newest);
}

#[tokio::test]
async fn silent_watches_are_noticed() {
    let deployment = deployment().await;
    let peers = peers(&deployment);
    deployment.store.set_watches_silent(true);

    let since = Instant::now();
    let expected = deployment.apply(SERVICE, &document(9));
    wait_in_force(&peers, expected, since, IN_FORCE_LIMIT).await;
    deployment.store.set_watches_silent(false);
    let watches = deployment.store.calls(Call::Watch);
    let since = Instant::now();
    deployment.apply(SERVICE, &document(10));

    while deployment.store.calls(Call::Watch) < watches + 2 {
        assert!(
            since.elapsed() < IN_FORCE_LIMIT,
            "the watches are opened again"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    check_history(&deployment);
}

#[tokio::test]
async fn broken_document_leaves_the_one_before_in_force() {
    let deployment = deployment().await;
    let peers = peers(&deployment);
    let before = revision(peers[0]).await;

    deployment.apply(SERVICE, "service = ");
    let since = Instant::now();
    while !is_refusal_logged(&deployment) {
        assert!(
            since.elapsed() < IN_FORCE_LIMIT,
            "the watching processes refuse it"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for peer in &peers {
        assert_eq!(revision(*peer).await, before);
    }
    let since = Instant::now();
    let mended = deployment.apply(SERVICE, &document(9));
    wait_in_force(&peers, mended, since, IN_FORCE_LIMIT).await;

    assert!(mended > before + 1);
    check_history(&deployment);
}

#[tokio::test]
async fn old_document_offered_late_changes_nothing() {
    let deployment = deployment().await;
    let peers = peers(&deployment);
    let since = Instant::now();
    let newest = deployment.apply(SERVICE, &document(9));
    wait_in_force(&peers, newest, since, IN_FORCE_LIMIT).await;

    for peer in &peers {
        offer(*peer, newest - 1, document(4)).await;
    }
    let since = Instant::now();
    let last = deployment.apply(SERVICE, &document(10));
    wait_in_force(&peers, last, since, IN_FORCE_LIMIT).await;

    check_history(&deployment);
}

#[tokio::test]
async fn connections_gone_silent_for_good_are_replaced() {
    let layout = Layout::new(vec![Service::ordre_app(6)]).with_proxies();
    let deployment = Deployment::start(&layout).await.expect("the system starts");
    let peers = peers(&deployment);
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
    let since = Instant::now();
    let newest = deployment.apply(SERVICE, &document(9));

    wait_in_force(&peers, newest, since, IN_FORCE_LIMIT).await;
    check_history(&deployment);
}

/// Offers a document to one process, as an operator's client does.
async fn offer(peer: SocketAddr, revision: i64, text: String) {
    let document = codec::encode(&Document { revision, text });
    let client = http::Client::new(&format!("http://{peer}"), IN_FORCE_LIMIT);
    let path = format!("{}/{SERVICE}", path::DOCUMENTS);
    let sent = client.post(&path, document.expect("a document can be encoded"));
    sent.await.expect("the offer is taken");
}

#[tokio::test]
async fn change_known_to_any_one_process_reaches_all() {
    let layout = Layout::new(vec![Service::ordre_app(2)]);
    let deployment = Deployment::start(&layout).await.expect("the system starts");
    let peers = peers(&deployment);
    let first = revision(peers[0]).await;
    deployment.store.stop(Outage::Refuse);

    for (revision, peer) in (first + 1..).zip(&peers) {
        let since = Instant::now();
        offer(*peer, revision, document(9)).await;
        wait_in_force(&peers, revision, since, IN_FORCE_LIMIT).await;
    }

    check_history(&deployment);
}
