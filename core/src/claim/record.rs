//! What a claim says.

use {
    crate::id::{Attempt, Incarnation},
    derive_more::Display,
};

/// Random number that tells one writer's record from all others.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Nonce(pub u64);

/// Revision of the key-value service at which a record was written.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub i64);

/// The claim of one attempt on its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Drawn anew for each record, so that its writer knows it again.
    pub nonce: Nonce,
    /// The sidecar that holds the attempt.
    pub incarnation: Incarnation,
    /// The attempt that may be granted.
    pub attempt: Attempt,
    /// Fingerprint of the request's payload.
    pub fingerprint: u64,
}

/// A record as it stands in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Version {
    /// The record.
    pub record: Record,
    /// Where it was written; a replacement is conditioned on it.
    pub revision: Revision,
}
