//! What is asked of the table, and what it answers.

use {
    crate::{cost::Cost, id::Incarnation, tier::Rank, time::Timestamp},
    derive_more::Display,
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64,
};

/// A request for which a sidecar is wanted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its tier.
    pub rank: Rank,
    /// xxh3 hash of its organisation's name.
    pub organisation: u64,
    /// The organisation's weight.
    pub weight: u32,
    /// Its estimated cost.
    pub cost: Cost,
    /// When the answer must be complete.
    pub deadline: Timestamp,
    /// Whether it is served even if it will be late.
    pub may_be_late: bool,
}

impl Request {
    /// A request of the given organisation, with weight one, that is not served late.
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

    /// Sets whether it is served even if it will be late.
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
    /// Its turn.
    RoundRobin,
    /// It had the fewest requests of this router in progress.
    LeastOutstanding,
}

/// One sidecar that was weighed.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The sidecar.
    pub incarnation: Incarnation,
    /// Predicted time until the answer is complete.
    pub predicted: Duration,
    /// Tokens of the prompt that its backend server is believed to have cached.
    pub cached_tokens: u32,
}

/// The choice of a sidecar.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The chosen sidecar.
    pub incarnation: Incarnation,
    /// Predicted time until the answer is complete.
    pub predicted: Duration,
    /// The chosen candidate and a few others.
    pub candidates: Vec<Candidate>,
    /// Why it was chosen.
    pub basis: Basis,
}
