//! Channels between the follower and the rest of the process.

use {
    super::SavedOrigins,
    crate::gateway::store_reader::{Route, StoreReader},
    std::{
        collections::{BTreeSet, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tamarackdale_core::{
        cached_config::CachedConfig,
        fleet::Members,
        origin::Origin,
        recent,
        rollout::{Observation, Work},
        routing_config::RoutingConfig,
    },
    tamarackdale_wire::{origin, summary::SavedQuotaUse},
    tokio::sync::{mpsc, watch},
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
    /// Peer addresses of the other registered gateways, or `None` until they have been read.
    pub gateways: watch::Receiver<Option<Arc<BTreeSet<SocketAddr>>>>,
    /// Quota use that was saved before this start, or `None` until it has been read.
    pub saved_quota_use: watch::Receiver<Option<SavedQuotaUse>>,
    /// Whether a known gateway is unreachable, in which case the registrations are read again.
    pub has_unreachable_peers: watch::Sender<bool>,
    /// Which gateway calls the store for this one.
    pub route: watch::Sender<Route>,
    /// Answers the reads of other gateways.
    pub reader: Arc<StoreReader>,
    /// Quota use that this gateway must save in the store. Empty if another gateway does so.
    pub quota_use_to_save: watch::Sender<SavedQuotaUse>,
    /// What the store is to be asked and told about rollouts.
    pub rollout_work: watch::Sender<Work>,
    /// Origins of this gateway's streams, to be saved in the store, with the number of the save.
    pub origins_to_save: watch::Sender<(u64, origin::Saved)>,
    /// Number of the last save of origins that the store has acknowledged.
    origins_saved: watch::Receiver<u64>,
    /// Reads of the saved origins.
    origins: Reader<SavedOrigins>,
    /// Reads of the versions of the registered backend servers.
    versions: Reader<HashSet<Arc<Origin>>>,
}

impl StoreHandle {
    /// Waits until the store has acknowledged a save of origins, or a later one. Returns its number.
    pub async fn wait_for_origins(&self, save: u64) -> u64 {
        let mut saved = self.origins_saved.clone();
        let saved = saved.wait_for(|saved| *saved >= save).await;
        if let Some(saved) = saved.ok().map(|saved| *saved) {
            return saved;
        }
        // The follower has ended, and with it the process does.
        std::future::pending().await
    }

    /// Reads the origins of streams that all gateways have saved. `None` if the store does not respond.
    pub async fn read_origins(&self) -> Option<Arc<SavedOrigins>> {
        self.origins.read().await
    }

    /// Reads the versions of the registered backend servers. `None` if the store does not respond.
    pub async fn read_versions(&self) -> Option<Arc<HashSet<Arc<Origin>>>> {
        self.versions.read().await
    }
}

/// Requests reads from the follower.
struct Reader<T> {
    /// Number of reads that were requested.
    requested: watch::Sender<u64>,
    /// Number of the last read that has ended, and what was read.
    ended: watch::Receiver<(u64, Option<Arc<T>>)>,
}

impl<T> Clone for Reader<T> {
    fn clone(&self) -> Self {
        Self {
            requested: self.requested.clone(),
            ended: self.ended.clone(),
        }
    }
}

impl<T> Reader<T> {
    async fn read(&self) -> Option<Arc<T>> {
        let mut number = 0;
        self.requested.send_modify(|requested| {
            *requested += 1;
            number = *requested;
        });
        let mut ended = self.ended.clone();
        let read = ended.wait_for(|(ended, _)| *ended >= number).await.ok()?;
        read.1.clone()
    }
}

/// The follower's end of a [`Reader`].
pub(super) struct ReadRequests<T> {
    requested: watch::Receiver<u64>,
    ended: watch::Sender<(u64, Option<Arc<T>>)>,
}

impl<T> ReadRequests<T> {
    /// The number of the last read that was requested, once there is a new one. Requests that arrive
    /// during a read share the next one, which may know more. `None` if nobody can request any more.
    pub(super) async fn next(&mut self) -> Option<u64> {
        self.requested.changed().await.ok()?;
        Some(*self.requested.borrow_and_update())
    }

    /// Passes on what was read, or `None` if the store did not respond.
    pub(super) fn end(&self, number: u64, read: Option<T>) {
        self.ended.send_replace((number, read.map(Arc::new)));
    }
}

impl<T> Clone for ReadRequests<T> {
    fn clone(&self) -> Self {
        Self {
            requested: self.requested.clone(),
            ended: self.ended.clone(),
        }
    }
}

fn reads<T>() -> (Reader<T>, ReadRequests<T>) {
    let (requested, requested_receiver) = watch::channel(0);
    let (ended, ended_receiver) = watch::channel((0, None));
    let reader = Reader {
        requested,
        ended: ended_receiver,
    };
    let requests = ReadRequests {
        requested: requested_receiver,
        ended,
    };
    (reader, requests)
}

/// The follower's ends of the channels.
pub struct FollowerChannels {
    pub(super) configuration: watch::Sender<Option<Arc<Snapshot>>>,
    pub(super) timeouts: watch::Sender<RecentTimeouts>,
    pub(super) members: watch::Sender<Arc<Members>>,
    pub(super) gateways: watch::Sender<Option<Arc<BTreeSet<SocketAddr>>>>,
    pub(super) saved_quota_use: watch::Sender<Option<SavedQuotaUse>>,
    pub(super) has_unreachable_peers: watch::Receiver<bool>,
    pub(super) route: watch::Receiver<Route>,
    pub(super) reader: Arc<StoreReader>,
    pub(super) quota_use_to_save: watch::Receiver<SavedQuotaUse>,
    pub(super) origins_to_save: watch::Receiver<(u64, origin::Saved)>,
    pub(super) origins_saved: watch::Sender<u64>,
    pub(super) origins: ReadRequests<SavedOrigins>,
    pub(super) versions: ReadRequests<HashSet<Arc<Origin>>>,
    pub(super) rollout_work: watch::Receiver<Work>,
    pub(super) rollouts: mpsc::Sender<Observation>,
}

/// Most observations of rollouts that wait for the process.
const MAX_OBSERVATIONS: usize = 64;

/// Creates both ends of the channels. What the store has of rollouts comes by the last one.
pub fn channels() -> (FollowerChannels, StoreHandle, mpsc::Receiver<Observation>) {
    let (configuration, configuration_receiver) = watch::channel(None);
    let (timeouts, timeouts_receiver) = watch::channel(RecentTimeouts::default());
    let (members, members_receiver) = watch::channel(Arc::new(Members::new()));
    let (gateways, gateways_receiver) = watch::channel(None);
    let (saved_quota_use, saved_quota_use_receiver) = watch::channel(None);
    let (has_unreachable_peers, has_unreachable_peers_receiver) = watch::channel(false);
    let (route, route_receiver) = watch::channel(Route::Direct);
    let reader = Arc::new(StoreReader::new(route.subscribe()));
    let (quota_use_to_save, quota_use_to_save_receiver) = watch::channel(SavedQuotaUse::default());
    let (origins_to_save, origins_to_save_receiver) = watch::channel(Default::default());
    let (origins_saved, origins_saved_receiver) = watch::channel(0);
    let (origins, origin_requests) = reads();
    let (versions, version_requests) = reads();
    let (rollout_work, rollout_work_receiver) = watch::channel(Work::default());
    let (rollouts, observations) = mpsc::channel(MAX_OBSERVATIONS);
    let channels = FollowerChannels {
        configuration,
        timeouts,
        members,
        gateways,
        saved_quota_use,
        has_unreachable_peers: has_unreachable_peers_receiver,
        route: route_receiver,
        reader: Arc::clone(&reader),
        quota_use_to_save: quota_use_to_save_receiver,
        origins_to_save: origins_to_save_receiver,
        origins_saved,
        origins: origin_requests,
        versions: version_requests,
        rollout_work: rollout_work_receiver,
        rollouts,
    };
    let handle = StoreHandle {
        configuration: configuration_receiver,
        timeouts: timeouts_receiver,
        members: members_receiver,
        gateways: gateways_receiver,
        saved_quota_use: saved_quota_use_receiver,
        has_unreachable_peers,
        route,
        reader,
        quota_use_to_save,
        rollout_work,
        origins_to_save,
        origins_saved: origins_saved_receiver,
        origins,
        versions,
    };
    (channels, handle, observations)
}
