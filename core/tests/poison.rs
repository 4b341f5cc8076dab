//! Requests and parts of prompts that crash backend servers: they arrive at several routers, beside
//! sound requests that are lost at the same crashes or share the other parts.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        poison::{Cause, Detector, Fingerprint, Notice, Quarantine},
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

/// A request of which only the parts of its prompt are known.
fn prompt(parts: &[u64]) -> Fingerprint {
    Fingerprint {
        request: None,
        parts: parts.to_vec(),
    }
}

/// A request of a plain service.
fn plain(digest: u64) -> Fingerprint {
    Fingerprint {
        request: Some(digest),
        parts: Vec::new(),
    }
}

/// Lets `count` crashes be observed, each at another server, at which a request is lost.
fn crash_of(detector: &mut Detector, lost: &Fingerprint, count: u64) {
    for number in 0..count {
        detector.record_crash(lost, &format!("server-{number}"), at(number));
    }
}

/// Lets `count` crashes be observed, each at another server.
fn crash(detector: &mut Detector, parts: &[u64], count: u64) {
    crash_of(detector, &prompt(parts), count);
}

/// Judges the crashes, and returns the quarantine that is in force for a request.
fn quarantine(
    detector: &mut Detector,
    request: &Fingerprint,
    now: Timestamp,
) -> Option<Quarantine> {
    detector.judge(now);
    detector.quarantine(request, now).cloned()
}

/// The parts that are blamed for the crashes of requests with these parts.
fn blamed(detector: &mut Detector, parts: &[u64], now: Timestamp) -> Option<Cause> {
    quarantine(detector, &prompt(parts), now).map(|found| found.cause)
}

/// Tells a router all that others have to tell.
fn tell(told: &[&Detector], to: &mut Detector, now: Timestamp) {
    let notices: Vec<Arc<Notice>> = told
        .iter()
        .flat_map(|router| router.own_notices(now).collect::<Vec<_>>())
        .collect();
    notices.iter().for_each(|notice| to.merge(notice, now));
}

#[test]
fn part_that_crashes_several_servers_is_quarantined_and_the_parts_of_sound_requests_are_not() {
    let mut detector = Detector::new();

    for number in 0..3 {
        detector.record_answer(&prompt(&[FIRST, OTHER]), at(number));
        detector.record_crash(
            &prompt(&[FIRST, DEADLY]),
            &format!("server-{number}"),
            at(number),
        );
    }
    detector.record_answer(&prompt(&[FIRST, OTHER]), at(3));

    let found = blamed(&mut detector, &[FIRST, DEADLY], at(3));
    assert_eq!(found, Some(Cause::Parts(vec![DEADLY])));
    assert_eq!(blamed(&mut detector, &[FIRST, OTHER], at(3)), None);
}

/// A few crashes in a row, with no answer to the first part between them but many before.
#[test]
fn part_that_was_answered_lately_is_not_blamed_for_the_one_beside_it() {
    let mut detector = Detector::new();
    detector.record_answer(&prompt(&[FIRST, OTHER]), at(0));

    crash(&mut detector, &[FIRST, DEADLY], 6);

    assert_eq!(blamed(&mut detector, &[FIRST, OTHER], at(6)), None);
    assert!(blamed(&mut detector, &[FIRST, DEADLY], at(6)).is_some());
}

/// A part that new servers cannot bear any more, such as those of a new release.
#[test]
fn part_that_was_answered_once_is_blamed_before_those_answered_since() {
    let mut detector = Detector::new();
    detector.record_answer(&prompt(&[FIRST, DEADLY]), at(0));
    detector.record_answer(&prompt(&[FIRST, OTHER]), at(1));

    crash(&mut detector, &[FIRST, DEADLY], 3);

    let found = blamed(&mut detector, &[FIRST, DEADLY], at(3));
    assert_eq!(found, Some(Cause::Parts(vec![DEADLY])));
}

/// Only one router has had requests with the first part lately; the others hear of it with the
/// crashes.
#[test]
fn router_tells_of_answers_that_its_peers_need_to_judge_a_crash() {
    let (mut knowing, mut other) = (Detector::new(), Detector::new());
    knowing.record_answer(&prompt(&[FIRST, OTHER]), at(0));
    crash(&mut other, &[FIRST, DEADLY], 3);
    let blamed_before = blamed(&mut other, &[FIRST, DEADLY], at(3));

    tell(&[&other], &mut knowing, at(3));
    tell(&[&knowing], &mut other, at(3));

    assert_eq!(blamed_before, Some(Cause::Parts(vec![FIRST, DEADLY])));
    let found = blamed(&mut other, &[FIRST, DEADLY], at(4));
    assert_eq!(found, Some(Cause::Parts(vec![DEADLY])));
}

