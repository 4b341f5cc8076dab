//! Tests that reports survive encoding and that invalid ones are rejected.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{cost::Rates, floor, id, report, tier::Rank},
    tamarackdale_wire::{Report, codec},
};

fn full_report() -> report::Report {
    report::Report {
        incarnation: id::Incarnation {
            instance: id::Instance("slibe-3".to_owned()),
            boot: id::Boot(9),
        },
        service: "slibe-llm".to_owned(),
        leaving: true,
        revision: 12,
        floor: floor::Notice {
            rank: Rank(2),
            remaining: Duration::from_millis(700),
        },
        limit: 16,
        running: 4,
        running_tokens: 400,
        unprefilled_tokens: 90,
        waiting: vec![report::WaitingWork {
            requests: 2,
            prefill_tokens: 30,
            decode_tokens: 40,
            shares: vec![report::Share {
                organisation: 77,
                weight: 3,
                tokens: 70,
            }],
        }],
        rates: Rates::new(4_000.0, 32.0),
        evicted_prefixes: vec![5, 6],
        seen: vec![id::Attempt {
            router: id::Boot(1),
            sequence: 8,
        }],
    }
}

#[test]
fn report_round_trips() {
    let report = full_report();

    let bytes = codec::encode(&Report::from(report.clone())).expect("the report is encoded");
    let decoded: Report = codec::decode(&bytes).expect("the report is decoded");

    assert_eq!(report::Report::try_from(decoded).ok(), Some(report));
}

#[rstest]
#[case::zero(0.0)]
#[case::negative(-1.0)]
#[case::not_a_number(f32::NAN)]
#[case::infinite(f32::INFINITY)]
fn report_with_an_invalid_rate_is_rejected(#[case] rate: f32) {
    let report = Report {
        decode_rate: rate,
        ..Report::from(full_report())
    };

    assert!(report::Report::try_from(report).is_err());
}
