//! Records of claims in the key-value store.

use {
    crate::id::{Attempt, Incarnation},
    derive_more::Display,
};

/// Random number by which a writer recognises its own record.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Nonce(pub u64);

/// Revision of the key-value store at which a record was written.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub i64);

/// The claim of one attempt on its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Drawn for each record.
    pub nonce: Nonce,
    /// Sidecar that the attempt was offered to.
    pub incarnation: Incarnation,
    /// Attempt that may be granted.
    pub attempt: Attempt,
    /// Fingerprint of the request's payload.
    pub fingerprint: u64,
}

/// A stored record with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Version {
    /// Stored record.
    pub record: Record,
    /// Revision at which it was written; a replacement is conditional on it.
    pub revision: Revision,
}
