//! The documents in force.

use {
    std::{collections::HashMap, sync::Arc, time::Instant},
    tamarackdale_core::{
        adoption::{Adoption, Register},
        document::Revision,
    },
    tokio::sync::watch,
};

pub use tamarackdale_core::adoption::Version;

/// The newest catalogue, shared by the duties of a process.
pub type CatalogueReceiver = watch::Receiver<Arc<Catalogue>>;

/// The newest known version of each service's document.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    register: Register,
    adopted: HashMap<String, Instant>,
}

impl Catalogue {
    /// A catalogue without documents.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force for a service.
    pub fn get(&self, service: &str) -> Option<Arc<Version>> {
        self.register.get(service)
    }

    /// Revision in force for a service; zero if there is none.
    pub fn revision(&self, service: &str) -> Revision {
        self.register.revision(service)
    }

    /// Whether a revision is newer than the one in force and than any refused.
    pub fn is_newer(&self, service: &str, revision: Revision) -> bool {
        self.register.is_newer(service, revision)
    }

    /// The services with the revisions in force and the times of their adoption.
    pub fn held(&self) -> impl Iterator<Item = (&str, Revision, Instant)> {
        self.adopted
            .iter()
            .map(|(service, adopted)| (service.as_str(), self.revision(service), *adopted))
    }

    /// Puts a version in force if it is newer and valid.
    pub fn offer(&mut self, service: &str, revision: Revision, text: &str) -> Adoption {
        let adoption = self.register.offer(service, revision, text);
        if adoption == Adoption::Adopted {
            self.adopted.insert(service.to_owned(), Instant::now());
        }
        adoption
    }
}
