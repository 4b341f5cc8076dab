//! Requests between processes, and their responses.

use {
    crate::{failure::Failure, frame::Header, id::Attempt, poison::Poison},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{cost, digest, floor, poison::Notice, tier::Rank, time::Timestamp},
};

/// Offers a request to a sidecar. The sidecar dispatches it only after a [`Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Enqueue {
    /// Identifier of the offer, unique to it.
    pub attempt: Attempt,
    /// Boot identifier of the sidecar that the offer is addressed to.
    pub boot: u64,
    /// Service that the request is for.
    pub service: String,
    /// Organisation that the caller belongs to.
    pub organisation: String,
    /// Rank of the request's tier; 0 is the most urgent.
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
    /// Whether the whole response is kept for retries after it has been acknowledged.
    pub keep_answer: bool,
    /// Whether the request continues when its caller and its router have disconnected.
    pub finish_alone: bool,
    /// Whether the request is served even if it can no longer meet its deadline.
    pub finish_late: bool,
    /// Weight of the organisation in fair sharing within the tier.
    pub weight: u32,
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name.
    pub path: String,
    /// End-to-end HTTP headers.
    pub headers: Vec<Header>,
    /// HTTP body.
    pub body: Bytes,
}

impl Enqueue {
    /// Digest of what is the same when the request comes again.
    pub fn request_digest(&self) -> u64 {
        digest::request(&self.organisation, &self.method, &self.path, &self.body)
    }
}

/// Estimated cost of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Tokens to prefill, cached ones included.
    pub prefill_tokens: u32,
    /// Tokens to generate.
    pub decode_tokens: u32,
    /// Hashes of the prompt's prefixes, one per block, from the shortest to the longest.
    pub prefixes: Vec<u64>,
}

/// Permits the dispatch of one waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot identifier of the sidecar that holds it.
    pub boot: u64,
}

/// Response to a [`Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantResponse {
    /// The attempt was dispatched.
    Dispatched,
    /// The grant had no effect.
    Refused {
        /// The attempt, which tells the response from one to an earlier grant.
        attempt: Attempt,
        /// Its verdict tells whether the request may have run.
        failure: Failure,
    },
}

/// Requests the rest of an attempt's response. An attempt that still waits is voided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot identifier of the sidecar that holds it.
    pub boot: u64,
    /// Bytes of the response body already received.
    pub offset: u64,
    /// Whether the response head was already received.
    pub head_received: bool,
}

/// Withdraws an attempt: it is voided if it waits, and cancelled at the backend server if it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot identifier of the sidecar that holds it.
    pub boot: u64,
}

/// Acknowledges received bytes of the response, which need not be kept any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledge {
    /// The attempt.
    pub attempt: Attempt,
    /// Boot identifier of the sidecar that holds it.
    pub boot: u64,
    /// Bytes received.
    pub offset: u64,
    /// Whether the whole response has been received.
    pub complete: bool,
}

/// Sets the shed floor.
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

/// Tells a sidecar what its other routers are to know of requests that crash backend servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notices {
    /// What is told, oldest first.
    pub poison: Vec<Poison>,
}

impl Notices {
    /// Converts notices at the time `now` of the sender's clock.
    pub fn new(notices: &[Arc<Notice>], now: Timestamp) -> Self {
        let notices = notices.iter();
        Self {
            poison: notices.map(|notice| Poison::new(notice, now)).collect(),
        }
    }

    /// The notices on the clock of the receiver, which received them at `now`.
    pub fn into_notices(self, now: Timestamp) -> Vec<Notice> {
        let told = self.poison.into_iter();
        told.filter_map(|told| told.into_notice(now)).collect()
    }
}

/// A service's document with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Store revision at which the document was written.
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
