//! Failures of requests, each with its verdict.

use {
    crate::verdict::Verdict,
    derive_more::{Display, Error, FromStr},
    std::time::Duration,
};

/// Reason why a request has no response from its backend server.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Reason {
    /// Shed, since the service is overloaded at the request's tier.
    Overload,
    /// The predicted completion is later than the deadline.
    Infeasible,
    /// The deadline passed before the request was dispatched.
    DeadlinePassed,
    /// The organisation exceeds its rate or concurrency limit.
    OrganisationLimit,
    /// The process is shutting down.
    Closing,
    /// The process has not received its configuration yet.
    NotReady,
    /// The configuration revision of the request is older than the one in force.
    StaleRevision,
    /// The message names another boot of the instance.
    WrongIncarnation,
    /// The attempt is not waiting here, so a grant for it has no effect.
    Void,
    /// No live backend server can accept the request.
    NoBackendServer,
    /// The key-value store cannot record the claim that a non-idempotent request needs.
    StoreUnavailable,
    /// The caller disconnected or its router withdrew the attempt.
    Cancelled,
    /// Another request with the same key holds the claim, and its response cannot be fetched.
    Duplicate,
    /// The idempotency key was used before with another payload.
    KeyReused,
    /// The connection to the sidecar or to the backend server was lost.
    ConnectionLost,
    /// The backend server failed or violated the protocol.
    BackendServer,
    /// An internal ring or other buffer is full.
    Full,
    /// Backend servers crash when they run this request.
    Quarantined,
    /// The request is malformed or not authorised.
    BadRequest,
}

impl Reason {
    /// Whether the refusal counts as a shed for the guarantee on the order of tiers.
    pub fn is_shed(self) -> bool {
        matches!(self, Self::Overload | Self::Full)
    }
}

/// Failure of a request: whether it may have run, the reason, and when to retry.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
#[display("{reason} ({verdict})")]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason of the failure.
    pub reason: Reason,
    /// Delay after which a retry is worthwhile, if known.
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

    /// A failure of a request that provably has not run.
    pub fn not_run(reason: Reason) -> Self {
        Self::new(Verdict::NotRun, reason)
    }

    /// A failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    /// Sets the delay after which a retry is worthwhile.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
