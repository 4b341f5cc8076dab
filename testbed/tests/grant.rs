//! What the grant costs and saves is read correctly from logs and records.

use {
    rstest::rstest,
    serde_json::{Value, json},
    std::time::Duration,
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        grant::{Death, Toll, Waits},
        load::Record,
        sample::Sample,
    },
};

/// Start of the records' times, since the epoch.
const START: Duration = Duration::from_secs(100);

/// The sidecar `slibe-llm-1`, killed ten seconds after the start.
fn death() -> Death {
    Death {
        instance: "slibe-llm-1".to_owned(),
        at: START + Duration::from_secs(10),
    }
}

fn routed(time_ms: u64, attempt: &str, sidecar: &str) -> Value {
    json!({
        "message": "routed", "time_ms": time_ms, "attempt": attempt, "sidecar": sidecar,
        "request": "slibe-llm/joiners/key",
    })
}

fn moved(attempt: &str, sidecar: &str, reason: &str) -> Value {
    json!({
        "message": "moved", "time_ms": 110_020, "attempt": attempt, "sidecar": sidecar,
        "request": "slibe-llm/joiners/key", "reason": reason,
    })
}

/// A request that was under way when the sidecar died.
fn record(verdict: Option<Verdict>, whole: bool, ended: u64) -> Record {
    Record {
        index: 0,
        service: "slibe-llm".to_owned(),
        tier: "site".to_owned(),
        key: Some("key".to_owned()),
        due: Some(Duration::from_secs(8)),
        offered: Duration::from_secs(9),
        head: None,
        first_byte: None,
        ended: Duration::from_secs(ended),
        status: None,
        verdict,
        reason: None,
        retry_after: None,
        broken: verdict.is_none(),
        whole,
    }
}

fn waiting(ending: Toll) -> Toll {
    Toll {
        waiting: 1,
        ..ending
    }
}

#[rstest]
#[case::in_time(record(Some(Verdict::Ran), true, 12), waiting(Toll { saved_in_time: 1, ..Toll::default() }))]
#[case::late(record(Some(Verdict::Ran), true, 30), waiting(Toll { saved_late: 1, ..Toll::default() }))]
#[case::refused(record(Some(Verdict::NotRun), false, 12), waiting(Toll { refused: 1, ..Toll::default() }))]
#[case::unproved(record(Some(Verdict::MayHaveRun), false, 12), waiting(Toll { waiting_lost: 1, ..Toll::default() }))]
#[case::broken(record(None, false, 12), waiting(Toll { waiting_lost: 1, ..Toll::default() }))]
fn request_without_a_grant_counts_as_waiting(#[case] record: Record, #[case] expected: Toll) {
    let lines = [
        routed(109_500, "a-1", "slibe-llm-1/boot"),
        moved("a-1", "slibe-llm-1/boot", "connection-lost"),
        routed(110_021, "a-2", "slibe-llm-2/boot"),
    ];

    let toll = death().toll(&lines, &[record], START);

    assert_eq!(toll, expected);
}

#[rstest]
#[case::granted(vec![routed(109_500, "a-1", "slibe-llm-1/boot")], 1)]
#[case::elsewhere(vec![routed(109_500, "a-1", "slibe-llm-10/boot")], 0)]
#[case::offered_to_the_dead(vec![
    routed(110_500, "a-1", "slibe-llm-1/boot"),
    moved("a-1", "slibe-llm-1/boot", "connection-lost"),
], 0)]
fn only_a_grant_at_the_dead_sidecar_is_lost(#[case] lines: Vec<Value>, #[case] lost: u64) {
    let broken = record(Some(Verdict::MayHaveRun), false, 11);

    let toll = death().toll(&lines, &[broken], START);

    let expected = Toll {
        granted_lost: lost,
        ..Toll::default()
    };
    assert_eq!(toll, expected);
}

#[test]
fn request_that_ended_before_the_death_does_not_count() {
    let lines = [routed(109_500, "a-1", "slibe-llm-1/boot")];

    let toll = death().toll(&lines, &[record(None, false, 10)], START);

    assert_eq!(toll, Toll::default());
}

#[test]
fn waits_are_told_apart_by_claim() {
    let dispatched = |micros: u64, needs_claim: bool| json!({ "message": "dispatched", "grant_wait_us": micros, "needs_claim": needs_claim });
    let lines = [
        dispatched(300, false),
        dispatched(5_000, true),
        dispatched(100, false),
        json!({ "message": "shed" }),
    ];

    let waits = Waits::of(&lines);

    assert_eq!(waits.unclaimed.quantiles().count, 2);
    assert_eq!(waits.unclaimed.quantile(0.5), Duration::from_micros(100));
    assert_eq!(waits.claimed.quantile(1.0), Duration::from_micros(5_000));
}

#[test]
fn quantile_is_the_smallest_value_that_covers_its_part() {
    let sample: Sample = (1..=100).rev().map(Duration::from_millis).collect();

    assert_eq!(sample.quantile(0.5), Duration::from_millis(50));
    assert_eq!(sample.quantile(0.99), Duration::from_millis(99));
    assert_eq!(sample.quantile(1.0), Duration::from_millis(100));
    assert_eq!(Sample::default().quantile(0.5), Duration::ZERO);
}
