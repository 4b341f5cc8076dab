//! State that routers exchange many times a second, if they send to backend servers directly.

use crate::{
    fleet::{Load, Speed},
    quota::Usage,
    tier::Rank,
    wait_queue::Urgency,
};

/// A router's work at one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identifier of the backend server.
    pub id: String,
    /// Load that this router has placed on it.
    pub load: Load,
    /// Measured speed of the backend server, which is not part of every summary.
    pub speed: Option<Speed>,
}

/// State of a router: all of it, or the changes since the last summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Work at each backend server.
    pub entries: Vec<Entry>,
    /// Usage of quotas.
    pub usages: Vec<Usage>,
    /// Whether the usage covers the whole quota window.
    pub is_complete: bool,
    /// Urgency of the most urgent waiting request, by service.
    pub waits: Vec<(String, Urgency)>,
    /// Most urgent rank that the router has shed recently, by service.
    pub floors: Vec<(String, Rank)>,
}
