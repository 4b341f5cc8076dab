//! Status of a process and its recent routing decisions, for operators.

use serde::{Deserialize, Serialize};

/// State of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Boot identifier of the process.
    pub boot: u64,
    /// `router` or `sidecar`.
    pub role: String,
    /// Data centre.
    pub data_centre: String,
    /// `starting`, `ready` or `leaving`.
    pub state: String,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
    /// Documents in force, one per service.
    pub documents: Vec<Document>,
}

/// A document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Name of the service.
    pub service: String,
    /// Store revision at which the document was written.
    pub revision: i64,
    /// Milliseconds since the process put the document in force.
    pub age_ms: u64,
}

/// One routing decision of a router.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Name of the router's instance.
    pub router: String,
    /// Milliseconds since the decision.
    pub age_ms: u64,
    /// Service that the request is for.
    pub service: String,
    /// Organisation that the caller belongs to.
    pub organisation: String,
    /// Name of the tier.
    pub tier: String,
    /// Store revision of the document that the request was accepted under.
    pub revision: i64,
    /// Sidecars that were considered, with their predictions.
    pub candidates: Vec<Candidate>,
    /// Name of the chosen sidecar's instance; empty if the request was refused.
    pub chosen: String,
    /// Reason, worded as in the log line.
    pub reason: String,
}

/// A sidecar that was considered in a decision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: String,
    /// Predicted time until the response is complete, in milliseconds.
    pub predicted_ms: u64,
}
