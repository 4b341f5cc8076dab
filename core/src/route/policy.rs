//! Placement policy of a router.

use derive_more::{Display, FromStr};

/// Strategy for the choice of a sidecar.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Placement {
    /// Uniformly at random.
    Random,
    /// In round-robin order.
    RoundRobin,
    /// The one with the fewest requests of this router in progress.
    LeastOutstanding,
    /// One of the sidecars with the earliest predicted completion.
    #[default]
    Predicted,
}

/// The parts of the placement policy that a router uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Strategy for the choice of a sidecar.
    pub placement: Placement,
    /// Whether predictions take cached prefixes into account.
    pub uses_affinity: bool,
    /// Whether requests that no sidecar can complete in time are refused.
    pub checks_feasibility: bool,
    /// Whether predictions include own dispatches that are missing from the reports.
    pub corrects_reports: bool,
    /// Whether the shed floor is used.
    pub uses_floor: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            placement: Placement::Predicted,
            uses_affinity: true,
            checks_feasibility: true,
            corrects_reports: true,
            uses_floor: true,
        }
    }
}

impl Policy {
    /// Creates a baseline policy, which uses the placement strategy and nothing else.
    pub fn baseline(placement: Placement) -> Self {
        Self {
            placement,
            uses_affinity: false,
            checks_feasibility: false,
            corrects_reports: false,
            uses_floor: false,
        }
    }
}
