//! Tiers of a document.

use {derive_more::Display, std::time::Duration};

/// Tier of urgency. Its place in the document is its rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Name, as callers give it.
    pub name: String,
    /// Time from acceptance to the whole answer.
    pub deadline: Duration,
    /// What becomes of work that can no longer meet its deadline.
    pub late: LatePolicy,
    /// What becomes of a running request whose caller is gone.
    pub disconnect: DisconnectPolicy,
}

/// What becomes of work that can no longer meet its deadline.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum LatePolicy {
    /// It is refused at once and not started.
    Drop,
    /// It is run all the same.
    Finish,
}

/// What becomes of a running request whose caller is gone.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum DisconnectPolicy {
    /// It is cancelled at the backend server.
    Cancel,
    /// It runs on, and its answer is kept for a retry with the same key.
    Finish,
}
