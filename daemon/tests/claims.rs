//! Bookings under faults, with real processes: claims, takeovers of claims, and store outages.

#[path = "claims/harness.rs"]
mod harness;

use {
    harness::{
        Harness, MAX_LOCAL_LATENCY, SERVICE, TIMEOUT, booking, booking_of, layout, read, runs_at,
        wait_until,
    },
    std::time::Duration,
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Layout, Service, Sidecar},
        load::Shot,
        proxy::{Direction, Fault, Scope},
        store::{self, Outage},
    },
};

#[tokio::test]
async fn lost_store_responses_neither_lose_nor_duplicate_a_booking() {
    let harness = Harness::start().await;
    let shot = booking("lost");

    harness.deployment.store.lose_answers(1);
    let record = harness.book(0, &shot).await;
    let retry = harness.book(1, &shot).await;

    assert!(record.whole && retry.whole, "{record:?} {retry:?}");
    assert_eq!(harness.runs("lost"), 1);
    harness.assert_no_violations(&[(&shot, &record), (&shot, &retry)]);
}

#[tokio::test]
async fn slow_store_delays_bookings_but_refuses_none() {
    let harness = Harness::start().await;
    let shots: Vec<Shot> = (0..4).map(|n| booking(&format!("slow-{n}"))).collect();

    harness
        .deployment
        .store
        .set_delay(Duration::from_millis(700));
    let records = shots
        .iter()
        .enumerate()
        .map(|(n, shot)| harness.book(n, shot));
    let records = futures_util::future::join_all(records).await;

    assert!(records.iter().all(|record| record.whole), "{records:#?}");
    harness.assert_no_violations(&shots.iter().zip(&records).collect::<Vec<_>>());
}

#[tokio::test]
async fn concurrent_claims_are_batched_into_few_store_calls() {
    let harness = Harness::start().await;
    let shots: Vec<Shot> = (0..30).map(|n| booking(&format!("batch-{n}"))).collect();
    let store = &harness.deployment.store;
    let before = store.calls(store::Call::Write);

    store.set_delay(Duration::from_millis(50));
    let records = shots.iter().map(|shot| harness.book(0, shot));
    let records = futures_util::future::join_all(records).await;

    let calls = store.calls(store::Call::Write) - before;
    assert!(records.iter().all(|record| record.whole), "{records:#?}");
    assert!(calls * 2 < 30, "{calls} calls for 30 claims");
    harness.assert_no_violations(&shots.iter().zip(&records).collect::<Vec<_>>());
}

#[rstest::rstest]
#[case(1)]
#[case(2)]
#[tokio::test]
async fn booking_raced_at_two_routers_runs_once_and_both_calls_succeed(#[case] sidecars: usize) {
    let layout = Layout::new(vec![Service::ordre_app(sidecars)]);
    let harness = Harness::start_with(layout).await;
    harness.set_latency(Duration::from_millis(50));
    let shots: Vec<Shot> = (0..20).map(|n| booking(&format!("race-{n}"))).collect();

    let races = shots
        .iter()
        .flat_map(|shot| [harness.book(0, shot), harness.book(1, shot)]);
    let records = futures_util::future::join_all(races).await;

    let calls: Vec<_> = shots
        .iter()
        .flat_map(|shot| [shot, shot])
        .zip(&records)
        .collect();
    assert!(records.iter().all(|record| record.whole), "{records:#?}");
    harness.assert_no_violations(&calls);
}

#[tokio::test]
async fn router_resumed_after_its_claim_was_taken_over_does_not_run_the_booking() {
    let harness = Harness::start_with(layout().with_proxies()).await;
    let shot = booking("paused");
    let router = &harness.deployment.routers[0];
    let link = router.store_proxy.as_ref().expect("the layout has proxies");
    let slow = Fault::delay(Duration::from_millis(400));

    link.inject(Scope::All, Direction::FromTarget, slow);
    let first = harness.book(0, &shot);
    let second = async {
        wait_until("claim", || harness.claims("paused").len() == 1).await;
        router.process.pause().expect("paused");
        let record = harness.book(1, &shot).await;
        router.process.resume_execution().expect("resumed");
        record
    };
    let (first, second) = tokio::join!(first, second);

    assert!(second.whole, "{second:?}");
    assert!(first.whole, "{first:?}");
    assert_eq!(harness.claims("paused").len(), 2, "not taken over");
    assert_eq!(harness.runs("paused"), 1);
    harness.assert_no_violations(&[(&shot, &first), (&shot, &second)]);
}

