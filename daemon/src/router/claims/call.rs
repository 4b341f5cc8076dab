//! Calls for one claim, and their outcomes.

use {tamarackdale_store::kv, tokio::sync::oneshot};

/// Message to the claims duty.
pub(super) struct Command {
    /// Key of the claim.
    pub key: String,
    /// What to do.
    pub call: Call,
    /// Where the outcome goes.
    pub reply: oneshot::Sender<Outcome>,
}

/// What to do with the claim under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Write it if there is none.
    Create(Vec<u8>),
    /// Replace the one written at this revision.
    Replace {
        /// The new value.
        value: Vec<u8>,
        /// Revision of the old one.
        revision: i64,
    },
    /// Read it.
    Read,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Written.
    Written,
    /// Not written; this stands under the key.
    Conflict(Option<kv::Entry>),
    /// Read.
    Read(Option<kv::Entry>),
    /// Unknown, or certainly without effect.
    Lost,
    /// Not attempted, since the service is known to be down.
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
