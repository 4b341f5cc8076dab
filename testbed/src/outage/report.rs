//! Counts by phase and kind.

use {
    super::{Kind, Phase, Timeline},
    crate::{
        load::{Record, Shot, Summary},
        sample::{Quantiles, Sample},
        store::{Call, Store},
    },
    serde::Serialize,
    std::{collections::BTreeMap, fmt::Write as _},
    tamarackdale_core::verdict::Verdict,
};

/// Calls that the store has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
    /// Watches.
    pub watches: u64,
}

/// What became of one kind of request in one phase.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Phase in which the requests were offered.
    pub phase: Phase,
    /// Kind.
    pub kind: Kind,
    /// Requests offered.
    pub offered: u64,
    /// Whole answers within the deadline.
    pub in_time: u64,
    /// Whole answers after it.
    pub late: u64,
    /// Refusals proved not to have run.
    pub not_run: u64,
    /// Failures that may have run.
    pub may_have_run: u64,
    /// Calls that broke, or ended with a wrong answer.
    pub broken: u64,
    /// Refusals that do not say when to come back.
    pub without_retry_after: u64,
    /// Time from the offer to the refusal.
    pub refusal: Quantiles,
}

/// Calls of the store in one phase.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Rate {
    /// The phase.
    pub phase: Phase,
    /// Length, seconds.
    pub seconds: f64,
    /// Calls received.
    pub calls: Calls,
}

/// All counts of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// What became of the requests.
    pub rows: Vec<Row>,
    /// Calls of the store.
    pub store: Vec<Rate>,
}

impl Calls {
    /// The calls so far.
    pub fn of(store: &Store) -> Self {
        Self {
            reads: store.calls(Call::Read),
            writes: store.calls(Call::Write),
            leases: store.calls(Call::Lease),
            watches: store.calls(Call::Watch),
        }
    }

    /// The calls since an earlier count.
    fn since(self, earlier: Self) -> Self {
        Self {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            leases: self.leases - earlier.leases,
            watches: self.watches - earlier.watches,
        }
    }
}

impl Report {
    /// The report of these calls; `store` are the store's calls at the end of each phase.
    pub fn new<'a>(
        timeline: &Timeline,
        calls: impl IntoIterator<Item = (&'a Shot, &'a Record)>,
        store: &[Calls],
    ) -> Self {
        let mut groups: BTreeMap<(Phase, Kind), Vec<&Record>> = BTreeMap::new();
        for (shot, record) in calls {
            if let Some(phase) = timeline.phase_at(record.offered) {
                let group = groups.entry((phase, Kind::of(shot))).or_default();
                group.push(record);
            }
        }
        let rows = groups.iter();
        Self {
            rows: rows.map(|(group, records)| row(*group, records)).collect(),
            store: rates(timeline, store),
        }
    }

    /// Part of the offered requests of a kind that were answered whole in time in a phase.
    pub fn goodput(&self, phase: Phase, kind: Kind) -> Option<f64> {
        let mut rows = self.rows.iter();
        let row = rows.find(|row| row.phase == phase && row.kind == kind)?;
        Some(row.in_time as f64 / row.offered as f64)
    }

    /// The report as Markdown tables.
    pub fn markdown(&self) -> String {
        let mut text = String::from(
            "| store | kind | offered | in time | late | not-run | may-have-run | broken | no Retry-After | refused after p50 / p99 / max ms |\n\
             |---|---|---|---|---|---|---|---|---|---|\n",
        );
        for row in self.rows.iter().filter(|row| row.phase != Phase::WarmUp) {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{}", row.markdown());
        }
        text.push_str(
            "\n| store | seconds | reads/s | writes/s | lease calls/s | watches/s |\n|---|---|---|---|---|---|\n",
        );
        for rate in self.store.iter().filter(|rate| rate.phase != Phase::WarmUp) {
            let _ = writeln!(text, "{}", rate.markdown());
        }
        text
    }
}

impl Row {
    fn markdown(&self) -> String {
        let refusal = match self.refusal.count {
            0 => "–".to_owned(),
            _ => format!(
                "{:.1} / {:.1} / {:.1}",
                self.refusal.p50_ms, self.refusal.p99_ms, self.refusal.max_ms
            ),
        };
        format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {refusal} |",
            self.phase,
            self.kind,
            self.offered,
            self.in_time,
            self.late,
            self.not_run,
            self.may_have_run,
            self.broken,
            self.without_retry_after,
        )
    }
}

impl Rate {
    fn markdown(&self) -> String {
        let per_second = |calls: u64| calls as f64 / self.seconds;
        format!(
            "| {} | {:.0} | {:.1} | {:.1} | {:.2} | {:.2} |",
            self.phase,
            self.seconds,
            per_second(self.calls.reads),
            per_second(self.calls.writes),
            per_second(self.calls.leases),
            per_second(self.calls.watches),
        )
    }
}

fn row((phase, kind): (Phase, Kind), records: &[&Record]) -> Row {
    let summary = Summary::of(records.iter().copied());
    let refused = || {
        let is_refusal = |record: &&&Record| record.verdict == Some(Verdict::NotRun);
        records.iter().filter(is_refusal)
    };
    let refusals: Sample = refused().map(|record| record.latency()).collect();
    let silent = refused().filter(|record| record.retry_after.is_none());
    Row {
        phase,
        kind,
        offered: summary.offered,
        in_time: summary.in_time,
        late: summary.whole - summary.in_time,
        not_run: summary.not_run,
        may_have_run: summary.may_have_run,
        broken: summary.broken + summary.corrupt,
        without_retry_after: silent.count() as u64,
        refusal: refusals.quantiles(),
    }
}

fn rates(timeline: &Timeline, store: &[Calls]) -> Vec<Rate> {
    let before = std::iter::once(Calls::default()).chain(store.iter().copied());
    let phases = timeline.ends().zip(before.zip(store));
    phases
        .map(|((phase, _), (before, after))| Rate {
            phase,
            seconds: timeline.length_of(phase).as_secs_f64(),
            calls: after.since(before),
        })
        .collect()
}
