//! Tiers of a document.

use {derive_more::Display, std::time::Duration};

/// Tier of urgency. Its position in the document is its rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Name by which callers select it.
    pub name: String,
    /// Maximum time from acceptance to the complete response.
    pub deadline: Duration,
    /// Policy for requests that can no longer meet their deadline.
    pub late: LatePolicy,
    /// Policy for running requests whose caller has disconnected.
    pub disconnect: DisconnectPolicy,
}

/// Policy for requests that can no longer meet their deadline.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum LatePolicy {
    /// They are refused immediately and not started.
    Drop,
    /// They are run anyway.
    Finish,
}

/// Policy for running requests whose caller has disconnected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
pub enum DisconnectPolicy {
    /// They are cancelled at the backend server.
    Cancel,
    /// They continue, and their response is kept for a retry with the same key.
    Finish,
}
