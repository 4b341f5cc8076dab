//! Summaries on the way from one router's clock to another's.

use {
    std::sync::Arc,
    tamarackdale_core::{
        admission::Work,
        poison::{Cause, Fingerprint, Notice, Quarantine},
        summary::Summary,
        time::Timestamp,
    },
    tamarackdale_wire::{codec, summary::Frame},
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
