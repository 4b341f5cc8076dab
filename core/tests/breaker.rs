//! Circuit breaker, retry backoff and the ledger of grants.

use {
    std::time::Duration,
    tamarackdale_core::{
        breaker::Breaker,
        failure::{Failure, Reason},
        grant::GrantTracker,
        id::{Attempt, Boot},
        retry::Backoff,
        time::Timestamp,
        verdict::Verdict,
    },
};

const INTERVAL: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(2_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn open_breaker() -> Breaker {
    let mut breaker = Breaker::new()
        .with_threshold(2)
        .with_probes(INTERVAL, TIMEOUT);
    breaker.record_failure(at(0));
    breaker.record_failure(at(0));
    breaker
}

#[test]
fn breaker_opens_after_consecutive_failures() {
    let mut breaker = Breaker::new().with_threshold(2);

    breaker.record_failure(at(0));
    breaker.record_success();
    breaker.record_failure(at(0));
    let before = breaker.check(at(0));
    breaker.record_failure(at(0));
    let after = breaker.check(at(0));

    assert_eq!(before, Ok(()));
    assert!(after.is_err_and(|delay| delay > Duration::ZERO));
}

#[test]
fn open_breaker_sends_one_probe_at_a_time() {
    let mut breaker = open_breaker();

    let times = [0, 500, 501, 1_100, 2_499, 2_500];
    let probes = times.map(|millis| breaker.start_probe(at(millis)));

    assert_eq!(probes, [false, true, false, false, false, true]);
}

#[test]
fn failed_probe_keeps_the_breaker_open() {
    let mut breaker = open_breaker();

    let first = breaker.start_probe(at(500));
    breaker.record_failure(at(600));
    let early = breaker.start_probe(at(900));
    let second = breaker.start_probe(at(1_000));

    assert_eq!((first, early, second), (true, false, true));
    assert!(breaker.is_open());
}

#[test]
fn successful_probe_closes_the_breaker() {
    let mut breaker = open_breaker();

    breaker.start_probe(at(500));
    breaker.record_success();

    assert_eq!(breaker.check(at(500)), Ok(()));
    assert!(!breaker.start_probe(at(5_000)));
}

#[test]
fn backoff_doubles_within_its_bounds() {
    let backoff = Backoff::new(Duration::from_millis(20), Duration::from_millis(100));

    for (count, full) in [(0, 20), (1, 40), (2, 80), (3, 100), (40, 100)] {
        for seed in 0..50 {
            let delay = backoff.delay(count, seed);

            assert!(delay >= Duration::from_millis(full / 2));
            assert!(delay <= Duration::from_millis(full));
        }
    }
    assert_ne!(backoff.delay(3, 1), backoff.delay(3, 2));
}

#[test]
fn ledger_allows_one_grant_until_proof() {
    let [first, second] = [0, 1].map(|sequence| Attempt {
        router: Boot(1),
        sequence,
    });
    let mut ledger = GrantTracker::new();

    let before = ledger.verdict();
    ledger.reserve(first).expect("nothing is granted yet");
    let refused = ledger.reserve(second);
    ledger.release(second);
    let granted = ledger.verdict();
    let unproved = ledger.refine_verdict(Failure::may_have_run(Reason::WrongIncarnation));
    ledger.release(first);
    let proved = ledger.refine_verdict(Failure::may_have_run(Reason::WrongIncarnation));

    assert_eq!(before, Verdict::NotRun);
    assert_eq!(refused, Err(Failure::not_run(Reason::Void)));
    assert_eq!(granted, Verdict::MayHaveRun);
    assert_eq!(unproved.verdict, Verdict::MayHaveRun);
    assert_eq!(proved.verdict, Verdict::NotRun);
    assert_eq!(ledger.reserve(second), Ok(()));
    assert_eq!(ledger.outstanding(), Some(second));
}
