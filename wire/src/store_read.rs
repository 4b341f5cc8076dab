//! Reads of the key-value store, which routers ask the reader of their cell for.

use {
    serde::{Deserialize, Serialize},
    serde_bytes::ByteBuf,
    tamarackdale_core::revision,
};

/// A revision of the store.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Revision {
    /// Number of restorations of the store before it.
    pub era: u64,
    /// Number of the revision within the era.
    pub number: u64,
}

impl From<revision::Revision> for Revision {
    fn from(revision: revision::Revision) -> Self {
        Self {
            era: revision.era,
            number: revision.number,
        }
    }
}

impl From<Revision> for revision::Revision {
    fn from(revision: Revision) -> Self {
        Self {
            era: revision.era,
            number: revision.number,
        }
    }
}

/// Asks whether a key is still at a revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Check {
    /// Key.
    pub key: String,
    /// The revision that the sender knows.
    pub revision: Revision,
}

/// Answer to a [`Check`], of a call to the store that was sent after the check had arrived.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CheckAnswer {
    /// Whether the key is at the revision. If not, the sender reads it from the store.
    pub is_unchanged: bool,
    /// Era of the store's answer.
    pub era: u64,
    /// Milliseconds after which the next check shares a call of the reader with others.
    pub next_ms: u32,
}

/// Asks for the changes under a prefix since a revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Watch {
    /// Prefix of the keys.
    pub prefix: String,
    /// The revision up to which the sender knows all changes.
    pub revision: Revision,
    /// Milliseconds to wait for a change.
    pub wait_ms: u32,
}

/// Answer to a [`Watch`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchAnswer {
    /// The revision from which to watch next. If its era is another than that of the question, the store
    /// was restored.
    pub revision: Revision,
    /// Whether the changes since the revision of the question are no longer known.
    pub is_compacted: bool,
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
}

/// A change of a key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Change {
    /// The key was written; holds the key, its value and the number of the revision.
    Put(String, ByteBuf, u64),
    /// The key was removed; holds the key and the number of the revision.
    Removed(String, u64),
    /// The key has an entry that cannot be read; holds the key, if that can be read, and the reason.
    Unreadable(Option<String>, String),
}
