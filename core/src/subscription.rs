//! Which sidecars a router follows.
//!
//! A router follows every sidecar of its own data centre. Each sidecar is also followed by a few
//! routers of other data centres, so that it is known to somebody when its own data centre has no
//! router left. A router that would know few sidecars of a service follows some more.

use {crate::rendezvous, std::collections::BTreeSet};

/// Routers of other data centres that follow a sidecar.
pub const REMOTE_FOLLOWERS: usize = 2;

/// Sidecars of a service that a router follows at least, if there are so many.
pub const MIN_FOLLOWED: usize = 32;

/// A listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member<'a> {
    /// Name.
    pub instance: &'a str,
    /// Data centre.
    pub data_centre: &'a str,
}

/// Names of the sidecars that the router `own` follows, of those of one service.
///
/// `routers` are the live ones; `own` takes part whether or not it is among them.
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
