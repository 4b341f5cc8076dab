//! Wire form of rollouts in summaries.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        revision::Revision,
        rollout::{Counts, Key, Phase, Report, Side, Target, report, statistics::Moments},
        summary::Summary,
        time::Timestamp,
    },
    tamarackdale_wire::{codec, rollout, summary::Frame},
};

/// Requests per second of the target deployment, and services among which they are divided.
const RATE: f64 = 6_900.0;
const SERVICES: f64 = 5.0;

fn counts(number: f64) -> Counts {
    Counts {
        sent: number + 1.0,
        answers: number,
        bad: 2.0,
        times: [Moments::default(), Moments::default(), times(number)],
    }
}

fn times(count: f64) -> Moments {
    Moments {
        count,
        sum: 4.0 * count,
        squares: 17.0 * count,
    }
}

fn key(side: Side, route: u32) -> Key {
    Key {
        side,
        route: route.wrapping_mul(2_654_435_761),
    }
}

fn report(phase: Phase, counts: Vec<(Key, Counts)>) -> Report {
    Report {
        service: "huvo11a".to_owned(),
        revision: Revision {
            era: 1,
            number: 123_456,
        },
        target: Target {
            to: "v2".to_owned(),
            ramp: Duration::from_secs(12),
        },
        age: Duration::from_millis(3_200),
        phase,
        is_withdrawn: false,
        old_requests: 3,
        counts,
    }
}

fn frame(rollouts: Vec<Report>) -> Frame {
    let summary = Summary {
        rollouts,
        ..Summary::default()
    };
    Frame::new(7, &summary, Timestamp::START)
}

// Guards against figures that arrive as others.
#[rstest]
#[case(Phase::Running)]
#[case(Phase::Bad("a reason".to_owned()))]
#[case(Phase::Completed)]
#[case(Phase::RolledBack)]
fn report_arrives_as_it_was_sent(#[case] phase: Phase) {
    let sent = report(phase, vec![(key(Side::New, 1), counts(10.0))]);

    let bytes = codec::encode(&frame(vec![sent.clone()])).expect("encodes");
    let received: Frame = codec::decode(&bytes).expect("decodes");

    let received = received.into_summary(Timestamp::START);
    assert_eq!(received.rollouts, [sent]);
    assert_eq!(received.invalid_rollouts, 0);
}

// Guards against a field that gateways of the previous version get although there is no rollout.
#[test]
fn summary_without_rollouts_has_the_fields_of_the_previous_version() {
    let bytes = codec::encode(&frame(Vec::new())).expect("encodes");

    // An array of nine elements.
    assert_eq!(bytes[0], 0x99);
    codec::decode::<Frame>(&bytes).expect("decodes");
}

// Guards against counts that are no counts and change a verdict.
#[rstest]
#[case::not_a_number(f32::NAN, 1, 0)]
#[case::infinite(f32::INFINITY, 1, 0)]
#[case::too_large(1.0, u32::MAX, 0)]
#[case::more_bad_than_answers(1.0, 1, 2)]
fn counts_out_of_range_are_left_out(#[case] sum: f32, #[case] answers: u32, #[case] bad: u32) {
    let mut frame = frame(vec![report(Phase::Running, Vec::new())]);
    frame.extensions.rollouts[0].counts = vec![(true, 1, 1, answers, bad, vec![(2, 1, sum, 1.0)])];

    let bytes = codec::encode(&frame).expect("encodes");
    let received: Frame = codec::decode(&bytes).expect("decodes");
    let received = received.into_summary(Timestamp::START);

    assert!(received.rollouts.is_empty());
    assert_eq!(received.invalid_rollouts, 1);
}

// Guards against a phase of a newer router that is taken for another one.
#[test]
fn unknown_phase_is_left_out() {
    let mut wire = rollout::Report::from(&report(Phase::Running, Vec::new()));
    wire.phase = 9;

    assert_eq!(Report::try_from(wire), Err(rollout::Fault::Phase));
}

// Guards against more traffic between routers during the canary of a rollout than the budget of 15 kB a
// second allows.
#[rstest]
#[case(8, 0.25)]
#[case(41, 0.82)]
#[case(103, 2.06)]
#[case(360, 2.5)]
fn reports_of_one_rollout_fit_the_budget(#[case] routers: usize, #[case] interval_s: f64) {
    for share in [0.08, 0.5] {
        let answers = RATE / SERVICES / routers as f64 * interval_s * share;
        // Probability that a route of five has got an answer of the new version within an interval.
        let changes = 1.0 - (-answers / 5.0).exp();
        let bytes: f64 = (0..=5)
            .map(|changed| binomial(changed, changes) * bytes_of_report(changed))
            .sum();
        let per_second = bytes * (routers - 1) as f64 / interval_s;
        println!("{routers} routers, share {share}: {bytes:.0} bytes, {per_second:.0} a second");
        assert!(
            per_second < 15_000.0 || share > 0.1,
            "{per_second} bytes a second"
        );
    }
}

fn binomial(changed: u32, probability: f64) -> f64 {
    let ways = [1.0, 5.0, 10.0, 10.0, 5.0, 1.0][changed as usize];
    let rest = 5 - changed as i32;
    ways * probability.powi(changed as i32) * (1.0 - probability).powi(rest)
}

/// Bytes that a report adds to a summary in which `changed` of five routes have changed.
fn bytes_of_report(changed: u32) -> f64 {
    let rows = |is_after: bool| {
        let rows = (0..10).map(move |row| {
            let is_changed = is_after && row / 2 < changed;
            row_of(row, if is_changed { 103.0 } else { 100.0 })
        });
        report(Phase::Running, rows.collect())
    };
    let news = report::changes(&[rows(false)], &[rows(true)]);
    let encode = |news| codec::encode(&frame(news)).expect("encodes").len() as f64;
    encode(news) - encode(Vec::new())
}

fn row_of(row: u32, number: f64) -> (Key, Counts) {
    let side = match row % 2 {
        0 => Side::Old,
        _ => Side::New,
    };
    (key(side, row / 2), counts(number))
}
