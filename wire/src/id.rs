//! Identifiers on the wire.

use {
    serde::{Deserialize, Serialize},
    tamarackdale_core::id,
};

/// Wire form of [`id::Attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Boot of the router.
    pub router: u64,
    /// Counter of that boot.
    pub sequence: u64,
}

impl From<id::Attempt> for Attempt {
    fn from(attempt: id::Attempt) -> Self {
        Self {
            router: attempt.router.0,
            sequence: attempt.sequence,
        }
    }
}

impl From<Attempt> for id::Attempt {
    fn from(attempt: Attempt) -> Self {
        Self {
            router: id::Boot(attempt.router),
            sequence: attempt.sequence,
        }
    }
}
