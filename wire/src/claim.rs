//! Claims as they are stored in the key-value store.

use {
    crate::id::Attempt,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    tamarackdale_core::{
        claim::{self, Nonce},
        id::{Boot, Incarnation, Instance},
    },
};

/// Wire form of [`claim::Record`], with the sidecar's address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Random number by which the writer recognises its own record.
    pub nonce: u64,
    /// Name of the sidecar's instance.
    pub instance: String,
    /// Boot identifier of the sidecar.
    pub boot: u64,
    /// Address of the sidecar's peer listener.
    pub address: SocketAddr,
    /// The attempt that the claim allows to be granted.
    pub attempt: Attempt,
    /// Fingerprint of the request's payload.
    pub fingerprint: u64,
}

impl Record {
    /// Converts a record whose sidecar is at `address`.
    pub fn new(record: &claim::Record, address: SocketAddr) -> Self {
        Self {
            nonce: record.nonce.0,
            instance: record.incarnation.instance.0.clone(),
            boot: record.incarnation.boot.0,
            address,
            attempt: record.attempt.into(),
            fingerprint: record.fingerprint,
        }
    }
}

impl From<Record> for claim::Record {
    fn from(record: Record) -> Self {
        Self {
            nonce: Nonce(record.nonce),
            incarnation: Incarnation {
                instance: Instance(record.instance),
                boot: Boot(record.boot),
            },
            attempt: record.attempt.into(),
            fingerprint: record.fingerprint,
        }
    }
}
