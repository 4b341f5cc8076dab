//! Rollouts: the traffic of a service is moved to a new version of its software, unless the answers of the
//! new version are worse than those of the other one.
//!
//! Every router counts the answers that it gets, shares the counts, and reaches the same verdict from the
//! sum. The rules of the store's keys are in docs/design/LOAD.md.

pub mod exposure;
pub mod machine;
pub mod order;
pub mod report;
pub mod schedule;
pub mod statistics;
pub mod table;
pub mod verdict;

pub use {
    exposure::Credit,
    machine::{Event, Phase, Rollout, Visibility},
    order::{Invalid, Observation, Order, RecordedStatus, State, Status, StatusWrite, Target},
    report::Report,
    schedule::Schedule,
    statistics::{Counts, Key, Outcome, Side, Statistics},
    table::{Pick, Table, Work},
    verdict::Verdict,
};

use std::time::Duration;

/// Bounds of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Whether rollouts are carried out. If not, nothing is read or counted.
    pub is_enabled: bool,
    /// Part of a service's requests that a bad version may get at most.
    pub exposure_share: f64,
    /// Requests that it may get in addition, summed over all routers.
    pub exposure_extra: f64,
    /// Time after the last tolerated bad answer within which the version gets no more requests.
    pub rollback: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_enabled: false,
            exposure_share: 0.1,
            exposure_extra: 50.0,
            rollback: Duration::from_millis(5_000),
        }
    }
}
