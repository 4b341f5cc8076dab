//! Summaries on the way from one router's clock to another's.

use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    tamarackdale_core::{
        admission::Work,
        fleet::containment::report::{Ejection, Report},
        poison::{Cause, Fingerprint, Notice, Quarantine},
        summary::Summary,
        time::Timestamp,
    },
    tamarackdale_wire::{
        codec,
        poison::Poison,
        statement::Statement,
        summary::{Entry, Frame, Usage},
    },
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Observations and a judgement, made at some times of one clock in milliseconds.
fn notices(crash_ms: u64, answer_ms: u64, until_ms: u64) -> Vec<Arc<Notice>> {
    let fingerprint = |request| Fingerprint {
        request,
        parts: vec![7, u64::MAX],
    };
    let quarantine = |cause| {
        Notice::Quarantine(Quarantine {
            cause,
            crashes: 3,
            last_crash: at(crash_ms),
            until: at(until_ms),
        })
    };
    let notices = [
        Notice::Crash {
            fingerprint: fingerprint(Some(9)),
            server: 3,
            at: at(crash_ms),
        },
        Notice::Answer {
            fingerprint: fingerprint(None),
            at: at(answer_ms),
        },
        quarantine(Cause::Request(9)),
        quarantine(Cause::Parts(vec![7, 8])),
    ];
    notices.map(Arc::new).into()
}

/// Routers share no clock, so observations travel with their age.
#[test]
fn observations_of_crashes_arrive_with_their_age_on_the_receivers_clock() {
    let sent = Summary {
        poison: notices(9_000, 9_500, 60_000),
        ..Summary::default()
    };
    let frame = Frame::new(1, &sent, at(10_000));
    let bytes = codec::encode(&frame).expect("encodes");

    let received: Frame = codec::decode(&bytes).expect("decodes");
    let summary = received.into_summary(at(500_000));

    assert_eq!(summary.poison, notices(499_000, 499_500, 550_000));
}

/// It would match every request.
#[test]
fn quarantine_of_nothing_is_ignored() {
    let sent = Summary {
        poison: notices(9_000, 9_500, 60_000),
        ..Summary::default()
    };
    let mut frame = Frame::new(1, &sent, at(10_000));
    for poison in &mut frame.poison {
        poison.request = None;
        poison.parts.clear();
    }

    let summary = frame.into_summary(at(10_000));

    let is_quarantine = |notice: &Arc<Notice>| matches!(**notice, Notice::Quarantine(_));
    assert!(!summary.poison.iter().any(is_quarantine));
}

/// Guards against a summary that differs from that of the previous version while nothing waits, and
/// against work that is lost on its way.
#[test]
fn work_is_absent_when_empty_and_arrives_otherwise() {
    let work = Work {
        total_s: 12.5,
        organisations: vec![(u64::MAX, 2.5)],
    };
    let sent = Summary {
        work: vec![("chat".to_owned(), work)],
        ..Summary::default()
    };

    let empty = codec::encode(&Frame::new(1, &Summary::default(), at(0))).expect("encodes");
    let bytes = codec::encode(&Frame::new(1, &sent, at(0))).expect("encodes");
    let received: Frame = codec::decode(&bytes).expect("decodes");

    // An array of the nine fields of the previous version.
    assert_eq!(empty[0], 0x99);
    assert_eq!(received.into_summary(at(0)).work, sent.work);
    codec::decode::<Frame>(&empty).expect("decodes");
}

/// A report at some time of one clock in milliseconds.
fn report(now_ms: u64) -> Report {
    Report {
        id: "s1".to_owned(),
        started_at_ms: 3,
        answered: 8,
        errors: 1,
        broken: 2,
        failures_in_row: 2,
        unreachable_in_row: 1,
        bad_in_row: 3,
        answered_since_return: 4,
        last_failure: Some(at(now_ms - 100)),
        success: Some(at(now_ms - 50)),
        paused_until: Some(at(now_ms + 200)),
        ejection: Some(Ejection {
            number: 2,
            at: at(now_ms - 700),
        }),
        is_trying: true,
        has_success_elsewhere: false,
    }
}

fn with_report(now_ms: u64) -> Frame {
    let summary = Summary {
        health: vec![report(now_ms)],
        ..Summary::default()
    };
    Frame::new(1, &summary, at(now_ms))
}

/// The budget of bytes is computed with this size (`core/tests/containment.rs`).
#[test]
fn report_of_failures_has_80_bytes_at_most() {
    let mut frame = with_report(10_000);
    frame.extensions.health[0].id = "a-server-with-an-identifier".to_owned();
    let with = codec::encode(&frame).expect("encodes");
    let without = codec::encode(&frame.without_extensions()).expect("encodes");

    assert!(
        with.len() - without.len() <= 80,
        "{}",
        with.len() - without.len()
    );
}

#[test]
fn report_of_failures_arrives_on_the_receivers_clock() {
    let bytes = codec::encode(&with_report(10_000)).expect("encodes");

    let received: Frame = codec::decode(&bytes).expect("decodes");

    let summary = received.into_summary(at(500_000));
    assert_eq!(summary.health, [report(500_000)]);
}

/// A summary as the version before reports of failures reads and writes it.
#[derive(Debug, Deserialize, Serialize)]
struct FormerFrame {
    boot: u64,
    entries: Vec<Entry>,
    usages: Vec<Usage>,
    is_complete: bool,
    waits: Vec<(String, u8, u8)>,
    floors: Vec<(String, u8, u16)>,
    #[serde(default)]
    poison: Vec<Poison>,
    #[serde(default)]
    data_centre: Option<String>,
    #[serde(default)]
    statements: Vec<Statement>,
}

/// Guards against summaries that end the connection of a peer of the former version: it takes no longer
/// arrays than it knows, so reports go only to those that have asked for them.
#[test]
fn former_version_reads_summaries_without_reports_only() {
    let with = codec::encode(&with_report(10_000)).expect("encodes");
    let without = codec::encode(&with_report(10_000).without_extensions()).expect("encodes");

    assert!(codec::decode::<FormerFrame>(&with).is_err());
    let former: FormerFrame = codec::decode(&without).expect("decodes");
    let same = codec::encode(&former).expect("encodes");
    assert_eq!(same, without);
    let frame: Frame = codec::decode(&same).expect("decodes");
    assert!(frame.extensions.health.is_empty());
}
