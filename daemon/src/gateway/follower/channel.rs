//! Channels between the follower and the rest of the process.

use {
    super::SavedOrigins,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_core::{
        cached_config::CachedConfig, fleet::Members, recent, routing_config::RoutingConfig,
    },
    tamarackdale_wire::{origin, summary::SavedQuotaUse},
    tokio::sync::watch,
};

/// A configuration with the time of the last check that it is current.
pub type Snapshot = CachedConfig<RoutingConfig>;

/// Timeouts of callers' connections in the configurations that have been in force.
#[derive(Clone, Debug, Default)]
pub struct RecentTimeouts {
    /// Maximum time for which a connection may be idle.
    pub idle: recent::Maximum<Duration>,
    /// Maximum time to receive a complete head.
    pub head: recent::Maximum<Duration>,
}

/// The process's ends of the channels: the store's data as the follower last read it, and what the
/// follower needs from the process.
#[derive(Clone)]
pub struct StoreHandle {
    /// The latest configuration.
    pub configuration: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Timeouts of callers' connections.
    pub timeouts: watch::Receiver<RecentTimeouts>,
    /// Registered backend servers.
    pub members: watch::Receiver<Arc<Members>>,
    /// Peer addresses of the other registered gateways.
    pub gateways: watch::Receiver<Arc<BTreeSet<SocketAddr>>>,
    /// Quota use that was saved before this start, or `None` until it has been read.
    pub saved_quota_use: watch::Receiver<Option<SavedQuotaUse>>,
    /// Whether a known gateway is unreachable, in which case the registrations are read again.
    pub has_unreachable_peers: watch::Sender<bool>,
    /// Quota use that this gateway must save in the store. Empty if another gateway does so.
    pub quota_use_to_save: watch::Sender<SavedQuotaUse>,
    /// Origins of this gateway's streams, to be saved in the store, with the number of the save.
    pub origins_to_save: watch::Sender<(u64, origin::Saved)>,
    /// Number of the last save of origins that the store has acknowledged.
    origins_saved: watch::Receiver<u64>,
    /// Number of reads of the saved origins that were requested.
    origin_reads: watch::Sender<u64>,
    /// Number of the last read of the saved origins that has ended, and what was read.
    origins: watch::Receiver<(u64, Option<Arc<SavedOrigins>>)>,
}

impl StoreHandle {
    /// Waits until the store has acknowledged a save of origins, or a later one.
    pub async fn wait_for_origins(&self, save: u64) {
        let mut saved = self.origins_saved.clone();
        // The follower lives as long as the process.
        let _ = saved.wait_for(|saved| *saved >= save).await;
    }

    /// Reads the origins of streams that all gateways have saved. `None` if the store does not respond.
    pub async fn read_origins(&self) -> Option<Arc<SavedOrigins>> {
        let mut number = 0;
        self.origin_reads.send_modify(|requested| {
            *requested += 1;
            number = *requested;
        });
        let mut origins = self.origins.clone();
        let read = origins.wait_for(|(ended, _)| *ended >= number).await.ok()?;
        read.1.clone()
    }
}

/// The follower's ends of the channels.
pub struct FollowerChannels {
    pub(super) configuration: watch::Sender<Option<Arc<Snapshot>>>,
    pub(super) timeouts: watch::Sender<RecentTimeouts>,
    pub(super) members: watch::Sender<Arc<Members>>,
    pub(super) gateways: watch::Sender<Arc<BTreeSet<SocketAddr>>>,
    pub(super) saved_quota_use: watch::Sender<Option<SavedQuotaUse>>,
    pub(super) has_unreachable_peers: watch::Receiver<bool>,
    pub(super) quota_use_to_save: watch::Receiver<SavedQuotaUse>,
    pub(super) origins_to_save: watch::Receiver<(u64, origin::Saved)>,
    pub(super) origins_saved: watch::Sender<u64>,
    pub(super) origin_reads: watch::Receiver<u64>,
    pub(super) origins: watch::Sender<(u64, Option<Arc<SavedOrigins>>)>,
}

/// Creates both ends of the channels.
pub fn channels() -> (FollowerChannels, StoreHandle) {
    let (configuration, configuration_receiver) = watch::channel(None);
    let (timeouts, timeouts_receiver) = watch::channel(RecentTimeouts::default());
    let (members, members_receiver) = watch::channel(Arc::new(Members::new()));
    let (gateways, gateways_receiver) = watch::channel(Arc::new(BTreeSet::new()));
    let (saved_quota_use, saved_quota_use_receiver) = watch::channel(None);
    let (has_unreachable_peers, has_unreachable_peers_receiver) = watch::channel(false);
    let (quota_use_to_save, quota_use_to_save_receiver) = watch::channel(SavedQuotaUse::default());
    let (origins_to_save, origins_to_save_receiver) = watch::channel(Default::default());
    let (origins_saved, origins_saved_receiver) = watch::channel(0);
    let (origin_reads, origin_reads_receiver) = watch::channel(0);
    let (origins, origins_receiver) = watch::channel((0, None));
    let channels = FollowerChannels {
        configuration,
        timeouts,
        members,
        gateways,
        saved_quota_use,
        has_unreachable_peers: has_unreachable_peers_receiver,
        quota_use_to_save: quota_use_to_save_receiver,
        origins_to_save: origins_to_save_receiver,
        origins_saved,
        origin_reads: origin_reads_receiver,
        origins,
    };
    let handle = StoreHandle {
        configuration: configuration_receiver,
        timeouts: timeouts_receiver,
        members: members_receiver,
        gateways: gateways_receiver,
        saved_quota_use: saved_quota_use_receiver,
        has_unreachable_peers,
        quota_use_to_save,
        origins_to_save,
        origins_saved: origins_saved_receiver,
        origin_reads,
        origins: origins_receiver,
    };
    (channels, handle)
}
