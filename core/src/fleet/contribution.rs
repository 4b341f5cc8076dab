//! What one router adds to the common knowledge of a backend server.

use super::{Load, Speed};

/// A router's work at one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Contribution {
    /// Identifier of the backend server.
    pub id: String,
    /// Load that this router has placed on it.
    pub load: Load,
    /// Measured speed of the backend server, which is not part of every summary.
    pub speed: Option<Speed>,
    /// Number of measurements that this router itself has made of the speed. Not sent to peers.
    pub measurements: u64,
}
