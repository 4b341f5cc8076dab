//! Ranks of the tiers of a service.

use derive_more::Display;

/// Position of a tier in its service's document; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(pub u8);

impl Rank {
    /// The most urgent rank.
    pub const FIRST: Self = Self(0);

    /// The least urgent possible rank.
    pub const LAST: Self = Self(u8::MAX);

    /// Combines two ranks into one that orders by `outer` first. Both are capped at 15.
    pub fn nested_in(self, outer: Self) -> Self {
        const STEPS: u8 = 16;
        Self(outer.0.min(STEPS - 1) * STEPS + self.0.min(STEPS - 1))
    }

    /// Whether this rank is more urgent than `other`.
    pub fn is_more_urgent_than(self, other: Self) -> bool {
        self.0 < other.0
    }
}
