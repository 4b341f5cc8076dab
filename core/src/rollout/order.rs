//! Orders of the operator and the statuses that answer them, as they are kept in the store.

use {crate::revision::Revision, std::time::Duration};

/// What an order asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Version that is to get the traffic.
    pub to: String,
    /// Time within which it is to get all of it.
    pub ramp: Duration,
}

/// An order that asks for nothing that can be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// Version that it names, as far as it can be read.
    pub to: String,
    /// What is wrong with it.
    pub reason: String,
}

/// An order in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Revision of the key.
    pub revision: Revision,
    /// What it asks for.
    pub target: Result<Target, Invalid>,
}

/// State of a rollout in a status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The new version is tried out.
    Running,
    /// The new version has all of the traffic, and the other servers may stop.
    Completed,
    /// The new version has none of the traffic.
    RolledBack,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// State of the rollout.
    pub state: State,
    /// Version that the order names.
    pub to: String,
    /// Cause of the state.
    pub reason: Option<String>,
}

/// A status in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedStatus {
    /// Revision of the key.
    pub revision: Revision,
    /// The status, or `None` if it cannot be read.
    pub status: Option<Status>,
}

/// What the store has for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Service.
    pub service: String,
    /// Number of the check that this answers: both keys were read after it was requested.
    pub check: Option<u64>,
    /// The order, if there is one.
    pub order: Option<Order>,
    /// The status, if there is one.
    pub status: Option<RecordedStatus>,
}

/// A status that is to be written, on condition that both keys are unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusWrite {
    /// Service.
    pub service: String,
    /// The order, whose revision is expected.
    pub order: Order,
    /// Expected revision of the status; `None` if there is none.
    pub expected: Option<Revision>,
    /// The status.
    pub status: Status,
}

impl RecordedStatus {
    /// The state that answers an order. A status is conditional on the order's revision, so one that was
    /// written after the order belongs to it.
    pub fn state_of(&self, order: Revision, to: &str) -> Option<&Status> {
        let is_later = self.revision.era == order.era && self.revision.number > order.number;
        let status = self.status.as_ref();
        status.filter(|status| is_later && status.to == to)
    }
}
