//! Input and result types of compare-and-swap.

use super::Entry;

/// Result of a compare-and-swap that the store has evaluated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The write or deletion took effect.
    Done {
        /// Revision of the write or deletion.
        revision: i64,
    },
    /// The key was not at the expected revision, and nothing was changed. Holds the present entry,
    /// or `None` if the key does not exist.
    Conflict(Option<Entry>),
}

/// A key to create.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Creation {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}
