//! Errors on the path of a request, each with its verdict.

use {
    crate::verdict::Verdict,
    derive_more::{Display, Error, FromStr},
    std::time::Duration,
};

/// Why a request was not answered by its backend server.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Reason {
    /// Shed: the service is overloaded at the request's tier.
    Overload,
    /// The predicted completion is later than the deadline.
    Infeasible,
    /// The deadline passed before the request was dispatched.
    DeadlinePassed,
    /// The organisation is over its own rate or concurrency limit.
    OrganisationLimit,
    /// The process is shutting down.
    Closing,
    /// The process does not have its configuration yet.
    NotReady,
    /// The configuration revision of the request is older than the one in force.
    StaleRevision,
    /// The message names another boot of the instance.
    WrongIncarnation,
    /// The attempt is not waiting here, so a grant for it has no effect.
    Void,
    /// No live backend server can take the request.
    NoBackendServer,
    /// The key-value service cannot record the claim that a non-idempotent request needs.
    StoreUnavailable,
    /// The caller went away or its router withdrew the attempt.
    Cancelled,
    /// Another request with the same key holds the claim, and its answer cannot be fetched.
    Duplicate,
    /// The idempotency key was used with another payload.
    KeyReused,
    /// The connection to the sidecar or to the backend server was lost.
    ConnectionLost,
    /// The backend server failed or broke its protocol.
    BackendServer,
    /// An internal ring or buffer is full.
    Full,
    /// The request is malformed or not authorised.
    BadRequest,
}

impl Reason {
    /// Whether the refusal counts as a shed for the promise on tier order.
    pub fn is_shed(self) -> bool {
        matches!(self, Self::Overload | Self::Full)
    }
}

/// A request's failure: whether it may have run, why, and when to come back.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
#[display("{reason} ({verdict})")]
pub struct Failure {
    /// What is known about the request's execution.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// When a retry is worth making, if that can be told.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure with the given verdict and no retry hint.
    pub fn new(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason,
            retry_after: None,
        }
    }

    /// A failure of a request that is proved not to have run.
    pub fn not_run(reason: Reason) -> Self {
        Self::new(Verdict::NotRun, reason)
    }

    /// A failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    /// Adds the delay after which a retry is worth making.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
