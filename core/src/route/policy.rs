//! Which parts of the policy are in use.

use derive_more::{Display, FromStr};

/// How a sidecar is chosen.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Placement {
    /// Any, with the same chance.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests of this router in progress.
    LeastOutstanding,
    /// One of the few with the earliest predicted completion.
    #[default]
    Predicted,
}

/// Which parts of the policy a router uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How a sidecar is chosen.
    pub placement: Placement,
    /// Whether cached prefixes count in the prediction.
    pub uses_affinity: bool,
    /// Whether requests that no sidecar can serve in time are refused.
    pub checks_feasibility: bool,
    /// Whether own dispatches are added to reports that do not know of them.
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
    /// A baseline that only places requests.
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
