//! What routers tell each other of a rollout.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tamarackdale_core::{
        revision::Revision,
        rollout::{self, Counts, Key, Phase, Side, Target},
    },
};

/// Wire form of [`rollout::Report`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Service.
    pub service: String,
    /// Era and number of the revision of the order.
    pub revision: (u64, u64),
    /// Version that the order names.
    pub to: String,
    /// Time of the order, in milliseconds.
    pub ramp_ms: u32,
    /// Milliseconds since the order.
    pub age_ms: u32,
    /// 0 while it runs, 1 with a bad verdict, 2 when completed, 3 when rolled back.
    pub phase: u8,
    /// Reason of a bad verdict.
    pub reason: Option<String>,
    /// Whether the order was withdrawn.
    pub is_withdrawn: bool,
    /// Requests of the sender that run at other versions.
    pub old_requests: u32,
    /// The sender's counts that have changed.
    pub counts: Vec<Row>,
}

/// Counts of one version on one route: whether it is the new version, hash of the route, requests, answers,
/// bad answers, and the times.
pub type Row = (bool, u32, u32, u32, u32, Vec<Times>);

/// Kind of time, number of times, sum of their logarithms and sum of the squares.
pub type Times = (u8, u32, f32, f32);

/// Why a report is ignored.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Fault {
    /// A count is not a number, negative or too large.
    #[display("a count is out of range")]
    Counts,
    /// The phase is not known.
    #[display("unknown phase")]
    Phase,
}

impl From<&rollout::Report> for Report {
    fn from(report: &rollout::Report) -> Self {
        let (phase, reason) = match &report.phase {
            Phase::Running => (0, None),
            Phase::Bad(reason) => (1, Some(reason.clone())),
            Phase::Completed => (2, None),
            Phase::RolledBack => (3, None),
        };
        Self {
            service: report.service.clone(),
            revision: (report.revision.era, report.revision.number),
            to: report.target.to.clone(),
            ramp_ms: millis(report.target.ramp),
            age_ms: millis(report.age),
            phase,
            reason,
            is_withdrawn: report.is_withdrawn,
            old_requests: report.old_requests,
            counts: report.counts.iter().map(row).collect(),
        }
    }
}

impl TryFrom<Report> for rollout::Report {
    type Error = Fault;

    fn try_from(report: Report) -> Result<Self, Fault> {
        let phase = match report.phase {
            0 => Phase::Running,
            1 => Phase::Bad(report.reason.unwrap_or_default()),
            2 => Phase::Completed,
            3 => Phase::RolledBack,
            _ => return Err(Fault::Phase),
        };
        let (era, number) = report.revision;
        Ok(Self {
            service: report.service,
            revision: Revision { era, number },
            target: Target {
                to: report.to,
                ramp: Duration::from_millis(report.ramp_ms.into()),
            },
            age: Duration::from_millis(report.age_ms.into()),
            phase,
            is_withdrawn: report.is_withdrawn,
            old_requests: report.old_requests,
            counts: report
                .counts
                .into_iter()
                .map(counts)
                .collect::<Result<_, _>>()?,
        })
    }
}

fn row((key, counts): &(Key, Counts)) -> Row {
    let times = counts.times.iter().zip(0..);
    let times = times.filter(|(times, _)| times.count > 0.0);
    (
        key.side == Side::New,
        key.route,
        counts.sent as u32,
        counts.answers as u32,
        counts.bad as u32,
        times
            .map(|(times, kind)| {
                let (sum, squares) = (times.sum as f32, times.squares as f32);
                (kind, times.count as u32, sum, squares)
            })
            .collect(),
    )
}

fn counts((is_new, route, sent, answers, bad, rows): Row) -> Result<(Key, Counts), Fault> {
    let key = Key {
        side: if is_new { Side::New } else { Side::Old },
        route,
    };
    let mut counts = Counts {
        sent: sent.into(),
        answers: answers.into(),
        bad: bad.into(),
        ..Counts::default()
    };
    for (kind, count, sum, squares) in rows {
        // A kind that is not known may be one of a newer router.
        if let Some(times) = counts.times.get_mut(usize::from(kind)) {
            times.count = count.into();
            times.sum = sum.into();
            times.squares = squares.into();
        }
    }
    match counts.is_valid() {
        true => Ok((key, counts)),
        false => Err(Fault::Counts),
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
