//! The newest attempt offered by each router, for the sidecar's reports.

use {
    std::{collections::HashMap, time::Duration},
    tamarackdale_core::{
        id::{Attempt, Boot},
        time::Timestamp,
    },
};

/// Time for which a router without new offers stays in the reports. It spans several report
/// intervals, so that the router has received a report that covers its last attempt.
const RETENTION: Duration = Duration::from_secs(30);

/// The newest attempt of each router that has offered one within the retention period.
#[derive(Default)]
pub struct LatestAttempts {
    newest: HashMap<Boot, (Attempt, Timestamp)>,
}

impl LatestAttempts {
    /// Records an offered attempt.
    pub fn record(&mut self, attempt: Attempt, now: Timestamp) {
        let (newest, last) = self.newest.entry(attempt.router).or_insert((attempt, now));
        *last = now;
        if newest.sequence < attempt.sequence {
            *newest = attempt;
        }
    }

    /// The newest attempts. Routers without an offer within the retention period, such as
    /// routers that have been replaced, are removed.
    pub fn recent(&mut self, now: Timestamp) -> Vec<Attempt> {
        self.newest
            .retain(|_, (_, last)| now.since(*last) < RETENTION);
        self.newest.values().map(|(attempt, _)| *attempt).collect()
    }
}
