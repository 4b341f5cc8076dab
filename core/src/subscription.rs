//! Selection of the sidecars that a router follows.
//!
//! A router follows every sidecar of its own data centre. Each sidecar is also followed by a few
//! routers of other data centres, so that it remains known when its own data centre has no router
//! left. A router that would follow only a few sidecars of a service follows additional
//! ones.

use {crate::rendezvous, std::collections::BTreeSet};

/// Number of routers of other data centres that follow each sidecar.
pub const REMOTE_FOLLOWERS: usize = 2;

/// Minimum number of sidecars of a service that a router follows, if there are as many.
pub const MIN_FOLLOWED: usize = 32;

/// An instance in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    /// Data centre of the instance.
    pub data_centre: &'a str,
}

/// Names of those sidecars of one service that the router `own` follows.
///
/// `routers` are the live routers; `own` is included whether or not it is among them.
pub fn followed<'a>(
    own: Member<'_>,
    routers: &[Member<'_>],
    sidecars: &[Member<'a>],
) -> BTreeSet<&'a str> {
    let (mut followed, others): (Vec<Member<'a>>, Vec<Member<'a>>) = sidecars
        .iter()
        .copied()
        .partition(|sidecar| is_follower(own, routers, *sidecar));
    let missing = MIN_FOLLOWED.saturating_sub(followed.len());
    followed.extend(rendezvous::choose(
        own.instance,
        &others,
        |sidecar| sidecar.instance,
        missing,
    ));
    followed.iter().map(|sidecar| sidecar.instance).collect()
}

fn is_follower(own: Member<'_>, routers: &[Member<'_>], sidecar: Member<'_>) -> bool {
    if own.data_centre == sidecar.data_centre {
        return true;
    }
    let remote = routers
        .iter()
        .filter(|router| router.data_centre != sidecar.data_centre)
        .filter(|router| router.instance != own.instance)
        .chain([&own]);
    let chosen = rendezvous::choose(
        sidecar.instance,
        remote,
        |router| router.instance,
        REMOTE_FOLLOWERS,
    );
    chosen.contains(&&own)
}
