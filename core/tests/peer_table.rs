//! Peers that are added, become unreachable and expire.

use {
    std::net::SocketAddr,
    tamarackdale_core::{peer_table::PeerTable, time::Timestamp},
};

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn peer() -> SocketAddr {
    "127.0.0.2:1".parse().expect("an address")
}

/// A table with one peer, which is unreachable from second 1 on.
fn table_with_unreachable_peer() -> PeerTable {
    let mut table = PeerTable::new();
    table.add(peer(), at(0));
    table.mark_reachable(peer(), "a");
    table.mark_unreachable(peer(), at(1));
    table
}

#[test]
fn unreachable_peer_is_kept_while_it_is_registered() {
    let mut table = table_with_unreachable_peer();

    let is_removed = (2..60).any(|second| table.remove_expired(peer(), true, at(second)));

    assert!(!is_removed);
    assert_eq!(table.counts(), (1, 2));
    assert!(table.has_unreachable());
}

#[test]
fn unregistered_peer_expires_and_is_new_when_added_again() {
    let mut table = table_with_unreachable_peer();

    let early = table.remove_expired(peer(), false, at(9));
    let late = table.remove_expired(peer(), false, at(12));

    assert_eq!((early, late), (false, true));
    assert_eq!(table.counts(), (1, 1));
    assert!(table.add(peer(), at(13)));
}

#[test]
fn repeated_loss_does_not_extend_the_retention() {
    let mut table = table_with_unreachable_peer();

    table.mark_unreachable(peer(), at(8));
    let is_removed = table.remove_expired(peer(), false, at(12));

    assert!(is_removed);
}

#[test]
fn layout_counts_reachable_peers_by_data_centre() {
    let address = |number: u8| SocketAddr::from(([127, 0, 0, number], 1));
    let mut table = PeerTable::new();
    for (number, data_centre) in [(1, "a"), (2, "a"), (3, "b"), (4, "a")] {
        table.mark_reachable(address(number), data_centre);
    }
    table.mark_unreachable(address(4), at(1));
    table.add(address(5), at(1));

    let layout = table.layout("a");

    assert_eq!((layout.same_data_centre, layout.other_data_centres), (2, 1));
}
