//! The document of a service: its callers, tiers, actions and backend servers.
//!
//! Operators write it as TOML. [`Document::parse`] checks the whole text; a `Document` that exists
//! is consistent.

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

/// Longest document accepted, in bytes; the key-value service holds values up to a megabyte.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// Most tiers that a document may have.
pub const MAX_TIERS: usize = 16;

/// Revision of the key-value service at which a document was written; later ones are greater.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub i64);

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines, which stream tokens.
    Model,
    /// Ordinary HTTP services.
    Plain,
}

/// Whether backend servers refuse an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum Fencing {
    /// An order with an old number is refused.
    Obeyed,
    /// The number is not looked at.
    Ignored,
}

/// A model that a service's backend servers hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name, as the backend servers know it.
    pub name: String,
    /// Backend servers that should hold it.
    pub replicas: u32,
}

/// A checked service document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Name of the service, the first segment of its callers' paths.
    pub service: String,
    /// What stands behind it.
    pub kind: Kind,
    /// Tiers, the most urgent first.
    pub tiers: Vec<Tier>,
    /// Callers.
    pub organisations: Vec<Organisation>,
    /// Actions that are not idempotent.
    pub actions: Vec<Action>,
    /// How its backend servers treat fencing numbers.
    pub fencing: Fencing,
    /// Models to place on the backend servers; empty for a plain service.
    pub models: Vec<Model>,
    keys: HashMap<Hash, usize>,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// All problems of the text. A text that does not fit the schema gives the first problem only.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let source = source::Document::parse(text)?;
        validation::check(&source)?;
        Ok(source.into())
    }

    /// The organisation that an API key belongs to.
    pub fn authenticate(&self, api_key: &str) -> Option<&Organisation> {
        let index = self.keys.get(&Hash::of(api_key))?;
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

    /// Whether a request may run more than once. `path` is the part below the service's name.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self
            .actions
            .iter()
            .any(|action| action.matches(method, path))
    }

    /// Indexes the organisations' keys.
    fn with_keys(mut self) -> Self {
        self.keys = self
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
