//! What the handlers of a gateway share.

use {
    super::{
        follower::{Followed, Snapshot},
        peers::Publication,
        pool::Pool,
        scheduler::Scheduler,
    },
    crate::{clock::Clock, metrics::Metrics},
    gotham::state::StateData,
    std::{
        net::SocketAddr,
        panic::RefUnwindSafe,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::acquaintance::Acquaintance,
    tamarackdale_platform::Settings,
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// What the handlers of a gateway share.
#[derive(Clone)]
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// Random number of this start.
    pub boot: u64,
    /// Settings as they are now.
    pub settings: watch::Receiver<Arc<Settings>>,
    /// What the platform's store says.
    pub followed: Followed,
    /// Decides where and when requests run.
    pub scheduler: Arc<Scheduler>,
    /// Connections to backend servers.
    pub pool: Arc<Pool>,
    /// The stream of this gateway's summaries.
    pub publication: Arc<Publication>,
    /// The peers that are known.
    pub acquaintance: Arc<Mutex<Acquaintance>>,
    /// Takes the addresses of peers that introduce themselves.
    pub introduced: mpsc::Sender<SocketAddr>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Set while the process is closing: it still serves what comes.
    pub closing: CancellationToken,
    /// Set when the process takes no more requests, as they might outlast it.
    pub leaving: CancellationToken,
}

impl Context {
    /// The newest configuration, once there is one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.followed.configuration.borrow().clone()
    }

    /// The peers that are known, for a moment.
    pub fn acquaintance(&self) -> MutexGuard<'_, Acquaintance> {
        let known = self.acquaintance.lock();
        known.unwrap_or_else(PoisonError::into_inner)
    }

    /// Time that a caller's connection may stay idle.
    pub fn idle_timeout(&self) -> Duration {
        let limits = self.snapshot().map(|snapshot| snapshot.value.limits());
        limits.unwrap_or_default().idle_timeout
    }
}

impl StateData for Context {}

/// The handlers change the context only through its own locks and channels.
impl RefUnwindSafe for Context {}
