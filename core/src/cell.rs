//! Cells: groups of routers that tell each other of every change of their load.
//!
//! The messages of such an exchange grow with the square of the number of routers, and beyond some
//! tens of routers each of them learns of a change too late to use it. A large fleet is therefore
//! divided into cells, one per data centre: changes are sent to the routers of the same cell within
//! milliseconds, and to all others combined and less often.

use std::time::Duration;

/// Maximum number of routers that form a single cell regardless of their data centres. Two summaries
/// of a router are then at most 12 ms apart.
const MAX_SINGLE_CELL: usize = 24;

/// Minimum interval between two summaries. Batches changes that occur together.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between two summaries to routers of the same cell, per router in it. A router thus
/// sends and receives at most two thousand of them a second.
const INTERVAL_PER_NEAR_ROUTER: Duration = Duration::from_micros(500);

/// Interval between two summaries to routers of other cells, per such router. A router thus sends and
/// receives at most 1,334 of them a second.
const INTERVAL_PER_FAR_ROUTER: Duration = Duration::from_micros(750);

/// Maximum number of backend servers of other cells that are considered for one request. A few at
/// random spread the requests evenly even if their loads are known late; the best of all would get
/// the requests of all routers that know the same loads.
const MAX_REMOTE_CANDIDATES: usize = 4;

/// Whether two routers are in the same cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// They are, and compete for the same backend servers.
    Near,
    /// They are not.
    Far,
}

/// Size of a router's cell and of the rest of the fleet, as seen by that router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// Connected routers of the same data centre, without this one.
    pub same_data_centre: usize,
    /// Connected routers of other data centres.
    pub other_data_centres: usize,
}

impl Layout {
    /// Whether all routers form a single cell.
    pub fn is_single_cell(self) -> bool {
        self.same_data_centre + self.other_data_centres < MAX_SINGLE_CELL
    }

    /// Scope of a peer of the same or of another data centre.
    pub fn scope(self, is_same_data_centre: bool) -> Scope {
        match is_same_data_centre || self.is_single_cell() {
            true => Scope::Near,
            false => Scope::Far,
        }
    }

    /// Maximum number of backend servers of other data centres to consider for one request, or
    /// `None` if their load is known as well as that of the others.
    pub fn max_remote_candidates(self) -> Option<usize> {
        (!self.is_single_cell()).then_some(MAX_REMOTE_CANDIDATES)
    }

    /// Number of connected peers of a scope.
    pub fn peers(self, scope: Scope) -> usize {
        match (scope, self.is_single_cell()) {
            (Scope::Near, true) => self.same_data_centre + self.other_data_centres,
            (Scope::Near, false) => self.same_data_centre,
            (Scope::Far, true) => 0,
            (Scope::Far, false) => self.other_data_centres,
        }
    }

    /// Interval between two summaries to the peers of a scope.
    pub fn interval(self, scope: Scope) -> Duration {
        let peers = u32::try_from(self.peers(scope)).unwrap_or(u32::MAX);
        let per_peer = match scope {
            Scope::Near => INTERVAL_PER_NEAR_ROUTER,
            Scope::Far => INTERVAL_PER_FAR_ROUTER,
        };
        MIN_INTERVAL.max(per_peer.saturating_mul(peers))
    }

    /// Longest interval between two summaries to any peer.
    pub fn max_interval(self) -> Duration {
        self.interval(Scope::Near).max(self.interval(Scope::Far))
    }
}