/// Two parts that only came together: each alone is tried again, and the first crash tells.
#[test]
fn parts_that_always_came_together_are_refused_only_together() {
    let mut detector = Detector::new();
    crash(&mut detector, &[FIRST, DEADLY], 3);

    assert!(blamed(&mut detector, &[FIRST, DEADLY], at(3)).is_some());
    assert_eq!(blamed(&mut detector, &[FIRST, OTHER], at(3)), None);
    assert_eq!(blamed(&mut detector, &[OTHER, DEADLY], at(3)), None);
    detector.record_crash(&prompt(&[OTHER, DEADLY]), "server-9", at(3));

    assert!(blamed(&mut detector, &[DEADLY], at(4)).is_some());
    assert_eq!(blamed(&mut detector, &[FIRST, OTHER], at(4)), None);
}

#[test]
fn two_crashes_quarantine_nothing() {
    let mut detector = Detector::new();

    crash(&mut detector, &[DEADLY], 2);

    assert_eq!(blamed(&mut detector, &[DEADLY], at(2)), None);
}

#[test]
fn answer_clears_a_part() {
    let mut detector = Detector::new();
    crash(&mut detector, &[DEADLY], 2);

    detector.record_answer(&prompt(&[DEADLY]), at(2));
    detector.record_crash(&prompt(&[DEADLY]), "server-9", at(3));

    assert_eq!(blamed(&mut detector, &[DEADLY], at(3)), None);
}

/// Several requests with a part may be at one server when it crashes, which is one crash.
#[test]
fn one_crash_that_breaks_several_requests_counts_once() {
    let mut detector = Detector::new();

    for _ in 0..5 {
        detector.record_crash(&prompt(&[DEADLY]), "server", at(0));
    }

    assert_eq!(blamed(&mut detector, &[DEADLY], at(0)), None);
}

#[test]
fn server_that_returns_and_crashes_again_counts_again() {
    let mut detector = Detector::new();

    for number in 0..3 {
        detector.record_crash(&prompt(&[DEADLY]), "server", at(number));
    }

    assert!(blamed(&mut detector, &[DEADLY], at(3)).is_some());
}

/// Requests with the part come at any router, so none of them sees more than one crash.
#[test]
fn crashes_seen_by_several_routers_count_together() {
    let mut routers = [Detector::new(), Detector::new(), Detector::new()];
    for (number, router) in routers.iter_mut().enumerate() {
        let server = format!("server-{number}");
        router.record_crash(&prompt(&[FIRST, DEADLY]), &server, at(number as u64));
    }
    let [first, others @ ..] = &mut routers;

    // Peers repeat their notices, for instance after a reconnection.
    let others: Vec<&Detector> = others.iter().collect();
    tell(&others, first, at(3));
    tell(&others, first, at(3));

    let found = quarantine(first, &prompt(&[FIRST, DEADLY]), at(3));
    assert_eq!(found.map(|found| found.crashes), Some(3));
}

#[test]
fn answer_at_another_router_clears_a_part() {
    let mut detector = Detector::new();
    crash(&mut detector, &[DEADLY], 3);
    let answer = Notice::Answer {
        fingerprint: prompt(&[DEADLY]),
        at: at(4),
    };

    detector.merge(&answer, at(4));

    assert_eq!(blamed(&mut detector, &[DEADLY], at(4)), None);
}

/// After a quarantine, a request is tried again, and one crash is enough for the next.
#[rstest]
#[case::part(prompt(&[DEADLY]))]
#[case::request(plain(DEADLY))]
fn each_quarantine_after_the_first_follows_a_single_crash_and_is_longer(
    #[case] request: Fingerprint,
) {
    let mut detector = Detector::new();
    crash_of(&mut detector, &request, 3);
    let first = quarantine(&mut detector, &request, at(3)).expect("quarantined");

    detector.prune(first.until);
    let at_its_end = quarantine(&mut detector, &request, first.until);
    let again = first.until.plus(Duration::from_secs(60));
    detector.record_crash(&request, "server-9", again);
    let second = quarantine(&mut detector, &request, again).expect("quarantined again");

    assert_eq!(at_its_end, None);
    let length = |of: &Quarantine| of.until.since(of.last_crash);
    assert_eq!(length(&second), length(&first) * 2);
}

