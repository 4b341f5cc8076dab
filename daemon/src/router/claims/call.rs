//! Calls for one claim, and their outcomes.

use {tamarackdale_store::kv, tokio::sync::oneshot};

/// Message to the claims worker.
pub(super) struct Command {
    /// Key of the claim.
    pub key: String,
    /// The call to make.
    pub call: Call,
    /// Receives the outcome.
    pub reply: oneshot::Sender<Outcome>,
}

/// Call on the claim under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Write the claim if there is none.
    Create(Vec<u8>),
    /// Replace the claim if it is still at the given revision.
    Replace {
        /// The new value.
        value: Vec<u8>,
        /// Revision of the claim to replace.
        revision: i64,
    },
    /// Read the claim.
    Read,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The claim was written.
    Written,
    /// The claim was not written; this is the entry under the key.
    Conflict(Option<kv::Entry>),
    /// The entry that was read.
    Read(Option<kv::Entry>),
    /// The result is unknown, or the call had no effect.
    Unknown,
    /// Not attempted, because the store is known to be down.
    Down,
}

impl From<kv::Swap> for Outcome {
    fn from(swap: kv::Swap) -> Self {
        match swap {
            kv::Swap::Done { .. } => Self::Written,
            kv::Swap::Conflict(entry) => Self::Conflict(entry),
        }
    }
}
