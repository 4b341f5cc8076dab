//! Failures of backend servers, as routers report them to each other.

use {
    crate::statement::{millis_between, time_of},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tamarackdale_core::{
        fleet::containment::report::{Ejection, Report},
        time::Timestamp,
    },
};

/// Wire form of [`Report`]. Routers share no clock, so times travel as ages.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HealthReport {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of its process, in Unix milliseconds.
    pub started_at_ms: u64,
    /// Requests that were answered, answered with an error, and broken.
    pub outcomes: [u32; 3],
    /// Failures without a response, connection failures, and failures of any kind in a row.
    pub in_row: [u32; 3],
    /// Requests that were answered since the server returned.
    pub answered_since_return: u32,
    /// Milliseconds since the last failure and since the first answer after it.
    pub ages_ms: [Option<u32>; 2],
    /// Milliseconds until the end of the pause after a refusal.
    pub paused_ms: Option<u32>,
    /// Number of the ejection that is in force, and milliseconds since it began.
    pub ejection: Option<(u32, u32)>,
    /// Whether the sender waits for the outcome of a trial, and whether other servers have answered it
    /// since the failures began.
    pub flags: (bool, bool),
}

impl HealthReport {
    /// Converts a report at the time `now` of the sender's clock.
    pub fn new(report: &Report, now: Timestamp) -> Self {
        let age = |at: Option<Timestamp>| at.map(|at| millis_between(at, now));
        Self {
            id: report.id.clone(),
            started_at_ms: report.started_at_ms,
            outcomes: [report.answered, report.errors, report.broken],
            in_row: [
                report.failures_in_row,
                report.unreachable_in_row,
                report.bad_in_row,
            ],
            answered_since_return: report.answered_since_return,
            ages_ms: [age(report.last_failure), age(report.success)],
            paused_ms: report.paused_until.map(|until| millis_between(now, until)),
            ejection: report
                .ejection
                .map(|it| (it.number, millis_between(it.at, now))),
            flags: (report.is_trying, report.has_success_elsewhere),
        }
    }

    /// The report on the clock of the receiver, which received it at `now`.
    pub fn into_report(self, now: Timestamp) -> Report {
        let [answered, errors, broken] = self.outcomes;
        let [failures_in_row, unreachable_in_row, bad_in_row] = self.in_row;
        let [last_failure, success] = self.ages_ms.map(|age| age.map(|age| time_of(age, now)));
        let (is_trying, has_success_elsewhere) = self.flags;
        Report {
            id: self.id,
            started_at_ms: self.started_at_ms,
            answered,
            errors,
            broken,
            failures_in_row,
            unreachable_in_row,
            bad_in_row,
            answered_since_return: self.answered_since_return,
            last_failure,
            success,
            paused_until: self
                .paused_ms
                .map(|remaining| now.plus(Duration::from_millis(remaining.into()))),
            ejection: self.ejection.map(|(number, age)| Ejection {
                number,
                at: time_of(age, now),
            }),
            is_trying,
            has_success_elsewhere,
        }
    }
}
