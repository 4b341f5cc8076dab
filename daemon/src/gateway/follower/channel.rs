//! What the follower tells the rest of the process, and what it is told.

use {
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc},
    tamarackdale_core::{
        cached_config::CachedConfig, fleet::Members, routing_config::RoutingConfig,
    },
    tamarackdale_wire::summary::Kept,
    tokio::sync::watch,
};

/// A configuration with the proof of its being the newest.
pub type Snapshot = CachedConfig<RoutingConfig>;

/// What the follower tells the rest of the process.
#[derive(Clone)]
pub struct Followed {
    /// The newest configuration.
    pub configuration: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Backend servers.
    pub roster: watch::Receiver<Arc<Members>>,
    /// Addresses of the registered gateways.
    pub gateways: watch::Receiver<Arc<BTreeSet<SocketAddr>>>,
    /// Use of quotas before this start, once it is known.
    pub kept: watch::Receiver<Option<Kept>>,
    /// Whether a known gateway is out of reach, so that the registrations are worth reading again.
    pub misses_peers: watch::Sender<bool>,
    /// Use of quotas that this gateway must keep in the store; empty if another one does.
    pub to_keep: watch::Sender<Kept>,
}

/// Sending ends of what the follower tells.
pub struct Publisher {
    pub(super) configuration: watch::Sender<Option<Arc<Snapshot>>>,
    pub(super) roster: watch::Sender<Arc<Members>>,
    pub(super) gateways: watch::Sender<Arc<BTreeSet<SocketAddr>>>,
    pub(super) kept: watch::Sender<Option<Kept>>,
    pub(super) misses_peers: watch::Receiver<bool>,
    pub(super) to_keep: watch::Receiver<Kept>,
}

/// Both ends of what the follower tells.
pub fn channels() -> (Publisher, Followed) {
    let (configuration, followed_configuration) = watch::channel(None);
    let (roster, followed_roster) = watch::channel(Arc::new(Members::new()));
    let (gateways, followed_gateways) = watch::channel(Arc::new(BTreeSet::new()));
    let (kept, followed_kept) = watch::channel(None);
    let (misses_peers, published_misses_peers) = watch::channel(false);
    let (to_keep, published_to_keep) = watch::channel(Kept::default());
    let publisher = Publisher {
        configuration,
        roster,
        gateways,
        kept,
        misses_peers: published_misses_peers,
        to_keep: published_to_keep,
    };
    let followed = Followed {
        configuration: followed_configuration,
        roster: followed_roster,
        gateways: followed_gateways,
        kept: followed_kept,
        misses_peers,
        to_keep,
    };
    (publisher, followed)
}
