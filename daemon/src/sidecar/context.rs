//! What the sidecar's handlers share.

use {
    super::{dispatch::Command, task},
    crate::{
        channel::BoundedSender,
        configuration::{Access, catalogue::Shared},
    },
    gotham::state::StateData,
    std::{panic::RefUnwindSafe, time::Duration},
    tamarackdale_core::{id::Boot, report::Report},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// What the sidecar's handlers share.
#[derive(Clone)]
pub struct Context {
    /// Boot of this process.
    pub boot: Boot,
    /// Ring to the dispatch duty.
    pub dispatch: BoundedSender<Command>,
    /// Where the attempts' tasks run.
    pub tasks: task::Context,
    /// The newest report.
    pub report: watch::Receiver<Report>,
    /// Shortest time between two reports.
    pub report_interval: Duration,
    /// The documents in force.
    pub catalogue: Shared,
    /// The configuration duty.
    pub configuration: Access,
    /// Set when nothing is left to be done after closing.
    pub drained: CancellationToken,
    /// Largest request body accepted, in bytes.
    pub max_body_bytes: usize,
}

impl Context {
    /// Whether a message is meant for this boot.
    pub fn is_boot(&self, boot: u64) -> bool {
        self.boot == Boot(boot)
    }
}

impl StateData for Context {}

/// A panic in a handler leaves nothing half changed: state lives in duties, behind rings.
impl RefUnwindSafe for Context {}

impl AsRef<Access> for Context {
    fn as_ref(&self) -> &Access {
        &self.configuration
    }
}
