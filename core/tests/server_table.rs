//! Registrations of backend servers, also after restorations of the store from older copies.

use {
    std::{collections::HashSet, net::SocketAddr, time::Duration},
    tamarackdale_core::{
        fleet::Member,
        outage::{Grace, Outage},
        server_table::{Outcome, Registration, ServerTable},
        time::Timestamp,
    },
};

const NOW: Timestamp = Timestamp::from_millis(1_000);

/// Grace at the beginning of a recovery.
const GRACE: Grace = Grace {
    available: Duration::from_secs(40),
    limit: Duration::from_millis(2_200),
};

fn registration(sequence: u64, is_leaving: bool) -> Registration {
    Registration {
        member: Member {
            id: "i".to_owned(),
            started_at_ms: 7,
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            service: "llm".to_owned(),
            data_centre: "a".to_owned(),
            version: "v1".to_owned(),
            slots: 4,
            is_leaving,
        },
        sequence: Some(sequence),
    }
}

fn ready(sequence: u64) -> Registration {
    registration(sequence, false)
}

fn leaving(sequence: u64) -> Registration {
    registration(sequence, true)
}

fn accepts_requests(table: &ServerTable) -> bool {
    let member = table.members().get("i");
    member.is_some_and(|member| !member.is_leaving)
}

#[test]
fn restored_entry_of_a_leaving_server_does_not_bring_it_back() {
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);
    table.register(leaving(5), 0, NOW);

    let outcomes = [
        table.register(ready(4), 1, NOW),
        table.register(ready(4), 1, NOW),
    ];

    assert_eq!(outcomes, [Outcome::Outdated; 2]);
    assert!(!accepts_requests(&table));
}

#[test]
fn restored_entry_of_a_removed_server_does_not_bring_it_back() {
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);
    table.remove("i", 0, NOW);

    let outcome = table.register(ready(4), 1, NOW);

    assert_eq!(outcome, Outcome::Outdated);
    assert!(table.members().is_empty());
}

#[test]
fn server_that_writes_again_after_a_restoration_is_used() {
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);
    table.remove("i", 0, NOW);

    table.register(ready(5), 1, NOW);

    assert!(accepts_requests(&table));
}

#[test]
fn server_that_registers_again_without_a_restoration_is_used() {
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);
    table.remove("i", 0, NOW);

    table.register(ready(4), 0, NOW);

    assert!(accepts_requests(&table));
}

#[test]
fn next_start_under_the_same_identifier_is_used() {
    let mut table = ServerTable::new();
    table.register(leaving(9), 0, NOW);
    let mut restarted = ready(1);
    restarted.member.started_at_ms = 8;

    table.register(restarted, 1, NOW);

    assert!(accepts_requests(&table));
}

#[test]
fn server_that_a_restored_store_lacks_is_kept_until_it_could_register_again() {
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);

    let early = table.retain(&HashSet::new(), Some(GRACE), 1, NOW);
    let late = table.retain(&HashSet::new(), None, 1, NOW);

    assert_eq!((early.len(), late.len()), (0, 1));
    assert!(table.members().is_empty());
}

#[test]
fn departures_are_not_remembered_for_ever() {
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);
    table.remove("i", 0, NOW);
    let later = Timestamp::from_millis(100_000);
    let mut other = ready(1);
    other.member.id = "j".to_owned();
    table.register(other, 0, later);
    table.remove("j", 0, later);

    let outcome = table.register(ready(4), 1, later);

    assert_eq!(outcome, Outcome::Applied);
}

/// Guards against a server that is gone and is kept for as long as calls to the store fail now and then.
#[test]
fn server_that_is_gone_is_removed_though_calls_to_the_store_fail_again_and_again() {
    const CALL_INTERVAL_MS: u64 = 500;
    const FAILS_EACH: u64 = 4;
    let mut outage = Outage::new(GRACE.limit);
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);

    let removed_at = (1..200).find(|call| {
        let now = NOW.plus(Duration::from_millis(call * CALL_INTERVAL_MS));
        match call % FAILS_EACH {
            0 => outage.record_failure(now),
            _ => outage.record_success(now),
        };
        // The registration is removed beside the first failure.
        *call >= FAILS_EACH
            && !table
                .retain(&HashSet::new(), outage.grace(now), 0, now)
                .is_empty()
    });

    // Two of four intervals have a successful call at both ends.
    let elapsed = removed_at.expect("never removed") * CALL_INTERVAL_MS;
    assert!(elapsed <= 7_000, "removed after {elapsed} ms");
}

/// Guards against a running server that is dropped in an outage: the time in which the store does not answer
/// is no time in which the server could register again.
#[test]
fn server_that_is_missing_is_kept_while_the_store_does_not_answer() {
    let mut outage = Outage::new(GRACE.limit);
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);
    outage.record_success(NOW);
    outage.record_failure(NOW.plus(Duration::from_millis(100)));
    let read = NOW.plus(Duration::from_millis(200));
    outage.record_success(read);
    let first = table.retain(&HashSet::new(), outage.grace(read), 0, read);

    let failures = (1..=20).map(|number| read.plus(Duration::from_secs(number)));
    for now in failures {
        outage.record_failure(now);
    }
    let returned = read.plus(Duration::from_millis(20_500));
    outage.record_success(returned);
    let second = table.retain(&HashSet::new(), outage.grace(returned), 0, returned);

    assert_eq!((first.len(), second.len()), (0, 0));
    assert!(accepts_requests(&table));
}

/// Guards against a grace that goes on from one outage to the next although the server was there between.
#[test]
fn server_that_registers_again_has_its_whole_grace_in_the_next_outage() {
    let mut table = ServerTable::new();
    table.register(ready(4), 0, NOW);
    table.lapse("i", Some(GRACE), 0, NOW);
    table.register(ready(5), 0, NOW);
    let later = Grace {
        available: GRACE.available + GRACE.limit,
        ..GRACE
    };

    let removed = table.lapse("i", Some(later), 0, NOW);

    assert_eq!(removed, None);
    assert!(!table.has_overdue(later));
}
