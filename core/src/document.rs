//! The configuration document of a service: its organisations, tiers, actions and backend servers.
//!
//! Operators write it as TOML. [`Document::parse`] validates the whole text, so that every
//! `Document` is consistent.

pub mod action;
pub mod change;
mod conversion;
pub mod example;
pub mod key;
pub mod organisation;
pub mod problem;
mod source;
pub mod tier;
mod validation;

pub use {
    action::Action, key::Hash, organisation::Organisation, problem::Problem, problem::Problems,
    tier::Tier,
};

use {
    crate::tier::Rank,
    derive_more::{Display, FromStr},
    std::collections::HashMap,
};

/// Maximum size of a document; the key-value store accepts values of at most a megabyte.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// Maximum number of tiers in a document.
pub const MAX_TIERS: usize = 16;

/// Revision of the key-value store at which a document was written. Revisions increase.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub i64);

/// Kind of backend server of a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines, which stream tokens.
    Model,
    /// Ordinary HTTP services.
    Plain,
}

/// Whether backend servers reject a command to load or unload a model if its fencing token is
/// outdated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum Fencing {
    /// Commands with an outdated token are rejected.
    Obeyed,
    /// The token is not checked.
    Ignored,
}

/// A model that is loaded on a service's backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name of the model on the backend servers.
    pub name: String,
    /// Number of backend servers that should load it.
    pub replicas: u32,
}

/// A validated service document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Name of the service, which is the first segment of request paths.
    pub service: String,
    /// Kind of its backend servers.
    pub kind: Kind,
    /// Tiers in descending order of urgency.
    pub tiers: Vec<Tier>,
    /// Organisations that may call the service.
    pub organisations: Vec<Organisation>,
    /// Actions that are not idempotent.
    pub actions: Vec<Action>,
    /// Whether its backend servers check fencing tokens.
    pub fencing: Fencing,
    /// Models to place on the backend servers; empty for a plain service.
    pub models: Vec<Model>,
    /// Index of the organisation of each key.
    organisations_by_key: HashMap<Hash, usize>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// All problems of the text; if it does not match the schema, only the first one.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let source = source::Document::parse(text)?;
        validation::check(&source)?;
        Ok(source.into())
    }

    /// The organisation that an API key belongs to.
    pub fn authenticate(&self, api_key: &str) -> Option<&Organisation> {
        let index = self.organisations_by_key.get(&Hash::of(api_key))?;
        self.organisations.get(*index)
    }

    /// The organisation of that name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| organisation.name == name)
    }

    /// The tier of that name, and its rank.
    pub fn tier(&self, name: &str) -> Option<(Rank, &Tier)> {
        let index = self.tiers.iter().position(|tier| tier.name == name)?;
        let rank = Rank(u8::try_from(index).ok()?);
        Some((rank, &self.tiers[index]))
    }

    /// Whether a request may run more than once. `path` is the part after the service's name.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self
            .actions
            .iter()
            .any(|action| action.matches(method, path))
    }

    /// Builds the index of API keys.
    fn with_key_index(mut self) -> Self {
        self.organisations_by_key = self
            .organisations
            .iter()
            .enumerate()
            .flat_map(|(index, organisation)| {
                organisation
                    .key_hashes
                    .iter()
                    .map(move |hash| (*hash, index))
            })
            .collect();
        self
    }
}
