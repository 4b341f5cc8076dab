//! The newest attempt of each router, for reports.

use {
    std::{collections::HashMap, time::Duration},
    tamarackdale_core::{
        id::{Attempt, Boot},
        time::Timestamp,
    },
};

/// Time for which a router that offers nothing stays in the reports; several report intervals, so
/// that it has had a report that covers its last attempt.
const RETENTION: Duration = Duration::from_secs(30);

/// The newest attempt of each router that has offered one lately.
#[derive(Default)]
pub struct LatestAttempts {
    newest: HashMap<Boot, (Attempt, Timestamp)>,
}

impl LatestAttempts {
    /// Notes an attempt.
    pub fn add(&mut self, attempt: Attempt, now: Timestamp) {
        let (newest, last) = self.newest.entry(attempt.router).or_insert((attempt, now));
        *last = now;
        if newest.sequence < attempt.sequence {
            *newest = attempt;
        }
    }

    /// The newest attempts; routers that have been replaced drop out.
    pub fn recent(&mut self, now: Timestamp) -> Vec<Attempt> {
        self.newest
            .retain(|_, (_, last)| now.since(*last) < RETENTION);
        self.newest.values().map(|(attempt, _)| *attempt).collect()
    }
}
