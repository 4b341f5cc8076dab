//! Errors in the settings.

use {
    derive_more::{Display, Error},
    miette::Diagnostic,
};

/// A missing or invalid setting.
#[derive(Clone, Debug, Display, Error, Diagnostic, PartialEq, Eq)]
#[display("{origin}: {found}")]
#[diagnostic(help("expected {expected}"))]
pub struct Problem {
    /// The flag, the environment variable or the default that the value comes from.
    pub origin: String,
    /// The invalid value, or that there is none.
    pub found: String,
    /// The expected form of the value.
    pub expected: String,
}

/// All errors in the settings.
#[derive(Clone, Debug, Display, Error, Diagnostic, PartialEq, Eq)]
#[display("the settings are invalid")]
pub struct Problems {
    /// The errors, in the order in which the settings were read.
    #[related]
    #[error(not(source))]
    pub problems: Vec<Problem>,
}
