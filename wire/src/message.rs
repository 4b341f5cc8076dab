//! Requests between processes, and their answers.

use {
    crate::{failure::Failure, frame::Header, id::Attempt},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tamarackdale_core::{cost, floor, tier::Rank},
};

/// Offers a request to a sidecar. It gives no right to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enqueue {
    /// The offer's identifier, never used before.
    pub attempt: Attempt,
    /// Boot of the sidecar that the offer is meant for.
    pub boot: u64,
    /// Service asked.
    pub service: String,
    /// Organisation that asks.
    pub organisation: String,
    /// Tier, 0 the most urgent.
    pub rank: u8,
    /// Store revision of the document that the request was accepted under.
    pub revision: i64,
    /// Shed floor known to the router.
    pub floor: u8,
    /// Time until the floor is lowered, in milliseconds.
    pub floor_ms: u32,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Estimated cost.
    pub cost: Cost,
    /// Whether the answer is kept whole for retries after it has been acknowledged.
    pub keep_answer: bool,
    /// Whether the request goes on when its caller and its router are gone.
    pub finish_alone: bool,
    /// Whether a request that can no longer meet its deadline is served all the same.
    pub finish_late: bool,
    /// Weight of the organisation in the sharing of its tier.
    pub weight: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service's name.
    pub path: String,
    /// End to end HTTP headers.
    pub headers: Vec<Header>,
    /// HTTP body.
    pub body: Bytes,
}

/// Estimated cost of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Tokens to prefill, cached ones included.
    pub prefill_tokens: u32,
    /// Tokens to generate.
    pub decode_tokens: u32,
    /// Hashes of the prompt's prefixes, one per block, shortest first.
    pub prefixes: Vec<u64>,
}

/// Gives the right to dispatch one waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot of the sidecar that holds it.
    pub boot: u64,
}

/// Answer to a [`Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Granted {
    /// The attempt is dispatched.
    Dispatched,
    /// The grant has no effect; the failure's verdict says what is known.
    Refused(Failure),
}

/// Asks for the rest of an attempt's answer; a waiting attempt is voided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot of the sidecar that holds it.
    pub boot: u64,
    /// Bytes of the answer already received.
    pub offset: u64,
    /// Whether the head was already received.
    pub head_received: bool,
}

/// Withdraws an attempt: voided if it waits, cancelled at the backend server if it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot of the sidecar that holds it.
    pub boot: u64,
}

/// Says that bytes of the answer have been received and need not be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledge {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot of the sidecar that holds it.
    pub boot: u64,
    /// Bytes received.
    pub offset: u64,
    /// Whether the whole answer has been received.
    pub complete: bool,
}

/// Tells the shed floor that is to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// The least urgent rank that is served.
    pub rank: u8,
    /// Time until the floor is lowered, in milliseconds.
    pub remaining_ms: u32,
}

impl From<floor::Notice> for Floor {
    fn from(notice: floor::Notice) -> Self {
        Self {
            rank: notice.rank.0,
            remaining_ms: u32::try_from(notice.remaining.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<Floor> for floor::Notice {
    fn from(floor: Floor) -> Self {
        Self {
            rank: Rank(floor.rank),
            remaining: Duration::from_millis(floor.remaining_ms.into()),
        }
    }
}

/// A service document with its place in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Store revision at which it was written.
    pub revision: i64,
    /// TOML text.
    pub text: String,
}

impl From<cost::Cost> for Cost {
    fn from(cost: cost::Cost) -> Self {
        Self {
            prefill_tokens: cost.prefill_tokens,
            decode_tokens: cost.decode_tokens,
            prefixes: cost.prefixes,
        }
    }
}

impl From<Cost> for cost::Cost {
    fn from(cost: Cost) -> Self {
        Self {
            prefill_tokens: cost.prefill_tokens,
            decode_tokens: cost.decode_tokens,
            prefixes: cost.prefixes,
        }
    }
}
