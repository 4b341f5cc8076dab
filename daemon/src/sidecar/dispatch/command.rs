//! Messages to the dispatch duty.

use {
    crate::sidecar::task::Handle,
    std::time::Duration,
    tamarackdale_core::{
        cost::Cost,
        document::Revision,
        failure::Failure,
        floor::Notice,
        id::{Attempt, Boot},
        queue::{Entry, LatePolicy},
        tier::Rank,
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_wire::message::Enqueue,
    tokio::sync::oneshot,
};

/// Message to the dispatch duty.
pub enum Command {
    /// A router offers an attempt.
    Enqueue {
        /// The offer.
        offer: Box<Offer>,
        /// The attempt's task.
        task: Handle,
        /// Whether the attempt waits now.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// A router grants an attempt.
    Grant {
        /// The attempt.
        attempt: Attempt,
        /// The incarnation meant.
        boot: Boot,
        /// Whether the attempt is dispatched.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// A router asks what became of an attempt.
    Resume {
        /// The attempt.
        attempt: Attempt,
        /// The incarnation meant.
        boot: Boot,
        /// The attempt's task, or what is known otherwise.
        reply: oneshot::Sender<Result<Handle, Failure>>,
    },
    /// Nobody wants the attempt any more.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// A router has received part of an answer.
    Acknowledge {
        /// The attempt.
        attempt: Attempt,
        /// Bytes received.
        offset: u64,
        /// Whether that is all.
        complete: bool,
    },
    /// A router tells the shed floor.
    Floor(Notice),
    /// The backend server's cache has evicted a prefix.
    Evicted(u64),
    /// A running attempt's answer has grown.
    Progressed(Progress),
    /// A running attempt has ended.
    Finished {
        /// The attempt.
        attempt: Attempt,
        /// Whether it ran.
        verdict: Verdict,
    },
}

/// What the dispatch duty needs to know of an attempt.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The attempt.
    pub attempt: Attempt,
    /// The incarnation meant.
    pub boot: Boot,
    /// Revision of the document that the request was accepted under.
    pub revision: Revision,
    /// Organisation that asks.
    pub organisation: String,
    /// Share of the organisation.
    pub weight: u32,
    /// Tier.
    pub rank: Rank,
    /// Shed floor known to the router.
    pub floor: Notice,
    /// Time until the deadline.
    pub remaining: Duration,
    /// What happens once the deadline cannot be met.
    pub late: LatePolicy,
    /// Estimated cost.
    pub cost: Cost,
}

/// Growth of a running attempt's answer.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The attempt.
    pub attempt: Attempt,
    /// Whether these are the first tokens.
    pub first: bool,
    /// Number of tokens.
    pub tokens: u32,
    /// Time since the dispatch or since the tokens before.
    pub elapsed: Duration,
}

impl Offer {
    /// The queue entry of the attempt, which came now.
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
    fn from(order: &Enqueue) -> Self {
        let late = if order.finish_late {
            LatePolicy::Finish
        } else {
            LatePolicy::Drop
        };
        Self {
            attempt: order.attempt.into(),
            boot: Boot(order.boot),
            revision: Revision(order.revision),
            organisation: order.organisation.clone(),
            weight: order.weight,
            rank: Rank(order.rank),
            floor: Notice {
                rank: Rank(order.floor),
                remaining: Duration::from_millis(order.floor_ms.into()),
            },
            remaining: Duration::from_millis(order.remaining_ms),
            late,
            cost: order.cost.clone().into(),
        }
    }
}
