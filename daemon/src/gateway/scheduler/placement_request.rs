//! What a request asks of the scheduler.

use {
    std::time::Duration,
    tamarackdale_core::{tier::Rank, time::Timestamp},
};

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Service.
    pub service: String,
    /// Rank among all requests.
    pub rank: Rank,
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
    /// Backend servers that it was sent to already.
    pub excluded: Vec<String>,
    /// When it was accepted.
    pub accepted: Timestamp,
    /// Time from acceptance within which the answer should begin.
    pub objective: Duration,
    /// When the whole answer must be there.
    pub deadline: Timestamp,
    /// Whether the caller seems to come back after a refusal.
    pub is_returning: bool,
}
