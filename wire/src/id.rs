//! Wire form of identifiers.

use {
    serde::{Deserialize, Serialize},
    tamarackdale_core::id,
};

/// Wire form of [`id::Attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Boot identifier of the router.
    pub router: u64,
    /// Number of the attempt, counted by the router since that boot.
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
