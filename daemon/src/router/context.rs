//! What the parts of a router share.

use {
    super::{claims::Claims, peer, placement::Placement},
    crate::{
        clock::Clock,
        configuration::{Access, catalogue::Shared},
        metrics::Metrics,
    },
    gotham::state::StateData,
    std::{panic::RefUnwindSafe, sync::Arc},
    tokio::sync::Semaphore,
    tokio_util::task::TaskTracker,
};

/// What the parts of a router share.
#[derive(Clone)]
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// The documents in force.
    pub catalogue: Shared,
    /// The configuration duty.
    pub configuration: Access,
    /// The placement duty.
    pub placement: Placement,
    /// The claims duty.
    pub claims: Claims,
    /// Client of the sidecars.
    pub peers: peer::Client,
    /// The process's metrics.
    pub metrics: Metrics,
    /// Where the relays run.
    pub tracker: TaskTracker,
    /// Largest request body accepted, in bytes.
    pub max_body_bytes: usize,
    /// Bytes of request bodies that may still be taken in.
    pub buffers: Arc<Semaphore>,
}

impl StateData for Context {}

/// A panic in a handler leaves nothing half changed: state lives in duties, behind rings.
impl RefUnwindSafe for Context {}

impl AsRef<Access> for Context {
    fn as_ref(&self) -> &Access {
        &self.configuration
    }
}
