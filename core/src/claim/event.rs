//! Inputs and outputs of the claim machine.

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
    /// The key-value service wrote the record.
    Written,
    /// The write's condition did not hold; this is what stands under the key.
    Conflict(Option<Version>),
    /// The read's result.
    Read(Option<Version>),
    /// The key-value service did not answer; a write may have taken effect, or may do so later.
    NoResponse,
    /// The sidecar's answer.
    Resumed(Resumption),
    /// The sidecar did not answer.
    Unreachable,
    /// The incarnation asked for is known to have ended.
    IncarnationEnded,
}

/// What the router does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record if there is none; on conflict also read.
    Create(Record),
    /// Replace the record that was written at `revision`; on conflict also read.
    Replace {
        /// The new record.
        record: Record,
        /// Revision of the record to be replaced.
        revision: Revision,
    },
    /// Read the record.
    Read,
    /// Ask the sidecar what became of another's attempt; the sidecar voids it if it waits.
    Resume {
        /// The sidecar.
        incarnation: Incarnation,
        /// The attempt.
        attempt: Attempt,
    },
    /// The claim is held: send the grant, once. The last action.
    Grant,
    /// Another attempt runs the request: relay its answer and withdraw the own attempt. The last
    /// action.
    Attach {
        /// The sidecar.
        incarnation: Incarnation,
        /// The attempt.
        attempt: Attempt,
    },
    /// Withdraw the own attempt, which is not granted, and answer the caller. The last action.
    Fail(Failure),
}

/// An action and how long to wait before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// What to do.
    pub action: Action,
    /// Delay before it is done.
    pub delay: Duration,
}
