//! Handle by which the rest of the process uses the configuration worker.

use {
    super::{
        catalogue::CatalogueReceiver, catalogue_writer::DocumentUpdate, fleet_view::FleetView,
    },
    crate::settings,
    std::{sync::Arc, time::Instant},
    tamarackdale_core::id::Boot,
    tamarackdale_wire::{Status, status},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Identity of a process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: String,
    /// Random number that identifies this run of the process.
    pub boot: u64,
    /// Role of the process: `router` or `sidecar`.
    pub role: &'static str,
    /// Data centre of the instance.
    pub data_centre: String,
    /// When the process started.
    pub started: Instant,
}

impl Identity {
    /// Creates the identity of a process that starts now.
    pub fn new(settings: &settings::Common, boot: Boot, role: &'static str) -> Self {
        Self {
            instance: settings.instance.to_string(),
            boot: boot.0,
            role,
            data_centre: settings.data_centre.clone(),
            started: Instant::now(),
        }
    }
}

/// Handle to the configuration worker of this process.
#[derive(Clone)]
pub struct ConfigurationHandle {
    /// The active documents.
    pub catalogue: CatalogueReceiver,
    /// Queue of document versions for the catalogue writer.
    pub(super) updates: mpsc::Sender<DocumentUpdate>,
    /// Identity of this process.
    pub(super) identity: Arc<Identity>,
    /// Services whose documents this process requires.
    pub(super) services: Arc<[String]>,
    /// Cancelled when the process stops taking new work.
    pub(super) closing: CancellationToken,
    /// The fleet according to the instance list.
    pub(super) view: watch::Receiver<Arc<FleetView>>,
}

impl ConfigurationHandle {
    /// Returns the name of this instance.
    pub fn instance(&self) -> &str {
        &self.identity.instance
    }

    /// Whether the process requires a service's document.
    pub fn needs(&self, service: &str) -> bool {
        self.services.iter().any(|needed| needed == service)
    }

    /// Whether the process has every document that it requires.
    pub fn has_required_documents(&self) -> bool {
        let catalogue = self.catalogue.borrow();
        self.services
            .iter()
            .all(|service| catalogue.get(service).is_some())
    }

    /// Whether the process should take no new work, because it is shutting down or is listed as
    /// leaving.
    pub fn is_leaving(&self) -> bool {
        self.closing.is_cancelled() || self.view.borrow().is_leaving
    }

    /// Returns the status that operators see.
    pub fn status(&self) -> Status {
        let state = if self.is_leaving() {
            "leaving"
        } else if self.has_required_documents() {
            "ready"
        } else {
            "starting"
        };
        let now = Instant::now();
        let documents = self
            .catalogue
            .borrow()
            .entries()
            .map(|(service, revision, accepted_at)| status::Document {
                service: service.to_owned(),
                revision: revision.0,
                age_ms: millis_between(accepted_at, now),
            })
            .collect();
        Status {
            instance: self.identity.instance.clone(),
            boot: self.identity.boot,
            role: self.identity.role.to_owned(),
            data_centre: self.identity.data_centre.clone(),
            state: state.to_owned(),
            uptime_ms: millis_between(self.identity.started, now),
            documents,
        }
    }
}

fn millis_between(from: Instant, to: Instant) -> u64 {
    u64::try_from(to.saturating_duration_since(from).as_millis()).unwrap_or(u64::MAX)
}
