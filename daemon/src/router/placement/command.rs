//! Messages to the placement duty.

use {
    super::Placed,
    crate::router::inbound::InboundRequest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::Failure,
        id::{Attempt, Instance},
        limit::Share,
        report::Report,
        time::Timestamp,
    },
    tamarackdale_wire::status::Decision,
    tokio::sync::oneshot,
};

/// Message to the placement duty.
pub enum Command {
    /// Take a request into its organisation's limits.
    Admit {
        /// The request.
        request: Arc<InboundRequest>,
        /// Whether it is within the limits.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// Take an admitted request out of its organisation's limits.
    Release {
        /// Service asked.
        service: String,
        /// Organisation that asked.
        organisation: String,
        /// Time from acceptance to the end.
        elapsed: Duration,
    },
    /// Choose a sidecar.
    Place {
        /// What is wanted.
        wanted: Wanted,
        /// The choice, or why there is none.
        reply: oneshot::Sender<Result<Placed, Failure>>,
    },
    /// An attempt has ended.
    Settle {
        /// Service asked.
        service: String,
        /// The sidecar's instance.
        instance: Instance,
        /// The attempt.
        attempt: Attempt,
        /// Why the sidecar did not run it, if it did not.
        refused: Option<Failure>,
    },
    /// Recall the decisions on a request.
    Recall {
        /// Identifier of the request.
        key: String,
        /// The decisions, oldest first.
        reply: oneshot::Sender<Vec<Decision>>,
    },
    /// Something was seen of a sidecar.
    Sight(Box<Sighting>),
    /// This router's place among the live routers has changed.
    Share(Share),
}

/// A request for which a sidecar is wanted.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The request.
    pub request: Arc<InboundRequest>,
    /// Instances not to be chosen.
    pub excluded: Vec<Instance>,
    /// Why the sidecar chosen before did not run it, if there was one.
    pub moved: Option<Failure>,
    /// Deadline of the request.
    pub deadline: Timestamp,
}

/// What was seen of a sidecar.
#[derive(Clone, Debug)]
pub enum Sighting {
    /// It sent a report.
    Report {
        /// The report.
        report: Report,
        /// Address of its peer listener.
        address: SocketAddr,
    },
    /// It takes no new work.
    Leaving {
        /// Service of its backend server.
        service: String,
        /// Its instance.
        instance: Instance,
    },
    /// It is not to be reached or not listed any more.
    Gone {
        /// Service of its backend server.
        service: String,
        /// Its instance.
        instance: Instance,
    },
}
