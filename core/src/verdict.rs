//! Whether a request may have run.

use derive_more::{Display, FromStr};

/// Whether a backend server may have run a request.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Verdict {
    /// Provably not dispatched, and never will be.
    NotRun,
    /// Dispatched or possibly dispatched, with an unknown result.
    MayHaveRun,
    /// Dispatched, and the backend server responded.
    Ran,
}
