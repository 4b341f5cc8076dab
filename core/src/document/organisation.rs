//! Organisations of a document.

use super::key::Hash;

/// An organisation that calls a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique in the document.
    pub name: String,
    /// Hashes of its API keys.
    pub key_hashes: Vec<Hash>,
    /// Weight of its share of the service among organisations that wait in the same tier.
    pub weight: u32,
    /// Names of the tiers that it may use; the first is its default.
    pub tiers: Vec<String>,
    /// Maximum rate of requests over all routers.
    pub requests_per_second: Option<f64>,
    /// Maximum number of concurrent requests over all routers.
    pub concurrent: Option<u32>,
}

impl Organisation {
    /// Whether it may use a tier.
    pub fn may_use(&self, tier: &str) -> bool {
        self.tiers.iter().any(|name| name == tier)
    }

    /// Name of the tier of requests that do not specify one.
    pub fn default_tier(&self) -> &str {
        self.tiers.first().map_or("", String::as_str)
    }
}
