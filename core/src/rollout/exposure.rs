//! Which requests a router sends to the new version.

use std::collections::HashMap;

/// Most requests that may be made up for, after a time without a free slot at the new version.
const MAX_CREDIT: f64 = 2.0;

/// Requests that this router may send to the new version.
///
/// A router's credit begins at a random part of a request, so that the sum of many routers that have few
/// requests each is about the share of all their requests: the excess over it has a standard deviation of
/// at most half a request for each router, 9.5 for 360 of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Credit {
    total: f64,
    /// By route, so that each route has the same share.
    routes: HashMap<u32, f64>,
}

impl Credit {
    /// Creates a credit. `random` is in the range [0, 1); `extra` is this router's part of the requests that
    /// a service with little traffic spends in advance, to learn of failures earlier.
    pub fn new(random: f64, extra: f64) -> Self {
        Self {
            total: random + extra,
            routes: HashMap::new(),
        }
    }

    /// A random number in the range [0, 1), while nothing was counted.
    pub fn fraction(&self) -> f64 {
        self.total.fract()
    }

    /// Counts a request of a route, and returns whether it may go to the new version, whose share is
    /// `share`. While the share rises, `is_long` requests are preferred, since they need the longest to end
    /// at the old version.
    pub fn take(&mut self, route: u32, share: f64, is_long: bool) -> bool {
        if share >= 1.0 {
            return true;
        }
        self.total = (self.total + share).min(self.total.max(MAX_CREDIT));
        let of_route = self.routes.entry(route).or_default();
        *of_route = (*of_route + share).min(MAX_CREDIT);
        let needed = match is_long {
            true => share.max(f64::MIN_POSITIVE),
            false => 1.0,
        };
        let is_taken = self.total >= needed && *of_route > 0.0;
        if is_taken {
            self.total -= 1.0;
            *of_route -= 1.0;
        }
        is_taken
    }

    /// Counts a request that the new version has got without being asked for, such as the rest of a stream.
    pub fn charge(&mut self, route: u32) {
        self.total -= 1.0;
        *self.routes.entry(route).or_default() -= 1.0;
    }
}
