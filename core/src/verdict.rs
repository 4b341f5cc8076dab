//! Whether a request may have run.

use derive_more::{Display, FromStr};

/// What is known about the execution of a request by a backend server.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Verdict {
    /// Proved not to have been dispatched, now or later.
    NotRun,
    /// Dispatched, or possibly dispatched, with an unknown result.
    MayHaveRun,
    /// Dispatched, and the backend server answered.
    Ran,
}
