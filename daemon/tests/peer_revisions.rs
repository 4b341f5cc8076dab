//! Which document revisions are pushed to a peer that has reported older ones.

use {
    tamarackdale_wire::{Digest, digest::DocumentRevision},
    tamarackdaled::configuration::peer_revisions::PeerRevisions,
};

fn digest(service: &str, revision: i64) -> Digest {
    Digest {
        documents: vec![DocumentRevision {
            service: service.to_owned(),
            revision,
        }],
    }
}

#[test]
fn newer_revision_is_pushed_once_at_the_second_comparison() {
    let mut peer = PeerRevisions::default();
    peer.update(&digest("a", 4));

    let first = peer.services_to_push([("a", 5), ("b", 1)].into_iter());
    let second = peer.services_to_push([("a", 5), ("b", 1)].into_iter());
    let third = peer.services_to_push([("a", 5), ("b", 1)].into_iter());
    let newer = peer.services_to_push([("a", 6)].into_iter());

    assert!(first.is_empty());
    assert_eq!(second, ["a", "b"]);
    assert!(third.is_empty());
    assert_eq!(newer, ["a"]);
}

#[test]
fn revision_reported_before_the_second_comparison_is_not_pushed() {
    let mut peer = PeerRevisions::default();
    peer.update(&digest("a", 4));
    let first = peer.services_to_push([("a", 5)].into_iter());

    peer.update(&digest("a", 5));
    let second = peer.services_to_push([("a", 5)].into_iter());

    assert!(first.is_empty() && second.is_empty());
}
