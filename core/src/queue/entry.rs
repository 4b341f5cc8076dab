//! A waiting request.

pub use crate::document::tier::LatePolicy;

use crate::{
    cost::{self, Cost, Rates},
    id::Attempt,
    tier::Rank,
    time::Timestamp,
};

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The router's attempt to run the request.
    pub attempt: Attempt,
    /// Rank of the request's tier.
    pub rank: Rank,
    /// Organisation that sent the request.
    pub organisation: String,
    /// Weight of the organisation within a tier, relative to the others.
    pub weight: u32,
    /// Estimated cost.
    pub cost: Cost,
    /// When the response must be complete.
    pub deadline: Timestamp,
    /// What happens to the entry once it cannot meet the deadline.
    pub late: LatePolicy,
    /// When the entry was added to the queue.
    pub enqueued: Timestamp,
}

impl Entry {
    /// Whether the entry is to be dropped: it may not finish late, and would miss its deadline if
    /// it were started now.
    pub fn should_drop(&self, now: Timestamp, rates: Rates) -> bool {
        self.late == LatePolicy::Drop && self.is_late(now, rates)
    }

    /// Whether the entry would miss its deadline if it were started now.
    pub fn is_late(&self, now: Timestamp, rates: Rates) -> bool {
        let service = rates.service_time(self.cost.prefill_tokens, self.cost.decode_tokens);
        now.plus(cost::min_time(service)) > self.deadline
    }
}
