//! Which changes of loads peers of other cells are told at once.

use tamarackdale_core::{
    fleet::{Contribution, Fleet, Load, Member, Members, Speed},
    load_throttle::LoadThrottle,
    time::Timestamp,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000 + millis)
}

/// A throttle of a group that began a second before `at(0)`.
fn started() -> LoadThrottle {
    let mut throttle = LoadThrottle::new();
    throttle.apply(&mut Vec::new(), |_| None, Timestamp::from_millis(0));
    throttle
}

fn entry(id: &str, requests: u32) -> Contribution {
    Contribution {
        id: id.to_owned(),
        load: Load {
            requests,
            prompt_tokens: 0,
        },
        speed: None,
        measurements: 0,
    }
}

/// Requests by server in the summary that is sent, while `free` of the slots of each are free.
fn sent(
    throttle: &mut LoadThrottle,
    entries: &[Contribution],
    free: f64,
    now: Timestamp,
) -> Vec<(String, u32)> {
    let mut entries = entries.to_vec();
    throttle.apply(&mut entries, |_| Some(free), now);
    requests(&entries)
}

fn requests(entries: &[Contribution]) -> Vec<(String, u32)> {
    let entries = entries.iter();
    entries
        .map(|entry| (entry.id.clone(), entry.load.requests))
        .collect()
}

fn told(requests: u32) -> Vec<(String, u32)> {
    vec![("a".to_owned(), requests)]
}

/// Guards against changes that decide nothing and cost bytes, and against those that are never sent.
#[test]
fn change_at_a_server_with_free_slots_is_sent_once_a_second() {
    let mut throttle = started();
    sent(&mut throttle, &[entry("a", 1)], 0.26, at(0));

    let early = sent(&mut throttle, &[entry("a", 2)], 0.26, at(999));
    let due = sent(&mut throttle, &[entry("a", 3)], 0.26, at(1_000));
    let next = sent(&mut throttle, &[entry("a", 0)], 0.26, at(1_250));

    assert_eq!((early, due, next), (told(1), told(3), told(3)));
}

/// Guards against a server that other cells overload since they hear late that it is nearly full.
#[test]
fn change_at_a_server_that_is_short_of_slots_is_sent_at_once() {
    let mut throttle = started();
    sent(&mut throttle, &[entry("a", 1)], 1.0, at(0));

    let quarter_free = sent(&mut throttle, &[entry("a", 2)], 0.25, at(10));
    let full = sent(&mut throttle, &[entry("a", 3)], 0.0, at(20));

    assert_eq!((quarter_free, full), (told(2), told(3)));
}

/// Guards against a load that is held back since the sender does not know the number of slots.
#[test]
fn change_at_an_unregistered_server_is_sent_at_once() {
    let mut throttle = started();
    sent(&mut throttle, &[entry("a", 1)], 1.0, at(0));
    let mut entries = vec![entry("a", 2)];

    throttle.apply(&mut entries, |_| None, at(10));

    assert_eq!(requests(&entries), told(2));
}

/// Guards against the names of all servers being sent to all gateways: most send no request to most.
#[test]
fn idle_server_is_not_mentioned_before_its_first_request() {
    let mut throttle = started();
    let idle = sent(&mut throttle, &[entry("a", 0)], 1.0, at(0));
    let mut measured = vec![entry("a", 0)];
    measured[0].speed = Some(Speed::new());

    throttle.apply(&mut measured, |_| Some(1.0), at(10));
    let later = sent(&mut throttle, &[entry("a", 0)], 1.0, at(20));

    assert_eq!(idle, []);
    assert_eq!(requests(&measured), told(0));
    assert_eq!(later, told(0));
}

/// Guards against a peer that keeps a load for ever: it joined while the load was 2, and the load that
/// the others were told, 1, is not sent again when it returns to it.
#[test]
fn new_peer_gets_the_loads_that_later_changes_refer_to() {
    let mut throttle = started();
    sent(&mut throttle, &[entry("a", 1)], 1.0, at(0));
    sent(&mut throttle, &[entry("a", 2)], 1.0, at(10));
    let mut first = vec![entry("a", 2), entry("b", 0), entry("c", 5)];

    throttle.replace_by_told(&mut first, true);

    let expected = [("a".to_owned(), 1)];
    assert_eq!(requests(&first), expected);
}

/// Guards against requests of milliseconds that count for a second since a group of peers began with them:
/// those of 13 gateways made a server with 8 slots look full.
#[test]
fn first_change_of_a_group_waits_for_a_second() {
    let mut throttle = LoadThrottle::new();

    let first = sent(&mut throttle, &[entry("a", 1)], 1.0, at(0));
    let short = sent(&mut throttle, &[entry("a", 7)], 0.1, at(10));
    let due = sent(&mut throttle, &[entry("a", 2)], 1.0, at(1_000));

    assert_eq!((first, short, due), (vec![], told(7), told(2)));
}

/// Guards against a load that stays for ever at a peer that was told it as one of the same cell: requests
/// of the other data centre then found the server full.
#[test]
fn peer_that_changes_its_group_hears_of_idle_servers_too() {
    let throttle = LoadThrottle::new();
    let mut entries = vec![entry("a", 0)];

    throttle.replace_by_told(&mut entries, false);

    assert_eq!(requests(&entries), told(0));
}

/// Guards against a server that starts again under the same identifier and is held to its former load.
#[test]
fn removed_server_is_forgotten() {
    let mut throttle = started();
    sent(&mut throttle, &[entry("a", 1), entry("b", 1)], 1.0, at(0));
    sent(&mut throttle, &[entry("b", 1)], 1.0, at(10));

    let again = sent(&mut throttle, &[entry("a", 0), entry("b", 1)], 1.0, at(20));

    assert_eq!(again, [("b".to_owned(), 1)]);
}

/// Guards against a server that counts as free because the requests of other routers are left out.
#[test]
fn free_slots_are_counted_by_the_load_of_all_routers() {
    let member = Member {
        id: "a".to_owned(),
        started_at_ms: 1,
        address: "10.0.0.9:80".parse().expect("an address"),
        service: "chat".to_owned(),
        data_centre: "vejle-a".to_owned(),
        version: String::new(),
        slots: 8,
        is_leaving: false,
    };
    let mut fleet = Fleet::new();
    fleet.update_members(&Members::from([("a".to_owned(), member)]), at(0));
    let load = |requests| entry("a", requests).load;

    let idle = fleet.free_fraction("a", at(1));
    fleet.merge_load(1, "a", load(2));
    fleet.merge_load(2, "a", load(4));
    let used = fleet.free_fraction("a", at(1));
    fleet.merge_load(2, "a", load(9));
    let over = fleet.free_fraction("a", at(1));

    assert_eq!((idle, used, over), (Some(1.0), Some(0.25), Some(0.0)));
    assert_eq!(fleet.free_fraction("b", at(1)), None);
}
