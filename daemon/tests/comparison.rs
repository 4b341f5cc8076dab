//! Which revisions are offered back to a followed instance.

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
fn revision_is_offered_once_and_only_after_a_grace() {
    let mut comparison = PeerRevisions::default();
    comparison.update(&digest("a", 4));

    let first = comparison.services_to_push([("a", 5), ("b", 1)].into_iter());
    let second = comparison.services_to_push([("a", 5), ("b", 1)].into_iter());
    let third = comparison.services_to_push([("a", 5), ("b", 1)].into_iter());
    let newer = comparison.services_to_push([("a", 6)].into_iter());

    assert!(first.is_empty());
    assert_eq!(second, ["a", "b"]);
    assert!(third.is_empty());
    assert_eq!(newer, ["a"]);
}

#[test]
fn revision_learnt_meanwhile_is_not_offered() {
    let mut comparison = PeerRevisions::default();
    comparison.update(&digest("a", 4));
    let first = comparison.services_to_push([("a", 5)].into_iter());

    comparison.update(&digest("a", 5));
    let second = comparison.services_to_push([("a", 5)].into_iter());

    assert!(first.is_empty() && second.is_empty());
}
