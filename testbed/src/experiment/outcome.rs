//! What one trial brought.

use {
    super::{Arrivals, Delays, History, Profile},
    crate::{engine::Run, load::Record},
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashSet},
        time::Duration,
    },
};

/// Settling time after which a floor must be in force everywhere.
const SETTLING: Duration = Duration::from_millis(250);

/// What became of one tier's requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tier {
    /// Requests offered.
    pub offered: u64,
    /// Whole answers within the deadline.
    pub good: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Calls that broke or that their caller gave up.
    pub broken: u64,
    /// Time to the first token of good answers, median, milliseconds.
    pub first_token_p50_ms: f64,
    /// Time to the first token of good answers, 95th percentile, milliseconds.
    pub first_token_p95_ms: f64,
    /// Good answers by organisation, by API key.
    pub good_by_caller: BTreeMap<String, u64>,
    /// Requests offered by organisation, by API key.
    pub offered_by_caller: BTreeMap<String, u64>,
    #[serde(skip)]
    first_tokens: Vec<Duration>,
}

impl Tier {
    /// Part of the offered requests that had a good answer.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }
}

/// What one trial brought.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Profile.
    pub profile: String,
    /// Policy.
    pub policy: String,
    /// Offered load, relative to the capacity.
    pub load: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Tiers, the most urgent first, with their names.
    pub tiers: Vec<(String, Tier)>,
    /// Prompt tokens computed by all engines.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the engines' caches.
    pub cached_tokens: u64,
    /// Prompt tokens computed for requests without a good answer.
    pub wasted_prefill_tokens: u64,
    /// Final refusals for overload.
    pub sheds: usize,
    /// Lower-tier requests started while a shed of a higher tier held, after the
    /// floor had time to settle.
    pub inversions: usize,
    /// The same without any time to settle.
    pub inversions_unsettled: usize,
    /// Refusals whose delay between giving up and answering is known.
    pub given_up: usize,
    /// Delay between giving up and answering, median, milliseconds.
    pub answer_delay_p50_ms: f64,
    /// Delay between giving up and answering, 99th percentile, milliseconds.
    pub answer_delay_p99_ms: f64,
    /// Latest offer after its time, milliseconds: how late the load tool was.
    pub offer_lateness_ms: f64,
}

/// What was seen of one trial.
pub(super) struct Evidence<'a> {
    pub(super) profile: &'a Profile,
    pub(super) arrivals: &'a Arrivals,
    pub(super) records: &'a [Record],
    pub(super) runs: &'a [Run],
    pub(super) history: &'a History,
    /// When the first offer could be made, since the epoch.
    pub(super) start: Duration,
}

impl Evidence<'_> {
    pub(super) fn outcome(&self, policy: &str, load: f64, seed: u64) -> Outcome {
        let delays = Delays::of(self.history, self.records, self.start);
        let (prefilled, cached, wasted) = self.prefill();
        Outcome {
            profile: self.profile.name.to_owned(),
            policy: policy.to_owned(),
            load,
            seed,
            tiers: self.tiers(),
            prefilled_tokens: prefilled,
            cached_tokens: cached,
            wasted_prefill_tokens: wasted,
            sheds: self.history.sheds(),
            inversions: self.history.inversions(SETTLING).len(),
            inversions_unsettled: self.history.inversions(Duration::ZERO).len(),
            given_up: delays.len(),
            answer_delay_p50_ms: millis(delays.quantile(0.5)),
            answer_delay_p99_ms: millis(delays.quantile(0.99)),
            offer_lateness_ms: self.offer_lateness_ms(),
        }
    }

    fn tiers(&self) -> Vec<(String, Tier)> {
        let classes = self.profile.classes.iter();
        let mut tiers: Vec<(String, Tier)> = classes
            .map(|class| (class.tier.to_owned(), Tier::default()))
            .collect();
        for record in self.records {
            let arrival = &self.arrivals.arrivals[record.index];
            let class = &self.profile.classes[arrival.class];
            let (caller, _) = class.callers[arrival.caller];
            tiers[arrival.class].1.add(record, class.deadline, caller);
        }
        for (_, tier) in &mut tiers {
            tier.finish();
        }
        tiers
    }

    /// Prompt tokens computed, found cached, and computed for nothing.
    fn prefill(&self) -> (u64, u64, u64) {
        let good: HashSet<&str> = self
            .records
            .iter()
            .filter(|record| self.is_good(record))
            .filter_map(|record| record.key.as_deref())
            .collect();
        self.runs
            .iter()
            .fold((0, 0, 0), |(computed, cached, wasted), run| {
                let is_good = run.marker.as_deref().is_some_and(|key| good.contains(key));
                let tokens = u64::from(run.prefilled_tokens);
                (
                    computed + tokens,
                    cached + u64::from(run.cached_tokens),
                    wasted + if is_good { 0 } else { tokens },
                )
            })
    }

    fn is_good(&self, record: &Record) -> bool {
        let arrival = &self.arrivals.arrivals[record.index];
        record.whole && record.latency() <= self.profile.classes[arrival.class].deadline
    }

    fn offer_lateness_ms(&self) -> f64 {
        let lateness = self.records.iter().map(|record| {
            let due = self.arrivals.arrivals[record.index].offset;
            record.offered.saturating_sub(due)
        });
        millis(lateness.max().unwrap_or_default())
    }
}

impl Tier {
    fn add(&mut self, record: &Record, deadline: Duration, caller: &str) {
        self.offered += 1;
        *self.offered_by_caller.entry(caller.to_owned()).or_default() += 1;
        if record.whole && record.latency() <= deadline {
            self.good += 1;
            *self.good_by_caller.entry(caller.to_owned()).or_default() += 1;
            self.first_tokens.extend(record.first_byte_latency());
        } else if record.whole {
            self.late += 1;
        } else if let Some(reason) = &record.reason {
            *self.refused.entry(reason.clone()).or_default() += 1;
        } else {
            self.broken += 1;
        }
    }

    fn finish(&mut self) {
        self.first_tokens.sort_unstable();
        let last = self.first_tokens.len().saturating_sub(1);
        let at = |quantile: f64| {
            let index = (quantile * last as f64).round() as usize;
            millis(self.first_tokens.get(index).copied().unwrap_or_default())
        };
        (self.first_token_p50_ms, self.first_token_p95_ms) = (at(0.5), at(0.95));
    }
}

impl Outcome {
    /// Good answers of all tiers.
    pub fn good(&self) -> u64 {
        self.tiers.iter().map(|(_, tier)| tier.good).sum()
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
