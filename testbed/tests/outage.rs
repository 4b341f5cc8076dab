//! The outage report puts every request into its phase and kind, and counts it.

use {
    hyper::Method,
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        load::{Record, Shot},
        outage::{Calls, Kind, Phase, Report, Timeline},
    },
};

fn timeline() -> Timeline {
    Timeline::new(Duration::from_secs(20), Duration::from_secs(60), true)
}

fn question(tier: &str) -> Shot {
    Shot::model("slibe-llm", "none", "sharpening", "bevel", 5).with_tier(tier)
}

fn call(service: &str, method: Method, path: &str) -> Shot {
    Shot::plain(service, "none", method, path, "")
}

/// A whole answer that took a second.
fn answered(shot: &Shot, offered: u64) -> Record {
    Record {
        index: 0,
        service: shot.service.clone(),
        tier: String::new(),
        key: None,
        due: Some(Duration::from_secs(2)),
        offered: Duration::from_secs(offered),
        head: None,
        first_byte: None,
        ended: Duration::from_secs(offered + 1),
        status: Some(200),
        verdict: Some(Verdict::Ran),
        reason: None,
        retry_after: None,
        broken: false,
        whole: true,
    }
}

fn refused(shot: &Shot, offered: u64, millis: u64, retry_after: Option<Duration>) -> Record {
    Record {
        ended: Duration::from_secs(offered) + Duration::from_millis(millis),
        status: Some(503),
        verdict: Some(Verdict::NotRun),
        retry_after,
        whole: false,
        ..answered(shot, offered)
    }
}

#[rstest]
#[case::start(0, Some(Phase::WarmUp))]
#[case::before(5, Some(Phase::Before))]
#[case::onset(25, Some(Phase::Onset))]
#[case::down(30, Some(Phase::Down))]
#[case::last_of_the_outage(84, Some(Phase::Down))]
#[case::back(85, Some(Phase::Return))]
#[case::after(90, Some(Phase::After))]
#[case::slow(105, Some(Phase::Slow))]
#[case::end(125, None)]
fn time_belongs_to_one_phase(#[case] seconds: u64, #[case] expected: Option<Phase>) {
    let phase = timeline().phase_at(Duration::from_secs(seconds));

    assert_eq!(phase, expected);
}

#[rstest]
#[case::question(question("site"), Kind::Question)]
#[case::kept_question(question("assessment"), Kind::Kept)]
#[case::read(call("ordre-app", Method::GET, "/orders/1"), Kind::Read)]
#[case::pickup(call("ordre-app", Method::POST, "/pickups"), Kind::Booking)]
#[case::report(call("dispatch-app", Method::POST, "/reports"), Kind::Booking)]
fn kind_follows_from_the_document(#[case] shot: Shot, #[case] expected: Kind) {
    assert_eq!(Kind::of(&shot), expected);
}

#[test]
fn requests_are_counted_by_what_became_of_them() {
    let booking = call("ordre-app", Method::POST, "/pickups");
    let late = Record {
        ended: Duration::from_secs(45),
        ..answered(&booking, 40)
    };
    let soon = Some(Duration::from_secs(1));
    let records = [
        answered(&booking, 40),
        late,
        refused(&booking, 40, 4, soon),
        refused(&booking, 41, 2, None),
        Record {
            verdict: Some(Verdict::MayHaveRun),
            ..refused(&booking, 40, 9_000, None)
        },
        // In another phase.
        answered(&booking, 10),
    ];
    let calls = records.iter().map(|record| (&booking, record));

    let report = Report::new(&timeline(), calls, &[]);

    let row = report.rows.iter().find(|row| row.phase == Phase::Down);
    let row = row.expect("the phase has requests");
    assert_eq!((row.offered, row.in_time, row.late), (5, 1, 1));
    assert_eq!((row.not_run, row.may_have_run, row.broken), (2, 1, 0));
    assert_eq!(row.without_retry_after, 1);
    assert_eq!((row.refusal.count, row.refusal.max_ms), (2, 4.0));
    assert_eq!(report.goodput(Phase::Down, Kind::Booking), Some(0.2));
    assert_eq!(report.goodput(Phase::Before, Kind::Booking), Some(1.0));
    assert_eq!(report.goodput(Phase::Before, Kind::Read), None);
}

#[test]
fn store_calls_are_counted_by_phase() {
    let timeline = Timeline::new(Duration::from_secs(20), Duration::from_secs(60), false);
    let calls = |reads| Calls {
        reads,
        ..Calls::default()
    };

    let report = Report::new(&timeline, [], &[calls(10), calls(50), calls(50)]);

    let reads: Vec<u64> = report.store.iter().map(|rate| rate.calls.reads).collect();
    assert_eq!(reads, [10, 40, 0]);
    assert!(report.markdown().contains("| before | 20 | 2.0 |"));
}
