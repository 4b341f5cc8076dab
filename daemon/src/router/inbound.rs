//! A caller's request, checked against its service's document.

mod estimate;
pub mod head;

pub use head::{Caller, Head};

use {
    crate::configuration::catalogue::Version,
    bytes::Bytes,
    gotham::hyper::Method,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{cost::Cost, digest, id, tier::Rank},
    tamarackdale_wire::frame::Header,
    tokio::sync::OwnedSemaphorePermit,
};

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Service, organisation and key.
    pub id: id::Request,
    /// Whether the caller gave the key.
    pub keyed: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The document that the request was accepted under.
    pub version: Arc<Version>,
    /// Position of the tier.
    pub rank: Rank,
    /// Name of the tier.
    pub tier: String,
    /// Time from acceptance to the whole answer.
    pub deadline: Duration,
    /// Whether a request that can no longer meet its deadline is served all the same.
    pub finish_late: bool,
    /// Whether the request goes on when its caller has gone.
    pub finish_alone: bool,
    /// Share of the organisation.
    pub weight: u32,
    /// Estimated cost.
    pub cost: Cost,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service's name.
    pub path: String,
    /// Headers for the backend server.
    pub headers: Vec<Header>,
    /// HTTP body.
    pub body: Buffered,
}

/// A body that has been read, with its share of the router's budget.
#[derive(Clone, Debug)]
pub struct Buffered {
    /// The bytes.
    pub bytes: Bytes,
    /// Returned to the budget with the last clone.
    pub reserved: Arc<OwnedSemaphorePermit>,
}

impl Inbound {
    /// Whether a claim in the key-value service must precede the grant.
    ///
    /// A request that may not run twice needs one, and so does one that a caller can come back
    /// for after its router has gone.
    pub fn needs_claim(&self) -> bool {
        !self.idempotent || (self.keyed && self.finish_alone)
    }

    /// Whether the request runs to its end once it has been dispatched, whatever becomes of its
    /// caller: an action that may not be repeated must not be broken off half-way.
    pub fn runs_to_its_end(&self) -> bool {
        self.finish_alone || !self.idempotent
    }

    /// Checksum of all that makes the request what it is, to notice a key used twice.
    pub fn fingerprint(&self) -> u64 {
        let mut digest = digest::Digest::new();
        digest.update(self.method.as_str().as_bytes());
        digest.update(b" ");
        digest.update(self.path.as_bytes());
        digest.update(b"\n");
        digest.update(&self.body.bytes);
        digest.checksum()
    }
}
