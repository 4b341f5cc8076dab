//! Requests to the routing table, and its choices.

use {
    crate::{cost::Cost, id::Incarnation, tier::Rank, time::Timestamp},
    derive_more::Display,
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64,
};

/// A request for which a sidecar is chosen.
#[derive(Clone, Debug)]
pub struct Request {
    /// Rank of its tier.
    pub rank: Rank,
    /// xxh3 hash of its organisation's name.
    pub organisation: u64,
    /// The organisation's weight.
    pub weight: u32,
    /// Its estimated cost.
    pub cost: Cost,
    /// When the response must be complete.
    pub deadline: Timestamp,
    /// Whether it may finish after the deadline.
    pub may_be_late: bool,
}

impl Request {
    /// Creates a request with weight one that may not finish after the deadline.
    pub fn new(rank: Rank, organisation: &str, cost: Cost, deadline: Timestamp) -> Self {
        Self {
            rank,
            organisation: xxh3_64(organisation.as_bytes()),
            weight: 1,
            cost,
            deadline,
            may_be_late: false,
        }
    }

    /// Sets the organisation's weight.
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Sets whether the request may finish after the deadline.
    pub fn with_may_be_late(mut self, may_be_late: bool) -> Self {
        self.may_be_late = may_be_late;
        self
    }
}

/// Why a sidecar was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Basis {
    /// Among the earliest predicted completions.
    Fastest,
    /// Among the earliest predicted completions, with part of the prompt cached.
    FastestWithPrefix,
    /// Drawn at random.
    Random,
    /// Next in round-robin order.
    RoundRobin,
    /// Fewest requests of this router in progress.
    LeastOutstanding,
}

/// A sidecar that was considered for a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The sidecar.
    pub incarnation: Incarnation,
    /// Predicted time until the response is complete.
    pub predicted: Duration,
    /// Prompt tokens that its backend server has probably cached.
    pub cached_tokens: u32,
}

/// The sidecar chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The chosen sidecar.
    pub incarnation: Incarnation,
    /// Predicted time until the response is complete.
    pub predicted: Duration,
    /// Part of it after the dispatch to the backend server.
    pub service: Duration,
    /// The chosen candidate, followed by some of the others.
    pub candidates: Vec<Candidate>,
    /// Why it was chosen.
    pub basis: Basis,
}
