//! Tests that reports survive encoding and that invalid ones are rejected.

use {
    rstest::rstest,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    std::time::Duration,
    tamarackdale_core::{
        cost::Rates,
        floor, id,
        poison::{Fingerprint, Notice},
        report,
        tier::Rank,
        time::Timestamp,
    },
    tamarackdale_wire::{Report, codec, id::Attempt, report::Work},
};

/// A report as routers and sidecars knew it that had no notices of crashes.
#[derive(Debug, Deserialize, Serialize)]
struct EarlierReport {
    instance: String,
    boot: u64,
    service: String,
    leaving: bool,
    revision: i64,
    floor: u8,
    floor_ms: u32,
    limit: u32,
    running: u32,
    running_tokens: u32,
    unprefilled_tokens: u32,
    waiting: Vec<Work>,
    prefill_rate: f32,
    decode_rate: f32,
    evicted_prefixes: Vec<u64>,
    seen: Vec<Attempt>,
}

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
        notices: Vec::new(),
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

/// Guards against routers that lose all sidecars of a newer version, and the other way round.
#[test]
fn report_is_understood_by_the_version_before_notices_of_crashes() {
    let report = Report::from(full_report());

    let told = codec::encode(&report).expect("the report is encoded");
    let earlier: EarlierReport = codec::decode(&told).expect("the earlier version decodes it");
    let told = codec::encode(&earlier).expect("the earlier report is encoded");
    let back: Report = codec::decode(&told).expect("the report of the earlier version is decoded");

    assert_eq!(back, report);
}

#[test]
fn notices_are_told_with_their_ages() {
    const CLOCKS_APART: Duration = Duration::from_secs(490);
    let sent = Timestamp::from_millis(10_000);
    let notice = |at| {
        Arc::new(Notice::Crash {
            fingerprint: Fingerprint {
                request: Some(7),
                parts: Vec::new(),
            },
            server: 3,
            at,
        })
    };
    let report = Report::from(full_report());
    let report = report.with_notices(&[notice(Timestamp::from_millis(9_400))], sent);

    let told = codec::encode(&report).expect("the report is encoded");
    let mut told: Report = codec::decode(&told).expect("the report is decoded");
    let notices = told.take_notices(sent.plus(CLOCKS_APART));

    assert_eq!(notices, [notice(Timestamp::from_millis(499_400))]);
    assert_eq!(told, Report::from(full_report()));
}
