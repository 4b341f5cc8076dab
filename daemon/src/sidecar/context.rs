//! State shared by the sidecar's handlers.

use {
    super::{dispatch::Command, task},
    crate::{
        channel::BoundedSender,
        configuration::{ConfigurationHandle, catalogue::CatalogueReceiver},
    },
    gotham::state::StateData,
    std::{panic::RefUnwindSafe, time::Duration},
    tamarackdale_core::{id::Boot, report::Report},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
};

/// State shared by the sidecar's handlers.
#[derive(Clone)]
pub struct Context {
    /// Identifier of this process's boot.
    pub boot: Boot,
    /// Channel to the dispatch worker.
    pub dispatch: BoundedSender<Command>,
    /// State shared by the attempts' tasks.
    pub tasks: task::Context,
    /// The newest report.
    pub report: watch::Receiver<Report>,
    /// Minimum time between two reports.
    pub report_interval: Duration,
    /// The documents in force.
    pub catalogue: CatalogueReceiver,
    /// Access to the configuration worker.
    pub configuration: ConfigurationHandle,
    /// Cancelled when the sidecar is closing and all its work has ended.
    pub drained: CancellationToken,
    /// Largest request body accepted, in bytes.
    pub max_body_bytes: usize,
}

impl Context {
    /// Whether a message is addressed to this boot of the sidecar.
    pub fn is_current_boot(&self, boot: u64) -> bool {
        self.boot == Boot(boot)
    }
}

impl StateData for Context {}

/// Handlers send their changes to worker threads over channels, so a panic in one leaves no
/// inconsistent state.
impl RefUnwindSafe for Context {}

impl AsRef<ConfigurationHandle> for Context {
    fn as_ref(&self) -> &ConfigurationHandle {
        &self.configuration
    }
}
