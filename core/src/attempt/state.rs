//! Where an attempt stands.

use crate::{
    failure::{Failure, Reason},
    verdict::Verdict,
};

/// What a table knows of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Never heard of.
    Unknown,
    /// Queued; its router has not been asked for a grant.
    Waiting,
    /// Queued, and its router has been asked for a grant.
    Offered,
    /// Granted; the request is with the backend server.
    Dispatched,
    /// The backend server's answer is complete.
    Finished,
    /// Never dispatched, and never will be.
    Voided,
    /// Voided earlier and no longer in the table.
    ForgottenVoided,
    /// Possibly dispatched earlier and no longer in the table.
    Forgotten,
}

impl State {
    /// Whether the attempt is queued, so that a grant would dispatch it.
    pub fn is_queued(self) -> bool {
        matches!(self, Self::Waiting | Self::Offered)
    }

    /// Whether the request reached the backend server, or may have.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Dispatched | Self::Finished | Self::Forgotten)
    }

    /// The failure of a message that cannot have its effect because of this state.
    ///
    /// Its verdict is `NotRun` only if the attempt cannot be dispatched any more.
    pub(super) fn refusal(self) -> Failure {
        match self {
            Self::Voided | Self::ForgottenVoided => Failure::not_run(Reason::Void),
            _ => Failure::new(Verdict::MayHaveRun, Reason::Void),
        }
    }
}

/// Answer to a router that asks what became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resumption {
    /// Dispatched; the rest of its answer follows as it comes.
    Running,
    /// Dispatched, and its whole answer is held.
    Finished,
    /// Not dispatched, and void from now on: proof that the attempt did not run.
    Voided,
    /// No proof can be given; the failure's verdict is `MayHaveRun`.
    Unknown(Failure),
}
