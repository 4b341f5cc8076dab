//! What a process tells operators of itself.

use serde::{Deserialize, Serialize};

/// State of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Boot of the process.
    pub boot: u64,
    /// `router` or `sidecar`.
    pub role: String,
    /// Data centre.
    pub data_centre: String,
    /// `starting`, `ready` or `leaving`.
    pub state: String,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
    /// Documents in force, one a service.
    pub documents: Vec<Document>,
}

/// A document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Service.
    pub service: String,
    /// Store revision at which it was written.
    pub revision: i64,
    /// Milliseconds since the process adopted it.
    pub age_ms: u64,
}

/// One routing decision that a router remembers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Router that decided.
    pub router: String,
    /// Milliseconds since the decision.
    pub age_ms: u64,
    /// Service asked.
    pub service: String,
    /// Organisation that asks.
    pub organisation: String,
    /// Name of the tier.
    pub tier: String,
    /// Store revision of the document that the request was accepted under.
    pub revision: i64,
    /// Sidecars weighed, with their predictions.
    pub candidates: Vec<Candidate>,
    /// Sidecar chosen; empty for a refusal.
    pub chosen: String,
    /// Why, in the words of the log line.
    pub reason: String,
}

/// A sidecar that a decision weighed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: String,
    /// Predicted time until the whole answer, in milliseconds.
    pub predicted_ms: u64,
}
