//! State that the request handlers of a gateway share.

use {
    super::{
        follower::{Snapshot, StoreHandle},
        origins::Origins,
        pool::ConnectionPool,
        response_buffers::ResponseBuffers,
        scheduler::Scheduler,
        starts::Keepers,
        summary_broadcast::SummaryBroadcast,
    },
    crate::{
        clock::{self, Clock},
        http::{activity::Timeouts, memory::Account},
        metrics::Metrics,
        signal::Shutdown,
    },
    gotham::state::StateData,
    std::{
        net::SocketAddr,
        panic::RefUnwindSafe,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tamarackdale_core::{peer_table::PeerTable, routing_config::Limits},
    tamarackdale_platform::Settings,
    tokio::sync::{mpsc, watch},
};

/// State that the request handlers of a gateway share.
#[derive(Clone)]
pub struct Context {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Random number that identifies this start of the process.
    pub boot: u64,
    /// Current settings.
    pub settings: watch::Receiver<Arc<Settings>>,
    /// Current data of the platform's store.
    pub store: StoreHandle,
    /// Decides when each request is sent and to which backend server.
    pub scheduler: Arc<Scheduler>,
    /// Connections to backend servers.
    pub pool: Arc<ConnectionPool>,
    /// Origins of the streams that callers may take up.
    pub origins: Arc<Origins>,
    /// Memory that callers can make the process hold.
    pub memory: Account,
    /// Memory for responses that are buffered until they are complete.
    pub response_buffers: ResponseBuffers,
    /// Broadcasts this gateway's summaries to its peers.
    pub summary_broadcast: Arc<SummaryBroadcast>,
    /// Known peers and whether they are connected.
    pub known_peers: Arc<Mutex<PeerTable>>,
    /// Sends the addresses of peers that introduced themselves to the task that connects to peers.
    pub introductions: mpsc::Sender<SocketAddr>,
    /// Clients of the peers that hand out starts at limited backend servers.
    pub keepers: Arc<Keepers>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The shutdown, which limits the time of all requests once it has begun.
    pub shutdown: Shutdown,
}

impl Context {
    /// The latest configuration, or `None` before the first was read.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.store.configuration.borrow().clone()
    }

    /// Time in milliseconds since the shutdown began, or `None` while it has not, for logs.
    pub fn closing_for_ms(&self) -> Option<u64> {
        let time = self.shutdown.closing_for()?;
        Some(time.as_millis() as u64)
    }

    /// Locks the known peers.
    pub fn known_peers(&self) -> MutexGuard<'_, PeerTable> {
        let known_peers = self.known_peers.lock();
        known_peers.unwrap_or_else(PoisonError::into_inner)
    }

    /// Timeouts of callers' connections: the longest ones within the time in which a change of the
    /// configuration takes effect, since callers that have not heard of it rely on the former ones.
    pub fn connection_timeouts(&self) -> Timeouts {
        let now = clock::boottime_now();
        let window = self.settings.borrow().bounds.convergence;
        let timeouts = self.store.timeouts.borrow();
        let default = Limits::default();
        Timeouts {
            idle: timeouts
                .idle
                .get(now, window)
                .unwrap_or(default.idle_timeout),
            head: timeouts
                .head
                .get(now, window)
                .unwrap_or(default.header_timeout),
        }
    }
}

impl StateData for Context {}

/// Handlers change the context only through locks and channels, which makes unwinding safe.
impl RefUnwindSafe for Context {}