#[tokio::test]
async fn booking_moves_when_its_sidecar_dies_between_claim_and_grant() {
    let mut harness = Harness::start_with(layout().with_proxies()).await;
    let shot = booking("moved");
    let link = harness.deployment.routers[0].store_proxy.as_ref();
    let slow = Fault::delay(Duration::from_millis(400));

    let link = link.expect("the layout has proxies");
    link.inject(Scope::All, Direction::FromTarget, slow);
    let booked = harness.spawn_booking(0, &shot);
    wait_until("claim", || harness.claims("moved").len() == 1).await;
    let instance = harness.claims("moved")[0].instance.clone();
    let sidecars = &mut harness.deployment.sidecars;
    let claimed = sidecars.iter_mut().find(|sidecar| sidecar.name == instance);
    let claimed = claimed.expect("the claim names a sidecar");
    claimed.process.kill().expect("killed");
    let record = booked.await.expect("ends");

    assert!(record.whole, "{record:?}");
    assert_eq!(harness.claims("moved").len(), 2);
    assert_eq!(harness.runs("moved"), 1);
    harness.assert_no_violations(&[(&shot, &record)]);
}

#[tokio::test]
async fn retry_after_the_router_died_receives_the_response_of_the_first_run() {
    let mut harness = Harness::start().await;
    harness.set_latency(Duration::from_millis(500));
    let shot = booking("router-died");

    let first = harness.spawn_booking(0, &shot);
    wait_until("run", || harness.runs("router-died") == 1).await;
    harness.deployment.routers[0]
        .process
        .kill()
        .expect("killed");
    let first = first.await.expect("ends");
    let retry = harness.book(1, &shot).await;

    assert!(first.broken, "{first:?}");
    assert!(retry.whole, "{retry:?}");
    assert_eq!(harness.runs("router-died"), 1);
    harness.assert_no_violations(&[(&shot, &first), (&shot, &retry)]);
}

#[tokio::test]
async fn booking_is_not_cancelled_when_its_router_dies() {
    let layout = Layout::new(vec![Service::ordre_app(1)])
        .with_edit(
            SERVICE,
            "disconnect = \"finish\"",
            "disconnect = \"cancel\"",
        )
        .with_sidecar_flags(&["--router-absence-ms", "500"]);
    let mut harness = Harness::start_with(layout).await;
    let warm = harness.completed();
    harness.set_latency(Duration::from_secs(3));
    let shot = booking("router-died");

    let first = harness.spawn_booking(0, &shot);
    wait_until("run", || harness.runs("router-died") == 1).await;
    harness.deployment.routers[0]
        .process
        .kill()
        .expect("killed");
    let first = first.await.expect("ends");
    wait_until("end of the run", || harness.completed() > warm).await;
    let retry = harness.book(1, &shot).await;

    assert!(first.broken, "{first:?}");
    assert!(retry.whole, "{retry:?}");
    assert_eq!(harness.runs("router-died"), 1);
    harness.assert_no_violations(&[(&shot, &first), (&shot, &retry)]);
}

#[tokio::test]
async fn grant_wait_metric_distinguishes_claimed_requests() {
    let harness = Harness::start_with(Layout::new(vec![Service::ordre_app(1)])).await;
    let count = |metrics: &str, claimed: bool| {
        let name = "tamarackdale_grant_wait_seconds_count";
        let label = format!("claimed=\"{claimed}\"");
        let mut lines = metrics.lines();
        let line = lines.find(|line| line.starts_with(name) && line.contains(&label));
        line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0)
    };
    let before = harness.sidecar_metrics().await;

    for n in 0..3 {
        assert!(harness.book(n, &booking(&format!("timed-{n}"))).await.whole);
    }
    for n in 0..2 {
        assert!(
            harness
                .book(n, &read(&format!("timed-read-{n}")))
                .await
                .whole
        );
    }
    let after = harness.sidecar_metrics().await;

    assert_eq!(count(&after, true), count(&before, true) + 3, "{after}");
    assert_eq!(count(&after, false), count(&before, false) + 2, "{after}");
}

