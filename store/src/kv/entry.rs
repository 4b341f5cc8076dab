//! Keys with their values.

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last write.
    pub revision: i64,
}
