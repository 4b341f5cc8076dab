//! What routers that send to backend servers themselves tell each other, many times a second.

use crate::{
    fleet::{Load, Speed},
    quota::Usage,
    tier::Rank,
    wait_queue::Urgency,
};

/// What a router has at one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The backend server's identifier.
    pub id: String,
    /// This router's work there.
    pub load: Load,
    /// What it has learnt of the backend server; only now and then.
    pub speed: Option<Speed>,
}

/// A router's state, in full or what has changed since it was last told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Work by backend server.
    pub entries: Vec<Entry>,
    /// Use of quotas.
    pub usages: Vec<Usage>,
    /// Whether the counts of quotas cover the whole window.
    pub is_complete: bool,
    /// Most urgent request that waits at the router, by service.
    pub waits: Vec<(String, Urgency)>,
    /// Most urgent rank that the router shed of late, by service.
    pub floors: Vec<(String, Rank)>,
}
