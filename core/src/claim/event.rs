//! Inputs and outputs of the claim state machine.

use {
    super::{Record, Revision, Version},
    crate::{
        attempt::Resumption,
        failure::Failure,
        id::{Attempt, Incarnation},
    },
    std::time::Duration,
};

/// Result of the machine's last action.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The key-value store wrote the record.
    Written,
    /// The condition of the write did not hold; this is the current record, if any.
    Conflict(Option<Version>),
    /// Result of the read.
    Read(Option<Version>),
    /// The key-value store did not respond; a write may have taken effect, or may do so later.
    NoResponse,
    /// Response of the sidecar.
    Resumed(Resumption),
    /// The sidecar did not respond.
    Unreachable,
    /// The incarnation in the record is known to have ended.
    IncarnationEnded,
}

/// What the router does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record if there is none; on conflict, also read the existing one.
    Create(Record),
    /// Replace the record that was written at `revision`; on conflict, also read the existing one.
    Replace {
        /// The new record.
        record: Record,
        /// Revision of the record to replace.
        revision: Revision,
    },
    /// Read the record.
    Read,
    /// Ask the sidecar for the outcome of another router's attempt; the sidecar voids the attempt
    /// if it was not dispatched.
    Resume {
        /// The sidecar.
        incarnation: Incarnation,
        /// The attempt.
        attempt: Attempt,
    },
    /// The claim is held: send the grant, once. This is a final action.
    Grant,
    /// Another attempt runs the request: relay its response and withdraw this one. This is a final
    /// action.
    Attach {
        /// The sidecar.
        incarnation: Incarnation,
        /// The attempt.
        attempt: Attempt,
    },
    /// Withdraw this attempt, which has not been granted, and send the failure to the caller. This
    /// is a final action.
    Fail(Failure),
}

/// An action and the delay before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// Action to perform.
    pub action: Action,
    /// Time to wait first.
    pub delay: Duration,
}
