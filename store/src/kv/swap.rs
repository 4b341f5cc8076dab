//! Results of compare-and-swap.

use super::Entry;

/// Result of a compare-and-swap that the service has judged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// It took effect.
    Done {
        /// Revision of the write.
        revision: i64,
    },
    /// The key was not at the expected revision; nothing was written.
    Conflict(Option<Entry>),
}

/// A key to create.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Creation {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
}
