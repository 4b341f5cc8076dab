//! Parsing and authentication of caller requests against the service documents.

mod estimate;
pub mod head;

pub use head::{AuthenticatedHead, RequestHead};

use {
    crate::configuration::catalogue::Version,
    bytes::Bytes,
    gotham::hyper::Method,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{cost::Cost, digest, id, tier::Rank},
    tamarackdale_wire::frame::Header,
};

/// A caller's request, validated against the document of its service.
#[derive(Clone, Debug)]
pub struct InboundRequest {
    /// Service, organisation and key.
    pub id: id::Request,
    /// Whether the key was given by the caller rather than generated.
    pub has_caller_key: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Document version that the request was accepted under.
    pub version: Arc<Version>,
    /// Rank of the tier, 0 the most urgent.
    pub rank: Rank,
    /// Name of the tier.
    pub tier: String,
    /// Time from acceptance by which the response must be complete.
    pub deadline: Duration,
    /// Whether the request is served even if it can no longer meet its deadline.
    pub finish_late: bool,
    /// Whether the request continues after its caller has disconnected.
    pub finish_alone: bool,
    /// Scheduling weight of the organisation.
    pub weight: u32,
    /// Estimated cost.
    pub cost: Cost,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service name.
    pub path: String,
    /// Headers for the backend server.
    pub headers: Vec<Header>,
    /// HTTP body, whose bytes are counted until the last clone is dropped.
    pub body: Bytes,
}

impl InboundRequest {
    /// Whether a claim must be written to the key-value store before the grant.
    ///
    /// A request that may not run twice needs one. So does a request whose response the caller can
    /// ask for again after its router has stopped.
    pub fn needs_claim(&self) -> bool {
        !self.idempotent || (self.has_caller_key && self.finish_alone)
    }

    /// Whether the request runs to completion once dispatched, even if its caller disconnects. A
    /// non-idempotent action must not be interrupted halfway.
    pub fn runs_to_completion(&self) -> bool {
        self.finish_alone || !self.idempotent
    }

    /// Whether the answer to an earlier submission with the same key may be at a sidecar.
    pub fn may_have_kept_answer(&self) -> bool {
        self.has_caller_key && self.needs_claim()
    }

    /// Digest of what is the same when the request comes again with another key; the same as that of
    /// its `Enqueue` message.
    pub fn digest(&self) -> u64 {
        digest::request(
            &self.id.organisation,
            self.method.as_str(),
            &self.path,
            &self.body,
        )
    }

    /// Checksum of method, path and body, to detect a key that is reused for a different request.
    pub fn fingerprint(&self) -> u64 {
        let mut digest = digest::Digest::new();
        digest.update(self.method.as_str().as_bytes());
        digest.update(b" ");
        digest.update(self.path.as_bytes());
        digest.update(b"\n");
        digest.update(&self.body);
        digest.checksum()
    }
}