/// Servers that cut each stream after its head, whatever the prompt.
#[test]
fn peers_are_told_a_bounded_number_of_observations() {
    let mut detector = Detector::new();

    for part in 0..10_000 {
        detector.record_crash(&prompt(&[part]), "server", at(0));
    }

    assert!(detector.own_notices(at(0)).count() <= 256);
}

/// Many other requests are lost at crashes.
#[test]
fn memory_is_bounded_and_a_flood_of_crashes_hides_no_request() {
    let mut detector = Detector::new();
    let deadly = plain(DEADLY);
    for number in 0..3 {
        detector.record_crash(&deadly, &format!("server-{number}"), at(number));
        for other in 0..400 {
            let lost = plain(1_000 * (number + 1) + other);
            detector.record_crash(&lost, &format!("server-{number}"), at(number));
            detector.record_answer(&plain(100_000 * (number + 1) + other), at(number));
        }
    }

    let found = quarantine(&mut detector, &deadly, at(3));
    for other in 0..10_000 {
        let now = at(4).plus(Duration::from_millis(other));
        detector.record_crash(&plain(other + 1_000_000), &format!("other-{other}"), now);
        detector.record_answer(&plain(other + 2_000_000), now);
    }

    assert!(found.is_some());
    assert!(quarantine(&mut detector, &deadly, at(12)).is_some());
    assert!(detector.remembered() <= 10_000, "{}", detector.remembered());
}

#[test]
fn request_that_comes_again_and_is_lost_at_three_crashes_is_quarantined() {
    let mut detector = Detector::new();

    crash_of(&mut detector, &plain(DEADLY), 2);
    let after_two = quarantine(&mut detector, &plain(DEADLY), at(2));
    detector.record_crash(&plain(DEADLY), "server-2", at(2));

    assert_eq!(after_two, None);
    let found = quarantine(&mut detector, &plain(DEADLY), at(3)).expect("quarantined");
    assert_eq!((found.cause, found.crashes), (Cause::Request(DEADLY), 3));
    assert_eq!(quarantine(&mut detector, &plain(OTHER), at(3)), None);
}

/// A sound request is sent again after each of two crashes, and is lost at the third too.
#[test]
fn request_beside_a_deadly_one_is_not_blamed() {
    let mut detector = Detector::new();
    detector.record_crash(&plain(DEADLY), "server-8", at(0));
    for number in 0..3 {
        let server = format!("server-{number}");
        // The loss of the sound request is known first.
        detector.record_crash(&plain(OTHER), &server, at(number + 1));
        detector.judge(at(number + 1).plus(Duration::from_millis(30)));
        let later = at(number + 1).plus(Duration::from_millis(60));
        detector.record_crash(&plain(DEADLY), &server, later);
    }

    let deadly = quarantine(&mut detector, &plain(DEADLY), at(5));
    let sound = quarantine(&mut detector, &plain(OTHER), at(5));

    assert!(deadly.is_some_and(|found| found.crashes >= 3));
    assert_eq!(sound, None);
    // What another request explains does not count any more.
    detector.record_crash(&plain(OTHER), "server-9", at(6));
    assert_eq!(quarantine(&mut detector, &plain(OTHER), at(7)), None);
}

/// Two requests that were lost at the same crashes: the next crash tells which of them it is.
#[test]
fn requests_that_were_lost_together_are_told_apart_by_the_next_crash() {
    let mut detector = Detector::new();
    crash_of(&mut detector, &plain(DEADLY), 3);
    crash_of(&mut detector, &plain(OTHER), 3);

    let tied = [DEADLY, OTHER].map(|digest| quarantine(&mut detector, &plain(digest), at(4)));
    detector.record_crash(&plain(DEADLY), "server-9", at(5));
    let told = [DEADLY, OTHER].map(|digest| quarantine(&mut detector, &plain(digest), at(6)));

    assert_eq!(tied, [None, None]);
    assert!(told[0].is_some() && told[1].is_none(), "{told:?}");
}

#[test]
fn requests_that_are_always_lost_together_are_both_refused_in_the_end() {
    let mut detector = Detector::new();

    crash_of(&mut detector, &plain(DEADLY), 5);
    crash_of(&mut detector, &plain(OTHER), 5);

    for digest in [DEADLY, OTHER] {
        assert!(quarantine(&mut detector, &plain(digest), at(6)).is_some());
    }
}

