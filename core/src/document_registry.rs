//! Registry of the document version in force for each service.
//!
//! Versions arrive from several sources, and may be late, duplicated or out of order. The revision
//! in force never decreases.

use {
    crate::document::{Document, Problems, Revision},
    derive_more::Display,
    std::{collections::HashMap, sync::Arc},
};

/// A document with the store revision that it was written at.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Revision of the store.
    pub revision: Revision,
    /// Parsed document.
    pub document: Document,
    /// Text that the document was parsed from.
    pub text: String,
}

/// Result of [`Registry::offer`].
#[derive(Clone, Debug, Display, PartialEq)]
pub enum OfferOutcome {
    /// The offered version is now in force.
    #[display("in force")]
    Accepted,
    /// A version of the same or a later revision is already in force, or was refused.
    #[display("not newer")]
    NotNewer,
    /// The text is not a valid document; the previous version stays in force.
    #[display("{_0}")]
    Refused(Problems),
    /// The document belongs to another service; the previous version stays in force.
    #[display("the document names service {_0}")]
    ServiceMismatch(String),
}

/// The version in force for each service.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    versions: HashMap<String, Arc<Version>>,
    /// Highest refused revision of each service.
    refused: HashMap<String, Revision>,
}

impl Registry {
    /// An empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force for a service.
    pub fn get(&self, service: &str) -> Option<Arc<Version>> {
        self.versions.get(service).cloned()
    }

    /// All versions in force.
    pub fn versions(&self) -> impl Iterator<Item = &Arc<Version>> {
        self.versions.values()
    }

    /// Revision in force for a service, or zero if there is none.
    pub fn revision(&self, service: &str) -> Revision {
        self.versions
            .get(service)
            .map_or(Revision(0), |version| version.revision)
    }

    /// Whether `revision` is later than the one in force and than any refused one.
    pub fn is_newer(&self, service: &str, revision: Revision) -> bool {
        let refused = self.refused.get(service).copied().unwrap_or_default();
        revision > self.revision(service).max(refused)
    }

    /// Puts a version in force if it is newer and valid. A refused revision is not parsed again.
    pub fn offer(&mut self, service: &str, revision: Revision, text: &str) -> OfferOutcome {
        if !self.is_newer(service, revision) {
            return OfferOutcome::NotNewer;
        }
        let refusal = match Document::parse(text) {
            Err(problems) => OfferOutcome::Refused(problems),
            Ok(document) if document.service != service => {
                OfferOutcome::ServiceMismatch(document.service)
            }
            Ok(document) => {
                let version = Version {
                    revision,
                    document,
                    text: text.to_owned(),
                };
                self.versions.insert(service.to_owned(), Arc::new(version));
                return OfferOutcome::Accepted;
            }
        };
        self.refused.insert(service.to_owned(), revision);
        refusal
    }
}
