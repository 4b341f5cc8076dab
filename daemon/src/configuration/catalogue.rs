//! The documents in force.

use {
    std::{collections::HashMap, sync::Arc},
    tamarackdale_core::document::{Document, Revision},
    tokio::sync::watch,
};

/// The newest catalogue, shared by the duties of a process.
pub type Shared = watch::Receiver<Arc<Catalogue>>;

/// A document with its place in the store's history.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Store revision at which it was written.
    pub revision: Revision,
    /// The document.
    pub document: Document,
    /// The text that it was parsed from.
    pub text: String,
}

/// The newest known version of each service's document.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    versions: HashMap<String, Arc<Version>>,
}

impl Catalogue {
    /// A catalogue without documents.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force for a service.
    pub fn get(&self, service: &str) -> Option<Arc<Version>> {
        self.versions.get(service).cloned()
    }

    /// Revision in force for a service; zero if there is none.
    pub fn revision(&self, service: &str) -> Revision {
        self.versions
            .get(service)
            .map_or(Revision(0), |version| version.revision)
    }

    /// Whether a revision is newer than the one in force.
    pub fn is_newer(&self, service: &str, revision: Revision) -> bool {
        revision > self.revision(service)
    }

    /// This catalogue with a newer version; an older one changes nothing.
    pub fn with(&self, version: Version) -> Self {
        let mut versions = self.versions.clone();
        let service = version.document.service.clone();
        if self.is_newer(&service, version.revision) {
            versions.insert(service, Arc::new(version));
        }
        Self { versions }
    }
}