#[tokio::test]
async fn different_payload_with_the_same_key_is_refused() {
    let harness = Harness::start().await;
    let (shot, other) = (booking("reused"), booking_of("reused", "{\"item\":2}"));

    let first = harness.book(0, &shot).await;
    let second = harness.book(1, &other).await;

    assert!(first.whole, "{first:?}");
    assert_eq!(second.status, Some(422));
    assert_eq!(second.reason.as_deref(), Some("key-reused"));
    assert_eq!(second.verdict, Some(Verdict::MayHaveRun));
    assert_eq!(harness.runs("reused"), 1);
}

#[rstest::rstest]
#[case::booking(booking("sidecar-died"))]
#[case::read_that_continues_without_its_caller(read("sidecar-died").with_tier("order"))]
#[tokio::test]
async fn claimed_request_is_not_run_again_after_its_sidecar_died(#[case] shot: Shot) {
    let mut harness = Harness::start().await;
    harness.set_latency(TIMEOUT);

    let first = harness.spawn_booking(0, &shot);
    wait_until("run", || harness.runs("sidecar-died") == 1).await;
    let sidecars = &mut harness.deployment.sidecars;
    let has_run = |sidecar: &&mut Sidecar| !runs_at(sidecar, "sidecar-died").is_empty();
    let sidecar = sidecars.iter_mut().find(has_run).expect("one has run it");
    sidecar.process.kill().expect("killed");
    let killed = harness.start.elapsed();
    let first = first.await.expect("ends");
    let retry = harness.book(1, &shot).await;

    assert_eq!(first.verdict, Some(Verdict::MayHaveRun), "{first:?}");
    assert!(first.ended < killed + MAX_LOCAL_LATENCY, "{first:?}");
    assert_eq!(
        (retry.status, retry.verdict),
        (Some(409), Some(Verdict::MayHaveRun))
    );
    assert_eq!(harness.runs("sidecar-died"), 1);
    harness.assert_no_violations(&[(&shot, &first), (&shot, &retry)]);
}

#[rstest::rstest]
#[case(Outage::Refuse)]
#[case(Outage::Hang)]
#[tokio::test]
async fn bookings_are_refused_and_reads_succeed_while_the_store_is_down(#[case] outage: Outage) {
    let harness = Harness::start().await;
    let shots: Vec<Shot> = (0..12).map(|n| booking(&format!("outage-{n}"))).collect();
    let reads: Vec<Shot> = (0..12).map(|n| read(&format!("read-{n}"))).collect();
    let (early, late) = shots.split_at(6);

    harness.deployment.store.stop(outage);
    let refused = early
        .iter()
        .enumerate()
        .map(|(n, shot)| harness.book(n, shot));
    let refused = futures_util::future::join_all(refused).await;
    let known = late
        .iter()
        .enumerate()
        .map(|(n, shot)| harness.book(n, shot));
    let known = futures_util::future::join_all(known).await;
    let read = reads
        .iter()
        .enumerate()
        .map(|(n, shot)| harness.book(n, shot));
    let read = futures_util::future::join_all(read).await;
    harness.deployment.store.resume();
    let recovered = harness.book_until_served(0, &booking("again")).await;

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
        assert!(record.latency() < MAX_LOCAL_LATENCY, "{record:?}");
    }
    assert!(read.iter().all(|record| record.whole), "{read:#?}");
    assert!(recovered.whole, "{recovered:?}");
    assert_eq!(harness.runs("again"), 1);
    for shot in &shots {
        assert_eq!(harness.runs(shot.key.as_deref().expect("keyed")), 0);
    }
}
