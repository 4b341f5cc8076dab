//! One waiting request.

pub use crate::document::tier::LatePolicy;

use crate::{
    cost::{self, Cost, Rates},
    id::Attempt,
    tier::Rank,
    time::Timestamp,
};

/// One waiting request.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The router's offer.
    pub attempt: Attempt,
    /// Tier of the request.
    pub rank: Rank,
    /// Organisation that asks.
    pub organisation: String,
    /// Share of the organisation within a tier, relative to the others'.
    pub weight: u32,
    /// Estimated cost.
    pub cost: Cost,
    /// When the answer must be complete.
    pub deadline: Timestamp,
    /// What happens to it once it cannot meet the deadline.
    pub late: LatePolicy,
    /// When it was taken in.
    pub enqueued: Timestamp,
}

impl Entry {
    /// Whether the request is to be given up: started now, it would miss its deadline.
    pub fn is_hopeless(&self, now: Timestamp, rates: Rates) -> bool {
        self.late == LatePolicy::Drop && self.is_late(now, rates)
    }

    /// Whether it would miss its deadline if it were started now.
    pub fn is_late(&self, now: Timestamp, rates: Rates) -> bool {
        let service = rates.service_time(self.cost.prefill_tokens, self.cost.decode_tokens);
        now.plus(cost::least_time(service)) > self.deadline
    }
}
