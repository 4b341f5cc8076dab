//! Answers of the old and the new version, by route, summed over all routers.

use std::{collections::HashMap, time::Duration};

/// Factor over the usual time of the old version above which an answer counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// The same in standard deviations.
const SLOW_DEVIATIONS: f64 = 2.5;

/// Least number of times of the old version from which a slow answer can be told.
const MIN_TIMES: f64 = 20.0;

/// Largest count or sum that another router may state.
const MAX_VALUE: f64 = 1e9;

/// Which of the two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Side {
    /// Any version except the new one.
    Old,
    /// The version that the order names.
    New,
}

/// What is counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Version.
    pub side: Side,
    /// Hash of the name of the route.
    pub route: u32,
}

/// Logarithms of times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moments {
    /// Number of times.
    pub count: f64,
    /// Sum of their natural logarithms, in milliseconds.
    pub sum: f64,
    /// Sum of the squares of the logarithms.
    pub squares: f64,
}

/// Times of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Whether it failed: it broke, was an error, was refused although a slot was free, or did not come.
    pub has_failed: bool,
    /// Time to the first event for each prompt token that was to be processed, in milliseconds.
    pub first_ms: Option<f64>,
    /// Time for each further event, in milliseconds.
    pub event_ms: Option<f64>,
    /// Time that the answer of a plain service took, in milliseconds.
    pub occupancy_ms: Option<f64>,
}

/// Counts since the beginning of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests sent.
    pub sent: f64,
    /// Answers, good and bad.
    pub answers: f64,
    /// Answers that failed or were slow.
    pub bad: f64,
    /// Times to the first event, per event, and of plain answers.
    pub times: [Moments; 3],
}

impl Moments {
    fn add(&mut self, millis: f64) {
        let log = millis.max(1e-3).ln();
        self.count += 1.0;
        self.sum += log;
        self.squares += log * log;
    }

    fn map(self, other: Self, operation: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            count: operation(self.count, other.count),
            sum: operation(self.sum, other.sum),
            squares: operation(self.squares, other.squares),
        }
    }

    /// Mean of the logarithms.
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1e-9)
    }

    /// Variance of the logarithms.
    pub fn variance(&self) -> f64 {
        let mean = self.mean();
        (self.squares / self.count.max(1e-9) - mean * mean).max(0.0)
    }
}

impl Counts {
    fn map(self, other: Self, operation: impl Fn(f64, f64) -> f64 + Copy) -> Self {
        let mut times = self.times;
        for (own, other) in times.iter_mut().zip(other.times) {
            *own = own.map(other, operation);
        }
        Self {
            sent: operation(self.sent, other.sent),
            answers: operation(self.answers, other.answers),
            bad: operation(self.bad, other.bad),
            times,
        }
    }

    /// Sum of both.
    pub fn plus(self, other: Self) -> Self {
        self.map(other, |own, other| own + other)
    }

    /// What was counted since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        self.map(earlier, |own, earlier| own - earlier)
    }

    fn scaled(self, factor: f64) -> Self {
        self.map(self, |own, _| own * factor)
    }

    /// Whether a router may have counted this. Each count and sum is a number of a plausible size.
    pub fn is_valid(&self) -> bool {
        let is_count = |value: f64| (0.0..=MAX_VALUE).contains(&value);
        [self.sent, self.answers, self.bad]
            .into_iter()
            .all(is_count)
            && self.bad <= self.answers
            && self.times.iter().all(|times| {
                is_count(times.count) && is_count(times.squares) && times.sum.abs() <= MAX_VALUE
            })
    }
}

/// Counts of one router.
#[derive(Clone, Copy, Debug, Default)]
struct Series {
    total: Counts,
    /// What was counted at the last update of `recent`.
    before: Counts,
    recent: Counts,
}

/// Counts of all routers.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// By router, this one being 0.
    sources: HashMap<u64, HashMap<Key, Series>>,
}

/// Counts of one version in one scope, by router.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Counts of the new version.
    pub new: Counts,
    /// Counts of the old version.
    pub old: Counts,
}

/// The number of this router among the sources.
const OWN: u64 = 0;

