//! Organisations and their quotas.

use crate::tier::Rank;

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and most output tokens.
    Tokens {
        /// Count of a request that states no tokens.
        unstated: u32,
    },
}

/// Quota of an organisation over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Rank of all its requests, whatever the route says.
    pub rank: Option<Rank>,
    /// Quota; none if it may send without a limit.
    pub quota: Option<Quota>,
}
