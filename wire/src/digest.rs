//! Digest of the documents that a process has in force.

use serde::{Deserialize, Serialize};

/// Item of the stream of digests. The first one lists all documents in force, later ones those that
/// have changed. An empty one serves as a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Revisions in force, by service.
    pub documents: Vec<DocumentRevision>,
}

/// Revision of a service's document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRevision {
    /// Name of the service.
    pub service: String,
    /// Store revision at which the document was written.
    pub revision: i64,
}
