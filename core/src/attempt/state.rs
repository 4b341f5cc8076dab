//! States of an attempt, and the outcome reported to its router.

use crate::{
    failure::{Failure, Reason},
    verdict::Verdict,
};

/// State of an attempt in the table of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Not in the table, and never was.
    Unknown,
    /// Queued; its router has not been asked for a grant yet.
    Waiting,
    /// Queued, and its router has been asked for a grant.
    Offered,
    /// Granted; the request has been sent to the backend server.
    Dispatched,
    /// The backend server's response is complete, or will never be completed.
    Finished,
    /// Never dispatched, and never will be.
    Voided,
    /// Voided and no longer in the table.
    ForgottenVoided,
    /// Possibly dispatched and no longer in the table.
    Forgotten,
}

impl State {
    /// Whether the attempt is queued, so that a grant would dispatch it.
    pub fn is_queued(self) -> bool {
        matches!(self, Self::Waiting | Self::Offered)
    }

    /// Whether the request was sent to the backend server, or may have been.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Dispatched | Self::Finished | Self::Forgotten)
    }

    /// The failure returned for a message that has no effect in this state.
    ///
    /// Its verdict is `NotRun` only if the attempt cannot be dispatched any more.
    pub(super) fn refusal(self) -> Failure {
        match self {
            Self::Voided | Self::ForgottenVoided => Failure::not_run(Reason::Void),
            _ => Failure::new(Verdict::MayHaveRun, Reason::Void),
        }
    }
}

/// Reply to a router that asks for the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resumption {
    /// Dispatched; the rest of its response is streamed as it arrives.
    Running,
    /// Dispatched, and its complete response is available.
    Finished,
    /// Not dispatched, and void from now on, which proves that the attempt did not run.
    Voided,
    /// Nothing can be proved; the verdict of the failure is `MayHaveRun`.
    Unknown(Failure),
}
