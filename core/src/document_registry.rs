//! Which version of each document is in force in a process.
//!
//! Versions arrive from several sides, late, twice and out of order. The revision in force never
//! goes back.

use {
    crate::document::{Document, Problems, Revision},
    derive_more::Display,
    std::{collections::HashMap, sync::Arc},
};

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

/// What became of an offered version.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum OfferOutcome {
    /// It is in force now.
    #[display("in force")]
    Accepted,
    /// One as new or newer is in force, or was refused.
    #[display("not newer")]
    NotNewer,
    /// The text is not a document; the version before stays in force.
    #[display("{_0}")]
    Refused(Problems),
    /// The text is the document of another service.
    #[display("the document names service {_0}")]
    ServiceMismatch(String),
}

/// The versions in force, one a service.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    versions: HashMap<String, Arc<Version>>,
    refused: HashMap<String, Revision>,
}

impl Registry {
    /// A register without versions.
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

    /// Revision in force for a service; zero if there is none.
    pub fn revision(&self, service: &str) -> Revision {
        self.versions
            .get(service)
            .map_or(Revision(0), |version| version.revision)
    }

    /// Whether a revision is newer than the one in force and than any refused.
    pub fn is_newer(&self, service: &str, revision: Revision) -> bool {
        let refused = self.refused.get(service).copied().unwrap_or_default();
        revision > self.revision(service).max(refused)
    }

    /// Puts a version in force if it is newer and valid.
    pub fn offer(&mut self, service: &str, revision: Revision, text: &str) -> OfferOutcome {
        if !self.is_newer(service, revision) {
            return OfferOutcome::NotNewer;
        }
        let adoption = match Document::parse(text) {
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
        adoption
    }
}
