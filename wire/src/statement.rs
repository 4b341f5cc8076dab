//! What a backend server has said of itself, as routers tell it to each other.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tamarackdale_core::{
        fleet::{Limit, limit, statement::Report},
        time::Timestamp,
    },
};

/// Wire form of [`Report`]. Routers share no clock, so statements travel with their ages.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Statement {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of its process, in Unix milliseconds.
    pub started_at_ms: u64,
    /// Milliseconds since it first said that it is leaving.
    pub leaving_age_ms: Option<u32>,
    /// Its last statement about its limit.
    pub limit: Option<LimitStatement>,
}

/// A limit, or the end of one.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitStatement {
    /// Requests per second that were named last.
    pub per_second: f64,
    /// Whether the server has stopped naming it.
    pub is_over: bool,
    /// Milliseconds since the statement.
    pub age_ms: u32,
}

impl Statement {
    /// Converts a report at the time `now` of the sender's clock.
    pub fn new(report: &Report, now: Timestamp) -> Self {
        Self {
            id: report.id.clone(),
            started_at_ms: report.started_at_ms,
            leaving_age_ms: report.leaving_since.map(|since| millis_between(since, now)),
            limit: report.limit.map(|statement| LimitStatement {
                per_second: statement.limit.per_second(),
                is_over: statement.is_over,
                age_ms: millis_between(statement.at, now),
            }),
        }
    }

    /// The report on the clock of the receiver, which received it at `now`. A limit that is no number
    /// of requests is left out.
    pub fn into_report(self, now: Timestamp) -> Report {
        Report {
            id: self.id,
            started_at_ms: self.started_at_ms,
            leaving_since: self.leaving_age_ms.map(|age| time_of(age, now)),
            limit: self.limit.and_then(|statement| {
                let limit = Limit::new(statement.per_second);
                if limit.is_none() {
                    let per_second = statement.per_second;
                    log::warn!(per_second; "ignoring a peer's limit that is no limit");
                }
                Some(limit::Statement {
                    at: time_of(statement.age_ms, now),
                    limit: limit?,
                    is_over: statement.is_over,
                })
            }),
        }
    }
}

/// Milliseconds from `earlier` to `later`.
pub(crate) fn millis_between(earlier: Timestamp, later: Timestamp) -> u32 {
    u32::try_from(later.since(earlier).as_millis()).unwrap_or(u32::MAX)
}

/// Time on the own clock of something that was `age_ms` old at `now`.
pub(crate) fn time_of(age_ms: u32, now: Timestamp) -> Timestamp {
    now.minus(Duration::from_millis(age_ms.into()))
}
