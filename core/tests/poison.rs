//! Parts of prompts that crash backend servers: requests with the part at several routers, beside
//! sound requests that share their other parts.

use {
    std::time::Duration,
    tamarackdale_core::{
        poison::{Detector, Notice, Outcome},
        time::Timestamp,
    },
};

const FIRST: u64 = 1;
const DEADLY: u64 = 2;
const OTHER: u64 = 3;

/// Time between two crashes in these tests: longer than one crash may be seen for.
const APART_MS: u64 = 1_500;

fn at(crash: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + crash * APART_MS)
}

/// Lets `count` crashes be observed, each at another server.
fn crash(detector: &mut Detector, parts: &[u64], count: u64) {
    for number in 0..count {
        detector.record_crash(parts, &format!("server-{number}"), at(number));
    }
}

#[test]
fn part_that_crashes_several_servers_is_quarantined_and_the_parts_of_sound_requests_are_not() {
    let mut detector = Detector::new();

    for number in 0..3 {
        detector.record_answer(&[FIRST, OTHER], at(number));
        detector.record_crash(&[FIRST, DEADLY], &format!("server-{number}"), at(number));
    }
    detector.record_answer(&[FIRST, OTHER], at(3));

    let quarantine = detector.quarantine(&[FIRST, DEADLY], at(3));
    assert_eq!(quarantine.map(|found| found.part), Some(DEADLY));
    assert_eq!(detector.quarantine(&[FIRST, OTHER], at(3)), None);
}

/// A few crashes in a row, with no answer to the first part between them but many before.
#[test]
fn part_that_was_answered_lately_is_not_blamed_for_the_one_beside_it() {
    let mut detector = Detector::new();
    detector.record_answer(&[FIRST, OTHER], at(0));

    crash(&mut detector, &[FIRST, DEADLY], 6);

    assert_eq!(detector.quarantine(&[FIRST, OTHER], at(6)), None);
    assert!(detector.quarantine(&[FIRST, DEADLY], at(6)).is_some());
}

/// A part that new servers cannot bear any more, such as those of a new release.
#[test]
fn part_that_was_answered_once_is_blamed_before_those_answered_since() {
    let mut detector = Detector::new();
    detector.record_answer(&[FIRST, DEADLY], at(0));
    detector.record_answer(&[FIRST, OTHER], at(1));

    crash(&mut detector, &[FIRST, DEADLY], 3);

    let quarantine = detector.quarantine(&[FIRST, DEADLY], at(3));
    assert_eq!(quarantine.map(|found| found.part), Some(DEADLY));
}

/// Only one router has had requests with the first part lately; the others hear of it with the
/// crashes.
#[test]
fn router_tells_of_answers_that_its_peers_need_to_judge_a_crash() {
    let (mut knowing, mut other) = (Detector::new(), Detector::new());
    knowing.record_answer(&[FIRST, OTHER], at(0));
    crash(&mut other, &[FIRST, DEADLY], 3);
    let blamed_before = other.quarantine(&[FIRST, DEADLY], at(3));

    for notice in other.own_notices(at(3)).collect::<Vec<_>>() {
        knowing.merge(&notice, at(3));
    }
    for notice in knowing.own_notices(at(3)).collect::<Vec<_>>() {
        other.merge(&notice, at(3));
    }

    assert_eq!(blamed_before.map(|found| found.part), Some(FIRST));
    let blamed = other.quarantine(&[FIRST, DEADLY], at(3));
    assert_eq!(blamed.map(|found| found.part), Some(DEADLY));
}

/// Two parts that only came together: each alone is tried again, and the first crash tells.
#[test]
fn parts_that_always_came_together_are_refused_only_together() {
    let mut detector = Detector::new();
    crash(&mut detector, &[FIRST, DEADLY], 3);

    assert!(detector.quarantine(&[FIRST, DEADLY], at(3)).is_some());
    assert_eq!(detector.quarantine(&[FIRST, OTHER], at(3)), None);
    assert_eq!(detector.quarantine(&[OTHER, DEADLY], at(3)), None);
    detector.record_crash(&[OTHER, DEADLY], "server-9", at(3));

    assert!(detector.quarantine(&[DEADLY], at(4)).is_some());
    assert_eq!(detector.quarantine(&[FIRST, OTHER], at(4)), None);
}

