//! The active service documents.

use {
    std::{collections::HashMap, sync::Arc, time::Instant},
    tamarackdale_core::{
        document::Revision,
        document_registry::{OfferOutcome, Registry},
    },
    tokio::sync::watch,
};

pub use tamarackdale_core::document_registry::Version;

/// Receiver of the newest catalogue; every worker of a process holds a clone.
pub type CatalogueReceiver = watch::Receiver<Arc<Catalogue>>;

/// The active version of each service's document.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    registry: Registry,
    accepted_at: HashMap<String, Instant>,
}

impl Catalogue {
    /// Creates a catalogue without documents.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the active version for a service.
    pub fn get(&self, service: &str) -> Option<Arc<Version>> {
        self.registry.get(service)
    }

    /// Returns the active revision for a service, or zero if there is none.
    pub fn revision(&self, service: &str) -> Revision {
        self.registry.revision(service)
    }

    /// Whether a revision is newer than the active one and than any rejected one.
    pub fn is_newer(&self, service: &str, revision: Revision) -> bool {
        self.registry.is_newer(service, revision)
    }

    /// Returns each service with its active revision and the time at which that was activated.
    pub fn entries(&self) -> impl Iterator<Item = (&str, Revision, Instant)> {
        self.accepted_at
            .iter()
            .map(|(service, accepted_at)| (service.as_str(), self.revision(service), *accepted_at))
    }

    /// Activates a version if it is newer and valid.
    pub fn offer(&mut self, service: &str, revision: Revision, text: &str) -> OfferOutcome {
        let outcome = self.registry.offer(service, revision, text);
        if outcome == OfferOutcome::Accepted {
            self.accepted_at.insert(service.to_owned(), Instant::now());
        }
        outcome
    }
}
