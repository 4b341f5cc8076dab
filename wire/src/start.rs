//! Starts at limited backend servers, which routers ask their keeper for.

use {
    crate::statement::Statement,
    serde::{Deserialize, Serialize},
};

/// Asks the keeper of a limited backend server for a start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ask {
    /// The backend server, and the limit that the sender knows: the keeper may not know it yet.
    pub server: Statement,
}

/// Answer of the keeper.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Whether the sender may send one request now.
    pub is_granted: bool,
    /// Milliseconds until the next start, if it may not.
    pub next_ms: u32,
}