/// A request that is asked all the time is at each crash of its service. The observation of who caused
/// one is lost with the router that made it, and no server is left to answer.
#[test]
fn request_that_was_answered_before_is_not_blamed_before_a_deadly_one() {
    let (mut knowing, mut other) = (Detector::new(), Detector::new());
    knowing.record_answer(&plain(OTHER), at(0));
    for number in 0..3 {
        let server = format!("server-{number}");
        let now = at(1).plus(Duration::from_millis(number * 50));
        other.record_crash(&plain(OTHER), &server, now);
        if number < 2 {
            other.record_crash(&plain(DEADLY), &server, now);
        }
    }
    tell(&[&other], &mut knowing, at(1));
    tell(&[&knowing], &mut other, at(1));

    let at_first = quarantine(&mut other, &plain(OTHER), at(2));
    other.record_crash(&plain(DEADLY), "server-9", at(3));
    other.record_crash(&plain(OTHER), "server-9", at(3));

    assert_eq!(at_first, None);
    assert!(quarantine(&mut other, &plain(DEADLY), at(4)).is_some());
    assert_eq!(quarantine(&mut other, &plain(OTHER), at(4)), None);
}

/// A request that servers cannot bear any more, such as those of a new release.
#[test]
fn request_that_was_answered_once_is_blamed_in_the_end() {
    let mut detector = Detector::new();
    detector.record_answer(&plain(DEADLY), at(0));

    for number in 0..5 {
        detector.record_crash(&plain(DEADLY), &format!("server-{number}"), at(number + 1));
    }

    assert!(quarantine(&mut detector, &plain(DEADLY), at(7)).is_some());
}

/// A request that is often asked, such as a poll, is at many crashes and answered between them.
#[test]
fn request_that_is_answered_between_crashes_is_not_blamed() {
    let mut detector = Detector::new();

    for number in 0..20 {
        detector.record_crash(&plain(OTHER), &format!("server-{number}"), at(number));
        let later = at(number).plus(Duration::from_millis(100));
        detector.record_answer(&plain(OTHER), later);
    }

    assert_eq!(quarantine(&mut detector, &plain(OTHER), at(20)), None);
}

/// One request of a prompt whose part others share comes again.
#[test]
fn parts_of_a_single_request_that_comes_again_are_not_blamed() {
    let mut detector = Detector::new();
    let deadly = Fingerprint {
        request: Some(DEADLY),
        parts: vec![FIRST],
    };
    let sound = Fingerprint {
        request: Some(OTHER),
        parts: vec![FIRST],
    };

    crash_of(&mut detector, &deadly, 4);

    assert!(quarantine(&mut detector, &deadly, at(5)).is_some());
    assert_eq!(quarantine(&mut detector, &sound, at(5)), None);
}

/// A router that starts, or was cut off, after the crashes.
#[test]
fn quarantine_is_told_to_routers_that_have_heard_of_no_crash() {
    let (mut old, mut new) = (Detector::new(), Detector::new());
    crash_of(&mut old, &plain(DEADLY), 3);
    let much_later = at(100);
    old.judge(at(3));
    old.prune(much_later);

    tell(&[&old], &mut new, much_later);

    assert!(quarantine(&mut new, &plain(DEADLY), much_later).is_some());
}

/// Guards against a flood of the same judgement where each router of a data centre tells the same
/// sidecar, which tells all of them.
#[test]
fn relay_passes_the_same_judgement_of_several_routers_on_once() {
    const TRANSFER: Duration = Duration::from_millis(20);
    let mut relay = Detector::new();
    for number in 0..5 {
        let mut router = Detector::new();
        let lost = plain(DEADLY);
        (0..3).for_each(|count| {
            let seen_at = at(count).plus(TRANSFER * number);
            router.record_crash(&lost, &format!("server-{count}"), seen_at);
        });
        router.judge(at(3));
        let told = router.own_notices(at(3)).collect::<Vec<_>>();
        told.iter().for_each(|notice| relay.relay(notice, at(3)));
    }

    let told: Vec<Arc<Notice>> = relay.own_notices(at(3)).collect();

    let quarantines = told.iter();
    let quarantines = quarantines.filter(|notice| matches!(***notice, Notice::Quarantine(_)));
    assert_eq!(quarantines.count(), 1);
    let crashes = told.iter();
    let crashes = crashes.filter(|notice| matches!(***notice, Notice::Crash { .. }));
    assert_eq!(crashes.count(), 3);
}

