//! Reports of a sidecar on itself and its backend server.

use {
    crate::{
        cost::Rates,
        floor,
        id::{Attempt, Boot, Incarnation},
        poison::Notice,
    },
    std::sync::Arc,
};

/// Load and state of one sidecar and its backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The sidecar.
    pub incarnation: Incarnation,
    /// Service that its backend server belongs to.
    pub service: String,
    /// Whether the sidecar is leaving and accepts no new work.
    pub leaving: bool,
    /// Store revision of the document in force.
    pub revision: i64,
    /// Shed floor known to the sidecar.
    pub floor: floor::Notice,
    /// Maximum number of running requests.
    pub limit: u32,
    /// Number of running requests.
    pub running: u32,
    /// Tokens that running requests have yet to generate.
    pub running_tokens: u32,
    /// Prompt tokens of running requests that have yet to be prefilled.
    pub unprefilled_tokens: u32,
    /// Waiting work by rank.
    pub waiting: Vec<WaitingWork>,
    /// Measured speed of the backend server.
    pub rates: Rates,
    /// Hashes of prefixes that the backend server's cache has evicted recently.
    pub evicted_prefixes: Vec<u64>,
    /// Latest attempt of each router that is included in this report.
    pub seen: Vec<Attempt>,
    /// Requests that were lost when the backend server crashed, and what routers have told of such
    /// requests. Oldest first.
    pub notices: Vec<Arc<Notice>>,
}

impl Report {
    /// The report with only those seen attempts that are of `router`.
    pub fn for_router(&self, router: Boot) -> Self {
        let mut report = self.clone();
        report.seen.retain(|attempt| attempt.router == router);
        report
    }

    /// Whether the report must be sent without delay to a router whose last report is `previous`.
    pub fn is_urgent_after(&self, previous: &Self) -> bool {
        self.leaving != previous.leaving
            || self.revision != previous.revision
            || self.floor.rank != previous.floor.rank
    }
}

/// Waiting work of one rank.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingWork {
    /// Number of requests.
    pub requests: u32,
    /// Tokens to prefill.
    pub prefill_tokens: u32,
    /// Tokens to generate.
    pub decode_tokens: u32,
    /// Organisations with the most waiting work, in descending order.
    pub shares: Vec<Share>,
}

impl WaitingWork {
    /// Sum of the tokens to prefill and to generate.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prefill_tokens) + u64::from(self.decode_tokens)
    }
}

/// Waiting work of one organisation within a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// xxh3 hash of the organisation's name.
    pub organisation: u64,
    /// The organisation's weight.
    pub weight: u32,
    /// Tokens to prefill and to generate.
    pub tokens: u32,
}
