//! Which documents a process has.

use serde::{Deserialize, Serialize};

/// Element of the stream of digests. The first one names all documents in force, later ones those
/// that changed; an empty one says that the stream is alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Services with the revisions in force.
    pub documents: Vec<Held>,
}

/// A document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Service.
    pub service: String,
    /// Store revision at which the document was written.
    pub revision: i64,
}
