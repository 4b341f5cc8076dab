//! The lease that claims are written under.

use {
    tamarackdale_core::{
        claim::{LEASE, LEASE_ROTATION},
        time::Timestamp,
    },
    tamarackdale_store::kv,
};

/// Holds the lease to write claims under and decides when to request a new one.
#[derive(Default)]
pub struct LeaseManager {
    /// The current lease and when it was requested.
    lease: Option<(kv::Lease, Timestamp)>,
    /// When the request in progress was started.
    requested_at: Option<Timestamp>,
}

impl LeaseManager {
    /// Returns the lease if it is recent enough to write under.
    pub fn current(&self, now: Timestamp) -> Option<kv::Lease> {
        let (lease, requested_at) = self.lease?;
        (now.since(requested_at) < LEASE_ROTATION).then_some(lease)
    }

    /// Marks a request for a new lease as started, if one is due and none is in progress. If it
    /// returns `true`, the caller must request the lease and report the result by
    /// [`Self::granted`] or [`Self::failed`].
    pub fn start_request(&mut self, now: Timestamp) -> bool {
        let is_fresh = self
            .lease
            .is_some_and(|(_, requested_at)| now.since(requested_at) < LEASE_ROTATION / 2);
        if is_fresh || self.requested_at.is_some() {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    /// Stores a new lease. Its age counts from the request, which is earlier than the grant. A
    /// lease with a shorter time to live than requested is ignored.
    pub fn granted(&mut self, lease: kv::Lease) {
        if let Some(requested_at) = self.requested_at.take()
            && lease.ttl() >= LEASE
        {
            self.lease = Some((lease, requested_at));
        }
    }

    /// Records that the request for a lease failed.
    pub fn failed(&mut self) {
        self.requested_at = None;
    }

    /// Discards a lease that the store may no longer know.
    pub fn discard(&mut self) {
        self.lease = None;
    }
}
