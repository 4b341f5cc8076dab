//! Organisations and their quotas.

use crate::tier::Rank;

/// Unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the sum of its prompt tokens and its maximum output tokens.
    Tokens {
        /// Count of a request that does not state its tokens.
        unstated: u32,
    },
}

/// Quota of an organisation, shared by all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Maximum number of units that may be used at once.
    pub burst: f64,
    /// Unit of `rate` and `burst`.
    pub unit: Unit,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Rank of all its requests, which overrides that of the route.
    pub rank: Option<Rank>,
    /// Quota; none if unlimited.
    pub quota: Option<Quota>,
}
