//! Counts and latencies of the records of a run.

use {
    super::Record,
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    tamarackdale_core::verdict::Verdict,
};

/// Longest latency that a histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// What became of a group of requests.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Requests offered.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers that came while they were worth having.
    pub in_time: u64,
    /// Refusals proved not to have run.
    pub not_run: u64,
    /// Failures that may have run.
    pub may_have_run: u64,
    /// Calls that broke without a verdict, or after the head.
    pub broken: u64,
    /// Clean successes whose answer is not the whole one of their request.
    pub corrupt: u64,
    /// Whole answers' time to the first byte, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Whole answers' time to the end, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Summary {
    fn default() -> Self {
        Self::new()
    }
}

impl Summary {
    /// The summary of no records.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS);
        let histogram = histogram.expect("the bounds are in the range of the library");
        Self {
            offered: 0,
            whole: 0,
            in_time: 0,
            not_run: 0,
            may_have_run: 0,
            broken: 0,
            corrupt: 0,
            first_byte: histogram.clone(),
            latency: histogram,
        }
    }

    /// The summary of some records.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut summary = Self::new();
        for record in records {
            summary.add(record);
        }
        summary
    }

    /// Takes in one record.
    pub fn add(&mut self, record: &Record) {
        self.offered += 1;
        if record.whole {
            self.whole += 1;
            self.in_time += u64::from(record.is_in_time());
            record_duration(&mut self.latency, record.latency());
            if let Some(latency) = record.first_byte_latency() {
                record_duration(&mut self.first_byte, latency);
            }
            return;
        }
        if record.is_corrupt() {
            self.corrupt += 1;
        }
        match record.verdict {
            Some(Verdict::NotRun) => self.not_run += 1,
            Some(Verdict::MayHaveRun) => self.may_have_run += 1,
            _ if record.broken => self.broken += 1,
            _ => {}
        }
    }

    /// A quantile of a histogram.
    pub fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Duration {
        Duration::from_micros(histogram.value_at_quantile(quantile))
    }
}

/// Summaries by service and tier, printed as a table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The summaries.
    pub rows: BTreeMap<(String, String), Summary>,
}

impl Table {
    /// The table of some records.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut table = Self::default();
        for record in records {
            let group = (record.service.clone(), record.tier.clone());
            table.rows.entry(group).or_default().add(record);
        }
        table
    }
}

impl Display for Table {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<15} {:<11} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>7} {:>21} {:>21}",
            "service",
            "tier",
            "offered",
            "whole",
            "in time",
            "not-run",
            "may-have",
            "broken",
            "corrupt",
            "first byte p50/p99 ms",
            "whole p50/p99 ms",
        )?;
        for ((service, tier), row) in &self.rows {
            write!(
                formatter,
                "{service:<15} {tier:<11} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>7}",
                row.offered,
                row.whole,
                row.in_time,
                row.not_run,
                row.may_have_run,
                row.broken,
                row.corrupt,
            )?;
            writeln!(
                formatter,
                " {:>21} {:>21}",
                pair(&row.first_byte),
                pair(&row.latency)
            )?;
        }
        Ok(())
    }
}

fn pair(histogram: &Histogram<u64>) -> String {
    let millis = |quantile| Summary::quantile(histogram, quantile).as_secs_f64() * 1_000.0;
    format!("{:.1} / {:.1}", millis(0.5), millis(0.99))
}

fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_micros() as u64);
}
