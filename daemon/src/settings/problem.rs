//! What is wrong with the settings.

use {
    derive_more::{Display, Error},
    miette::Diagnostic,
};

/// One wrong, missing or contradictory setting.
#[derive(Clone, Debug, Display, Error, Diagnostic, PartialEq, Eq)]
#[display("{origin}: {found}")]
#[diagnostic(help("expected {expected}"))]
pub struct Problem {
    /// The flag or the environment variable.
    pub origin: String,
    /// What was found there.
    pub found: String,
    /// The form that was expected.
    pub expected: String,
}

/// All that is wrong with the settings.
#[derive(Clone, Debug, Display, Error, Diagnostic, PartialEq, Eq)]
#[display("the settings are not usable")]
pub struct Problems {
    /// Each of the problems.
    #[related]
    #[error(not(source))]
    pub problems: Vec<Problem>,
}
