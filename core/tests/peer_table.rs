//! Peers that come, go and are cut off.

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

/// Knows one peer, which it stops hearing at the first second.
fn acquaintance() -> PeerTable {
    let mut known = PeerTable::new();
    known.add(peer(), at(0));
    known.mark_reachable(peer());
    known.mark_unreachable(peer(), at(1));
    known
}

#[test]
fn peer_cut_off_for_long_is_known_while_it_is_registered() {
    let mut known = acquaintance();

    let is_dropped = (2..60).any(|second| known.remove_expired(peer(), true, at(second)));

    assert!(!is_dropped);
    assert_eq!(known.counts(), (1, 2));
    assert!(known.has_unreachable());
}

#[test]
fn peer_that_is_gone_is_forgotten_and_new_again_when_it_comes_back() {
    let mut known = acquaintance();

    let early = known.remove_expired(peer(), false, at(9));
    let late = known.remove_expired(peer(), false, at(12));

    assert_eq!((early, late), (false, true));
    assert_eq!(known.counts(), (1, 1));
    assert!(known.add(peer(), at(13)));
}

#[test]
fn peer_lost_again_and_again_counts_from_when_it_was_last_heard() {
    let mut known = acquaintance();

    known.mark_unreachable(peer(), at(8));
    let forgotten = known.remove_expired(peer(), false, at(12));

    assert!(forgotten);
}