#[test]
fn two_crashes_quarantine_nothing() {
    let mut detector = Detector::new();

    crash(&mut detector, &[DEADLY], 2);

    assert_eq!(detector.quarantine(&[DEADLY], at(2)), None);
}

#[test]
fn answer_clears_a_part() {
    let mut detector = Detector::new();
    crash(&mut detector, &[DEADLY], 2);

    detector.record_answer(&[DEADLY], at(2));
    detector.record_crash(&[DEADLY], "server-9", at(3));

    assert_eq!(detector.quarantine(&[DEADLY], at(3)), None);
}

/// Several requests with a part may be at one server when it crashes, which is one crash.
#[test]
fn one_crash_that_breaks_several_requests_counts_once() {
    let mut detector = Detector::new();

    for _ in 0..5 {
        detector.record_crash(&[DEADLY], "server", at(0));
    }

    assert_eq!(detector.quarantine(&[DEADLY], at(0)), None);
}

#[test]
fn server_that_returns_and_crashes_again_counts_again() {
    let mut detector = Detector::new();

    for number in 0..3 {
        detector.record_crash(&[DEADLY], "server", at(number));
    }

    assert!(detector.quarantine(&[DEADLY], at(3)).is_some());
}

/// Requests with the part come at any router, so none of them sees more than one crash.
#[test]
fn crashes_seen_by_several_routers_count_together() {
    let mut routers = [Detector::new(), Detector::new(), Detector::new()];
    for (number, router) in routers.iter_mut().enumerate() {
        let server = format!("server-{number}");
        router.record_crash(&[FIRST, DEADLY], &server, at(number as u64));
    }
    let told: Vec<Notice> = routers
        .iter()
        .flat_map(|router| router.own_notices(at(3)).collect::<Vec<_>>())
        .collect();

    // Peers repeat their notices, for instance after a reconnection.
    for notice in told.iter().chain(&told) {
        routers[0].merge(notice, at(3));
    }

    let quarantine = routers[0].quarantine(&[FIRST, DEADLY], at(3));
    assert_eq!(quarantine.map(|found| found.crashes), Some(3));
}

#[test]
fn answer_at_another_router_clears_a_part() {
    let mut detector = Detector::new();
    crash(&mut detector, &[DEADLY], 3);
    let answer = Notice {
        parts: vec![DEADLY],
        outcome: Outcome::Answer,
        at: at(4),
    };

    detector.merge(&answer, at(4));

    assert_eq!(detector.quarantine(&[DEADLY], at(4)), None);
}

#[test]
fn quarantine_ends_and_the_part_is_forgotten() {
    let mut detector = Detector::new();
    crash(&mut detector, &[DEADLY], 3);
    let quarantine = detector.quarantine(&[DEADLY], at(3));
    let until = quarantine.expect("quarantined").until;

    detector.prune(until);
    detector.record_crash(&[DEADLY], "server-9", until);

    assert_eq!(detector.quarantine(&[DEADLY], until), None);
}

/// Servers that cut each stream after its head, whatever the prompt.
#[test]
fn peers_are_told_a_bounded_number_of_observations() {
    let mut detector = Detector::new();

    for part in 0..10_000 {
        detector.record_crash(&[part], "server", at(0));
    }

    assert!(detector.own_notices(at(0)).count() <= 128);
}

#[test]
fn memory_is_bounded() {
    let mut detector = Detector::new();
    crash(&mut detector, &[DEADLY], 3);

    for part in 100..5_000 {
        let now = at(4).plus(Duration::from_millis(part));
        detector.record_crash(&[part], "server", now);
        detector.record_answer(&[part + 10_000], now);
    }

    assert_eq!(detector.quarantine(&[DEADLY], at(4)), None);
}
