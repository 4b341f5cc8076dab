//! State shared by a router's handlers and relays.

use {
    super::{claims::Claims, peer, placement::Placement},
    crate::{
        clock::Clock,
        configuration::{ConfigurationHandle, catalogue::CatalogueReceiver},
        http::memory::Account,
        metrics::Metrics,
        signal::Shutdown,
    },
    gotham::state::StateData,
    std::panic::RefUnwindSafe,
    tokio_util::task::TaskTracker,
};

/// State shared by a router's handlers and relays.
#[derive(Clone)]
pub struct Context {
    /// Clock of the process.
    pub clock: Clock,
    /// The active documents.
    pub catalogue: CatalogueReceiver,
    /// Handle to the configuration worker.
    pub configuration: ConfigurationHandle,
    /// Handle to the placement worker.
    pub placement: Placement,
    /// Handle to the claims worker.
    pub claims: Claims,
    /// Client for calls to sidecars.
    pub peers: peer::Client,
    /// Shutdown of the process.
    pub shutdown: Shutdown,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Tracks the relay tasks, so that shutdown can wait for them.
    pub tracker: TaskTracker,
    /// Largest request body accepted, in bytes.
    pub max_body_bytes: usize,
    /// Memory that callers can make the process hold.
    pub memory: Account,
}

impl StateData for Context {}

/// A panic in a handler cannot leave shared state half changed, because the state belongs to
/// worker threads that are reached over queues.
impl RefUnwindSafe for Context {}

impl AsRef<ConfigurationHandle> for Context {
    fn as_ref(&self) -> &ConfigurationHandle {
        &self.configuration
    }
}
