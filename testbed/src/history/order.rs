//! The promise about the order of tiers.

use {
    super::{History, Violation},
    std::time::Duration,
    tamarackdale_core::tier::Rank,
};

/// Something that happened to a request of one tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tiered {
    /// Service asked.
    pub service: String,
    /// Tier.
    pub rank: Rank,
    /// When.
    pub at: Duration,
}

/// A time during which tiers below one were not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Floor {
    /// The service.
    pub service: String,
    /// The lowest tier that was served.
    pub rank: Rank,
    /// When the floor was raised.
    pub from: Duration,
    /// When it was lowered.
    pub until: Duration,
}

impl Floor {
    fn covers(&self, service: &str, at: Duration) -> bool {
        self.service == service && self.from <= at && at < self.until
    }
}

/// Checks sheds and starts against the floors.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let sheds = history
        .sheds
        .iter()
        .filter(|shed| !is_allowed(history, shed));
    let sheds = sheds.map(|shed| Violation::ShedWithoutFloor {
        service: shed.service.clone(),
        rank: shed.rank,
        at: shed.at,
    });
    let served = history.starts.iter().filter_map(|start| {
        let floor = excluding(history, start)?;
        Some(Violation::ServedBelowFloor {
            service: start.service.clone(),
            rank: start.rank,
            floor: floor.rank,
            at: start.at,
        })
    });
    sheds.chain(served).collect()
}

/// Whether a floor kept all lower tiers out when the request was shed.
fn is_allowed(history: &History, shed: &Tiered) -> bool {
    let keeps_lower_out = |floor: &Floor| !shed.rank.is_more_urgent_than(floor.rank);
    history
        .floors
        .iter()
        .any(|floor| floor.covers(&shed.service, shed.at) && keeps_lower_out(floor))
}

/// The floor that had reached every process and excluded the request.
fn excluding<'a>(history: &'a History, start: &Tiered) -> Option<&'a Floor> {
    history.floors.iter().find(|floor| {
        let reached = start.at >= floor.from + history.propagation;
        reached
            && floor.covers(&start.service, start.at)
            && floor.rank.is_more_urgent_than(start.rank)
    })
}