impl Statistics {
    /// Creates empty statistics.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, key: Key) {
        self.own(key).sent += 1.0;
    }

    /// Counts an answer.
    pub fn record(&mut self, key: Key, outcome: Outcome) {
        let times = [outcome.first_ms, outcome.event_ms, outcome.occupancy_ms];
        let is_slow = times
            .iter()
            .enumerate()
            .any(|(index, time)| time.is_some_and(|time| self.is_slow(key.route, index, time)));
        let counts = self.own(key);
        counts.answers += 1.0;
        if outcome.has_failed || is_slow {
            counts.bad += 1.0;
        }
        for (moments, time) in counts.times.iter_mut().zip(times) {
            if let Some(time) = time {
                moments.add(time);
            }
        }
    }

    /// Whether a time is several times that of the old version on the same route at this router.
    fn is_slow(&self, route: u32, index: usize, millis: f64) -> bool {
        let key = Key {
            side: Side::Old,
            route,
        };
        let usual = self
            .sources
            .get(&OWN)
            .and_then(|own| own.get(&key))
            .map(|series| series.total.times[index]);
        usual.is_some_and(|usual| {
            let excess = millis.max(1e-3).ln() - usual.mean();
            usual.count >= MIN_TIMES
                && excess > SLOW_FACTOR.ln()
                && excess > SLOW_DEVIATIONS * usual.variance().sqrt()
        })
    }

    fn own(&mut self, key: Key) -> &mut Counts {
        let own = self.sources.entry(OWN).or_default();
        &mut own.entry(key).or_default().total
    }

    /// This router's counts.
    pub fn own_counts(&self) -> Vec<(Key, Counts)> {
        let own = self.sources.get(&OWN).into_iter().flatten();
        let mut counts: Vec<_> = own.map(|(key, series)| (*key, series.total)).collect();
        counts.sort_by_key(|(key, _)| *key);
        counts
    }

    /// Replaces a router's counts. They only grow, so a report that comes twice or late does no harm.
    pub fn merge(&mut self, router: u64, key: Key, counts: Counts) {
        let series = self
            .sources
            .entry(router)
            .or_default()
            .entry(key)
            .or_default();
        if counts.sent >= series.total.sent && counts.answers >= series.total.answers {
            series.total = counts;
        }
    }

    /// Updates the recent counts: the weight of earlier answers falls by the factor `decay`.
    pub fn update_recent(&mut self, decay: f64) {
        for series in self.sources.values_mut().flat_map(HashMap::values_mut) {
            let news = series.total.since(series.before);
            series.recent = series.recent.scaled(decay).plus(news);
            series.before = series.total;
        }
    }

    /// Sum of the requests that each version got.
    pub fn sent(&self) -> (f64, f64) {
        let mut sent = (0.0, 0.0);
        for (key, series) in self.sources.values().flatten() {
            match key.side {
                Side::Old => sent.0 += series.total.sent,
                Side::New => sent.1 += series.total.sent,
            }
        }
        sent
    }

    /// Sum over all routers, routes and answers of a version.
    pub fn total(&self, side: Side) -> Counts {
        let all = self.sources.values().flatten();
        all.filter(|(key, _)| key.side == side)
            .fold(Counts::default(), |sum, (_, series)| sum.plus(series.total))
    }

    /// Routes with answers.
    pub fn routes(&self) -> Vec<u32> {
        let keys = self.sources.values().flat_map(HashMap::keys);
        let mut routes: Vec<u32> = keys.map(|key| key.route).collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Counts of each router on one route, or on all of them; those since the beginning or recent ones.
    pub fn samples(&self, route: Option<u32>, is_recent: bool) -> Vec<Sample> {
        let sources = self.sources.values();
        sources
            .map(|counts| {
                let mut sample = Sample::default();
                for (key, series) in counts {
                    if route.is_some_and(|only| only != key.route) {
                        continue;
                    }
                    let counts = match is_recent {
                        true => series.recent,
                        false => series.total,
                    };
                    let sum = match key.side {
                        Side::Old => &mut sample.old,
                        Side::New => &mut sample.new,
                    };
                    *sum = sum.plus(counts);
                }
                sample
            })
            .collect()
    }
}

/// Time in milliseconds.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
