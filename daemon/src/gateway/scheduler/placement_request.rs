//! A request for a backend server, as the scheduler gets it.

use {
    std::time::Duration,
    tamarackdale_core::{
        admission::Subject,
        fleet::{SharedPrefix, TrialUse},
        rollout::Pick,
        tier::Rank,
        time::Timestamp,
    },
};

/// A request that the scheduler is to place at a backend server.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Name of the service.
    pub service: String,
    /// Priority; the lowest rank is the most urgent.
    pub rank: Rank,
    /// Attributes that decide between requests of the same urgency.
    pub subject: Subject,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// The part of the prompt that other requests share, if any.
    pub prefix: Option<SharedPrefix>,
    /// Expected number of output tokens.
    pub output: u32,
    /// Identifiers of the backend servers that the request was already sent to.
    pub excluded: Vec<String>,
    /// The only version of the service's software that may serve it, if it goes on with a stream.
    pub version: Option<String>,
    /// Whether it begins a stream that its caller may take up elsewhere.
    pub begins_stream: bool,
    /// When the gateway accepted the request.
    pub accepted: Timestamp,
    /// Since when the request has waited for a slot: its acceptance, or the break of its stream.
    pub waiting_since: Timestamp,
    /// Target time from acceptance to the start of the response.
    pub objective: Duration,
    /// When the response must be complete.
    pub deadline: Timestamp,
    /// Whether this is probably a caller's retry after a refusal.
    pub is_retry: bool,
    /// Whether the request may stay where it is: it is not shed if there is no slot for it.
    pub is_optional: bool,
    /// How well it is suited as a trial of an ejected backend server.
    pub trial_use: TrialUse,
    /// Version at which it runs during a rollout.
    pub pick: Pick,
}

impl PlacementRequest {
    /// Whether this request may need any slot that the other one may get. One that is bound to a
    /// version needs none of the other versions.
    pub fn competes_with(&self, other: &Self) -> bool {
        let is_same_service = self.service == other.service;
        is_same_service && (self.version.is_none() || self.version == other.version)
    }
}
