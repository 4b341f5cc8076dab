//! What the rest of the process has of the configuration duty.

use {
    super::{catalogue::CatalogueReceiver, catalogue_writer::Offer, fleet_view::View},
    crate::settings,
    std::{sync::Arc, time::Instant},
    tamarackdale_core::id::Boot,
    tamarackdale_wire::{Status, status},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Who a process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: String,
    /// Boot of the process.
    pub boot: u64,
    /// `router` or `sidecar`.
    pub role: &'static str,
    /// Data centre.
    pub data_centre: String,
    /// When the process started.
    pub started: Instant,
}

impl Identity {
    /// The identity of a process that starts now.
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

/// Handle to the configuration service of this process.
#[derive(Clone)]
pub struct ConfigurationHandle {
    /// The documents in force.
    pub catalogue: CatalogueReceiver,
    /// Where versions are offered to the duty.
    pub(super) offers: mpsc::Sender<Offer>,
    /// This process.
    pub(super) identity: Arc<Identity>,
    /// Services whose documents this process needs.
    pub(super) services: Arc<[String]>,
    /// Set when the process takes nothing new.
    pub(super) closing: CancellationToken,
    /// The fleet as the instance list shows it.
    pub(super) view: watch::Receiver<Arc<View>>,
}

impl ConfigurationHandle {
    /// Name of this instance.
    pub fn instance(&self) -> &str {
        &self.identity.instance
    }

    /// Whether the process is to have a service's document.
    pub fn needs(&self, service: &str) -> bool {
        self.services.iter().any(|needed| needed == service)
    }

    /// Whether the process has every document that it needs.
    pub fn has_required_documents(&self) -> bool {
        let catalogue = self.catalogue.borrow();
        self.services
            .iter()
            .all(|service| catalogue.get(service).is_some())
    }

    /// Whether the process is to take no new work: it is shutting down, or it is listed as leaving.
    pub fn is_leaving(&self) -> bool {
        self.closing.is_cancelled() || self.view.borrow().is_leaving
    }

    /// What operators are told of the process.
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
            .held()
            .map(|(service, revision, adopted)| status::Document {
                service: service.to_owned(),
                revision: revision.0,
                age_ms: millis(adopted, now),
            })
            .collect();
        Status {
            instance: self.identity.instance.clone(),
            boot: self.identity.boot,
            role: self.identity.role.to_owned(),
            data_centre: self.identity.data_centre.clone(),
            state: state.to_owned(),
            uptime_ms: millis(self.identity.started, now),
            documents,
        }
    }
}

fn millis(from: Instant, to: Instant) -> u64 {
    u64::try_from(to.saturating_duration_since(from).as_millis()).unwrap_or(u64::MAX)
}
