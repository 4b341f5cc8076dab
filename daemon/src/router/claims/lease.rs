//! The lease that claims are written under.

use {
    tamarackdale_core::{
        claim::{LEASE, LEASE_ROTATION},
        time::Timestamp,
    },
    tamarackdale_store::kv,
};

/// Keeps a lease at hand that is young enough.
#[derive(Default)]
pub struct Keeper {
    lease: Option<(kv::Lease, Timestamp)>,
    asked: Option<Timestamp>,
}

impl Keeper {
    /// The lease, if it is young enough to write under.
    pub fn current(&self, now: Timestamp) -> Option<kv::Lease> {
        let (lease, granted) = self.lease?;
        (now.since(granted) < LEASE_ROTATION).then_some(lease)
    }

    /// Whether to ask for a new lease now; the answer must be reported.
    pub fn ask(&mut self, now: Timestamp) -> bool {
        let is_fresh = self
            .lease
            .is_some_and(|(_, granted)| now.since(granted) < LEASE_ROTATION / 2);
        if is_fresh || self.asked.is_some() {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Takes in a new lease, counted from when it was asked for.
    pub fn granted(&mut self, lease: kv::Lease) {
        if let Some(asked) = self.asked.take()
            && lease.ttl() >= LEASE
        {
            self.lease = Some((lease, asked));
        }
    }

    /// Notes that no lease was granted.
    pub fn failed(&mut self) {
        self.asked = None;
    }

    /// Drops a lease that the service may not know any more.
    pub fn discard(&mut self) {
        self.lease = None;
    }
}
