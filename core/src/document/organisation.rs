//! Organisations of a document.

use super::key::Hash;

/// A caller of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique in the document.
    pub name: String,
    /// Hashes of its API keys.
    pub key_hashes: Vec<Hash>,
    /// Share of the service among organisations that wait in the same tier.
    pub weight: u32,
    /// Names of the tiers it may ask for; the first is its default.
    pub tiers: Vec<String>,
    /// Most requests a second over all routers.
    pub requests_per_second: Option<f64>,
    /// Most requests in progress over all routers.
    pub concurrent: Option<u32>,
}

impl Organisation {
    /// Whether it may ask for a tier.
    pub fn may_use(&self, tier: &str) -> bool {
        self.tiers.iter().any(|name| name == tier)
    }

    /// Name of the tier of a request that names none.
    pub fn default_tier(&self) -> &str {
        self.tiers.first().map_or("", String::as_str)
    }
}