/// Guards against a sidecar that keeps to itself what a router tells it for the others.
#[test]
fn relay_tells_a_router_of_a_quarantine_and_of_the_answer_that_ends_it() {
    let (mut first, mut relay, mut second) = (Detector::new(), Detector::new(), Detector::new());
    let pass_on = |from: &Detector, relay: &mut Detector, now| {
        let told = from.own_notices(now).collect::<Vec<_>>();
        told.iter().for_each(|notice| relay.relay(notice, now));
    };
    crash_of(&mut first, &plain(DEADLY), 3);
    first.judge(at(3));
    pass_on(&first, &mut relay, at(3));
    tell(&[&relay], &mut second, at(3));
    let refused = quarantine(&mut second, &plain(DEADLY), at(3));

    first.record_answer(&plain(DEADLY), at(4));
    pass_on(&first, &mut relay, at(4));
    tell(&[&relay], &mut second, at(4));

    assert!(refused.is_some());
    assert_eq!(quarantine(&mut second, &plain(DEADLY), at(4)), None);
}

/// A request that was sent before its quarantine may be answered after it.
#[test]
fn answer_ends_a_quarantine_at_all_routers_whatever_order_they_hear_it_in() {
    let (mut first, mut second, mut new) = (Detector::new(), Detector::new(), Detector::new());
    crash_of(&mut first, &plain(DEADLY), 3);
    first.judge(at(3));
    let told: Vec<Arc<Notice>> = first.own_notices(at(3)).collect();
    tell(&[&first], &mut second, at(3));

    second.record_answer(&plain(DEADLY), at(4));
    tell(&[&second], &mut first, at(4));
    told.iter().for_each(|notice| second.merge(notice, at(5)));
    tell(&[&first, &second], &mut new, at(5));

    for router in [&mut first, &mut second, &mut new] {
        assert_eq!(quarantine(router, &plain(DEADLY), at(5)), None);
    }
}

/// Copies of a request that were sent before its quarantine crash servers after it.
#[test]
fn request_beside_late_copies_of_a_quarantined_one_is_not_blamed() {
    let mut detector = Detector::new();
    crash_of(&mut detector, &plain(DEADLY), 3);
    detector.judge(at(3));

    for number in 4..8 {
        let server = format!("server-{number}");
        detector.record_crash(&plain(OTHER), &server, at(number));
        detector.record_crash(&plain(DEADLY), &server, at(number));
    }

    assert_eq!(quarantine(&mut detector, &plain(OTHER), at(9)), None);
}

/// Losses are known at different routers at different times, up to what a message takes.
#[test]
fn routers_agree_on_the_request_to_blame() {
    let mut routers: Vec<Detector> = (0..8).map(|_| Detector::new()).collect();
    for number in 0..4u64 {
        let server = format!("server-{number}");
        let (one, other) = (number as usize, number as usize + 4);
        routers[one].record_crash(&plain(DEADLY), &server, at(number));
        routers[other].record_crash(&plain(100 + number), &server, at(number));
        for index in 0..routers.len() {
            let (mut receiver, mut told) = (Detector::new(), Vec::new());
            std::mem::swap(&mut receiver, &mut routers[index]);
            told.extend(routers.iter());
            tell(
                &told,
                &mut receiver,
                at(number).plus(Duration::from_millis(40)),
            );
            std::mem::swap(&mut receiver, &mut routers[index]);
        }
    }

    for router in &mut routers {
        assert!(quarantine(router, &plain(DEADLY), at(5)).is_some());
        for sound in 100..104 {
            assert_eq!(quarantine(router, &plain(sound), at(5)), None);
        }
    }
}

/// How often a sound request is refused while servers crash for other reasons: each loss is a crash
/// with the probability that the server crashed and the request was there. The rates are those of the
/// platform's heaviest disturbances: 15 % of the servers, each request sent at most four times.
#[test]
fn sound_requests_beside_unrelated_crashes_are_hardly_ever_quarantined() {
    const REQUESTS: u64 = 20_000;
    const SENT_AT_MOST: u64 = 4;
    const CRASH_PROBABILITY: f64 = 0.15;
    let mut random = StdRng::seed_from_u64(1);
    let mut detector = Detector::new();
    let mut refused = 0;

    for request in 0..REQUESTS {
        let now = Timestamp::from_millis(10_000 + request * 10);
        for attempt in 0..SENT_AT_MOST {
            let sent = now.plus(Duration::from_millis(attempt * 500));
            if quarantine(&mut detector, &plain(request), sent).is_some() {
                refused += 1;
                break;
            }
            if random.random::<f64>() >= CRASH_PROBABILITY {
                detector.record_answer(&plain(request), sent);
                break;
            }
            let server = format!("server-{}-{}", random.random_range(0..12), request / 300);
            detector.record_crash(&plain(request), &server, sent);
        }
        detector.prune(now);
    }

    // Lost three times in a row, at three servers, if nothing explains these crashes: 0.15^3.
    assert!(
        refused as f64 <= REQUESTS as f64 * 0.15f64.powi(3),
        "{refused} refused"
    );
}
