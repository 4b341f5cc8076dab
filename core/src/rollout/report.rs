//! What routers tell each other of a rollout.

use {
    super::{
        machine::Phase,
        order::Target,
        statistics::{Counts, Key},
    },
    crate::revision::Revision,
    std::time::Duration,
};

/// One router's view of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Service.
    pub service: String,
    /// Revision of the order.
    pub revision: Revision,
    /// What the order asks for.
    pub target: Target,
    /// Time since the order.
    pub age: Duration,
    /// How far it is.
    pub phase: Phase,
    /// Whether the order was withdrawn.
    pub is_withdrawn: bool,
    /// Requests of this router that run at servers of other versions.
    pub old_requests: u32,
    /// The router's counts.
    pub counts: Vec<(Key, Counts)>,
}

/// What has changed between two views of the same router: rollouts with other figures, of which only the
/// counts that differ.
pub fn changes(before: &[Report], now: &[Report]) -> Vec<Report> {
    let changed = now.iter().filter(|report| !before.contains(report));
    changed
        .map(|report| {
            let mut known = before.iter();
            let known = known
                .find(|known| known.service == report.service && known.revision == report.revision);
            let sent = known.map_or(&[][..], |known| &known.counts);
            let counts = report.counts.iter();
            Report {
                counts: counts.filter(|row| !sent.contains(row)).copied().collect(),
                ..report.clone()
            }
        })
        .collect()
}
