//! Checks what callers were told against what backend servers really ran.
//!
//! Callers' records and the stand-ins' records are gathered apart, and a request is found again by
//! its service and idempotency key: the caller's own or the one that the answer names.

mod check;
mod collection;
mod execution;
mod order;
mod submission;
mod violation;

pub use {
    collection::is_idempotent,
    execution::Execution,
    order::{Floor, Tiered},
    submission::Submission,
    violation::Violation,
};

use {derive_more::Display, std::time::Duration};

/// A request as both sides name it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{service}/{key}")]
pub struct Name {
    /// Service asked.
    pub service: String,
    /// Idempotency key.
    pub key: String,
}

impl Name {
    /// The request of `service` with the key `key`.
    pub fn new(service: &str, key: &str) -> Self {
        Self {
            service: service.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// All that was recorded in one run of a system. Times count from one common start.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What callers saw.
    pub submissions: Vec<Submission>,
    /// What backend servers ran.
    pub executions: Vec<Execution>,
    /// Requests shed for overload.
    pub sheds: Vec<Tiered>,
    /// Requests that a sidecar accepted or started.
    pub starts: Vec<Tiered>,
    /// Times during which a shed floor was up.
    pub floors: Vec<Floor>,
    /// Time that a floor takes to reach every process.
    pub propagation: Duration,
}

impl History {
    /// A history without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time that a floor takes to reach every process.
    pub fn with_propagation(mut self, propagation: Duration) -> Self {
        self.propagation = propagation;
        self
    }

    /// All violations of the promises, none if they were kept.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = check::requests(self);
        violations.extend(order::check(self));
        violations
    }
}
