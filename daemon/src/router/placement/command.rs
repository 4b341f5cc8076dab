//! Messages to the placement worker.

use {
    super::Assignment,
    crate::router::inbound::InboundRequest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::Failure,
        id::{Attempt, Instance},
        limit::RouterShare,
        report::Report,
        time::Timestamp,
    },
    tamarackdale_wire::status::Decision,
    tokio::sync::oneshot,
};

/// Message to the placement worker.
pub enum Command {
    /// Count a request against its organisation's limits.
    Admit {
        /// The request.
        request: Arc<InboundRequest>,
        /// Receives whether the request is within the limits.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// Release an admitted request from its organisation's limits.
    Release {
        /// Service that the request was for.
        service: String,
        /// Organisation of the caller.
        organisation: String,
        /// Time from acceptance to the end of the request.
        elapsed: Duration,
    },
    /// Choose a sidecar for a request.
    Place {
        /// The request and the constraints on the choice.
        placement: PlacementRequest,
        /// Receives the assignment, or the reason why there is none.
        reply: oneshot::Sender<Result<Assignment, Failure>>,
    },
    /// Check that backend servers do not crash when they run a request.
    Check {
        /// The request.
        request: Arc<InboundRequest>,
        /// Receives whether it may be granted.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// An attempt has been granted.
    Granted {
        /// The request.
        request: Arc<InboundRequest>,
        /// The attempt.
        attempt: Attempt,
    },
    /// A request was answered by its backend server.
    Answered {
        /// The request.
        request: Arc<InboundRequest>,
        /// Time from the grant to the end of the response.
        elapsed: Duration,
    },
    /// An attempt has ended.
    FinishAttempt {
        /// Service that the request is for.
        service: String,
        /// Instance of the sidecar.
        instance: Instance,
        /// The attempt.
        attempt: Attempt,
        /// Why the sidecar did not run it, if it did not.
        failure: Option<Failure>,
    },
    /// Return the logged decisions on a request.
    Decisions {
        /// Idempotency key of the request.
        key: String,
        /// Receives the decisions, oldest first.
        reply: oneshot::Sender<Vec<Decision>>,
    },
    /// The state of a sidecar has changed.
    SidecarEvent(Box<SidecarEvent>),
    /// This router's position among the live routers has changed.
    Share(RouterShare),
}

/// A request that needs a sidecar.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The request.
    pub request: Arc<InboundRequest>,
    /// Instances that must not be chosen.
    pub excluded: Vec<Instance>,
    /// Why the previously chosen sidecar did not run the request, if there was one.
    pub previous_failure: Option<Failure>,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// Whether the router is shutting down, so that it is to be known well how long the request takes.
    pub is_closing: bool,
}

/// A change in the state of a sidecar.
#[derive(Clone, Debug)]
pub enum SidecarEvent {
    /// It sent a report.
    Report {
        /// The report.
        report: Box<Report>,
        /// Address of its peer listener.
        address: SocketAddr,
        /// Its data centre.
        data_centre: String,
    },
    /// It accepts no new work.
    Leaving {
        /// Service of its backend server.
        service: String,
        /// Its instance.
        instance: Instance,
    },
    /// It is no longer reachable or no longer listed.
    Gone {
        /// Service of its backend server.
        service: String,
        /// Its instance.
        instance: Instance,
    },
}
