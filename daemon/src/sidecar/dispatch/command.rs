//! Commands to the dispatch worker.

use {
    crate::sidecar::task::Handle,
    std::time::Duration,
    tamarackdale_core::{
        cost::Cost,
        document::Revision,
        failure::Failure,
        floor::Notice,
        id::{Attempt, Boot},
        poison,
        queue::{Entry, LatePolicy},
        tier::Rank,
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_wire::message::Enqueue,
    tokio::sync::oneshot,
};

/// Command to the dispatch worker.
pub enum Command {
    /// A router offers an attempt.
    Enqueue {
        /// The offer.
        offer: Box<Offer>,
        /// The attempt's task.
        task: Handle,
        /// Receives whether the attempt has been queued.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// A router grants an attempt.
    Grant {
        /// The attempt.
        attempt: Attempt,
        /// Boot of the sidecar that the grant is for.
        boot: Boot,
        /// Receives whether the attempt has been dispatched.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// A router that lost its connection wants to continue reading an attempt's response.
    Resume {
        /// The attempt.
        attempt: Attempt,
        /// Boot of the sidecar that the attempt was offered to.
        boot: Boot,
        /// Receives the attempt's task, or why there is none.
        reply: oneshot::Sender<Result<Handle, Failure>>,
    },
    /// The attempt's response is no longer needed.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// A router has received part of a response.
    Acknowledge {
        /// The attempt.
        attempt: Attempt,
        /// Number of bytes received.
        offset: u64,
        /// Whether the response was received to its end.
        complete: bool,
    },
    /// A router announces the shed floor that it knows.
    Floor(Notice),
    /// The backend server's cache has evicted a prefix.
    Evicted(u64),
    /// A running attempt was lost when the backend server crashed.
    LostAtCrash {
        /// Digest of what is the same when the request comes again.
        request_digest: u64,
    },
    /// A router tells what its peers are to know of requests that crash backend servers.
    Notices(Vec<poison::Notice>),
    /// A running attempt has generated tokens.
    Progressed(Progress),
    /// A running attempt has ended.
    Finished {
        /// The attempt.
        attempt: Attempt,
        /// Whether it ran.
        verdict: Verdict,
    },
}

/// An attempt as a router offers it, without the request itself.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot of the sidecar that the attempt is offered to.
    pub boot: Boot,
    /// Revision of the document that the request was accepted under.
    pub revision: Revision,
    /// Organisation that sent the request.
    pub organisation: String,
    /// Weight of the organisation in fair sharing.
    pub weight: u32,
    /// Tier.
    pub rank: Rank,
    /// Shed floor that the router knows.
    pub floor: Notice,
    /// Time until the deadline.
    pub remaining: Duration,
    /// What happens to the attempt once it cannot meet its deadline.
    pub late: LatePolicy,
    /// Estimated cost.
    pub cost: Cost,
}

/// Tokens that a running attempt has generated.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The attempt.
    pub attempt: Attempt,
    /// Whether these are the first tokens.
    pub first: bool,
    /// Number of tokens.
    pub tokens: u32,
    /// Time since the dispatch, or since the previous tokens.
    pub elapsed: Duration,
}

impl Offer {
    /// The queue entry of an attempt that arrived at `now`.
    pub fn into_entry(self, now: Timestamp) -> Entry {
        Entry {
            attempt: self.attempt,
            rank: self.rank,
            organisation: self.organisation,
            weight: self.weight,
            cost: self.cost,
            deadline: now.plus(self.remaining),
            late: self.late,
            enqueued: now,
        }
    }
}

impl From<&Enqueue> for Offer {
    fn from(message: &Enqueue) -> Self {
        let late = if message.finish_late {
            LatePolicy::Finish
        } else {
            LatePolicy::Drop
        };
        Self {
            attempt: message.attempt.into(),
            boot: Boot(message.boot),
            revision: Revision(message.revision),
            organisation: message.organisation.clone(),
            weight: message.weight,
            rank: Rank(message.rank),
            floor: Notice {
                rank: Rank(message.floor),
                remaining: Duration::from_millis(message.floor_ms.into()),
            },
            remaining: Duration::from_millis(message.remaining_ms),
            late,
            cost: message.cost.clone().into(),
        }
    }
}
