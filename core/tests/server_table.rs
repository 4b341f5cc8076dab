//! Registrations of backend servers, also after restorations of the store from older copies.

use {
    std::{collections::HashSet, net::SocketAddr},
    tamarackdale_core::{
        fleet::Member,
        server_table::{Outcome, Registration, ServerTable},
        time::Timestamp,
    },
};

const NOW: Timestamp = Timestamp::from_millis(1_000);

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

    let early = table.retain(&HashSet::new(), true, 1, NOW);
    let late = table.retain(&HashSet::new(), false, 1, NOW);

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
