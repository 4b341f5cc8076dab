//! What routers tell each other of a rollout.

use {
    super::{
        machine::Phase,
        order::Target,
        statistics::{Counts, Key, Side},
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
    /// Whether requests of this router run at servers of other versions, as 0 or 1. Until the new version gets
    /// all requests this is not told, and is 1.
    pub old_requests: u32,
    /// The router's counts.
    pub counts: Vec<(Key, Counts)>,
}

/// What has changed between two views of the same router: rollouts in another state, and counts of the routes
/// on which the new version has got answers. Counts of the old version alone tell nothing.
pub fn changes(before: &[Report], now: &[Report]) -> Vec<Report> {
    now.iter()
        .filter_map(|report| {
            let mut known = before.iter();
            let known = known
                .find(|known| known.service == report.service && known.revision == report.revision);
            match known {
                Some(known) => report.since(known),
                None => Some(report.clone()),
            }
        })
        .collect()
}

impl Report {
    fn since(&self, before: &Self) -> Option<Self> {
        let is_same = self.phase == before.phase
            && self.is_withdrawn == before.is_withdrawn
            && self.old_requests == before.old_requests;
        let counts = self.counts.iter();
        let changed = counts
            .clone()
            .filter(|row| row.0.side == Side::New && !before.counts.contains(row));
        let routes: Vec<u32> = changed.map(|(key, _)| key.route).collect();
        let counts = counts.filter(|(key, _)| routes.contains(&key.route));
        (!is_same || !routes.is_empty()).then(|| Self {
            counts: counts.copied().collect(),
            ..self.clone()
        })
    }
}
