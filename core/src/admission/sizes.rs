//! Order by size: requests that use the least slot time for their worth go first, and the large ones
//! of each kind still get a part of the kind's share.

use {
    super::{Subject, window::Window},
    crate::time::Timestamp,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Period over which the shares of size classes are compared.
const WINDOW: Duration = Duration::from_secs(4);

/// Least part of its kind's served share that a size class gets, apart from one request.
const MIN_CLASS_PART: f64 = 0.5;

/// Number of latest requests of a kind from which its mean and its size classes are determined.
const SAMPLE: usize = 128;

/// Parts of a kind's requests below its large and below its largest ones.
const LARGE_QUANTILE: f64 = 0.7;
const LARGEST_QUANTILE: f64 = 0.9;

/// Worth of a request as a function of its size relative to the mean of its kind.
const WORTH_BASE: f64 = 0.3;
const WORTH_SLOPE: f64 = 0.7;
const MAX_WORTH: f64 = 4.0;

/// Steps per octave in which costs are compared: predictions are accurate to within 20 %, and of
/// nearly equal requests the one with the most time left goes first.
const COST_STEPS: f64 = 4.0;

/// Size class of a request within its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Below the large ones.
    Common,
    /// Of the fifth below the largest tenth.
    Large,
    /// Of the largest tenth.
    Largest,
}

/// Requests that arrived and got a slot.
#[derive(Clone, Debug)]
struct Count {
    arrived: Window,
    started: Window,
}

/// Sizes and counts of one kind.
#[derive(Clone, Debug)]
struct Kind {
    latest: VecDeque<f64>,
    mean: f64,
    /// Largest sizes of the common and of the large ones.
    bounds: (f64, f64),
    classes: [Count; 3],
}

/// Sizes of the requests of a service, by kind.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    kinds: HashMap<u64, Kind>,
}

impl Sizes {
    /// Records a request that asks for a slot. A retry is the same caller's, and counts only once it
    /// gets one.
    pub fn record_arrival(&mut self, subject: Subject, is_retry: bool, now: Timestamp) {
        if is_retry {
            return;
        }
        let kind = self.kinds.entry(subject.kind).or_insert_with(Kind::new);
        kind.observe(subject.size);
        let class = kind.class(subject.size);
        kind.classes[class as usize].arrived.add(1.0, now);
    }

    /// Records a request that got a slot.
    pub fn record_start(&mut self, subject: Subject, now: Timestamp) {
        if let Some(kind) = self.kinds.get_mut(&subject.kind) {
            let class = kind.class(subject.size);
            kind.classes[class as usize].started.add(1.0, now);
        }
    }

    /// Size class of a request.
    pub fn class(&self, subject: Subject) -> Class {
        let kind = self.kinds.get(&subject.kind);
        kind.map_or(Class::Common, |kind| kind.class(subject.size))
    }

    /// Whether the class of the request gets at least the least part of its kind's share.
    pub fn is_class_served(&self, subject: Subject, now: Timestamp) -> bool {
        let Some(kind) = self.kinds.get(&subject.kind) else {
            return true;
        };
        let class = kind.class(subject.size);
        if class == Class::Common {
            return true;
        }
        let sums = kind.classes.iter().map(|count| count.sums(now));
        let (arrived, started) = sums.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let own = kind.classes[class as usize].sums(now);
        (own.1 + 1.0) * arrived >= own.0 * started * MIN_CLASS_PART
    }

    /// Steps of the predicted slot time relative to the worth; 0 for a request without a size, whose
    /// slot time is not known beforehand.
    pub fn cost(&self, subject: Subject, slot_time: Duration) -> i32 {
        if subject.size <= 0.0 {
            return 0;
        }
        let per_worth = slot_time.as_secs_f64().max(1e-6) / self.worth(subject);
        (per_worth.log2() * COST_STEPS).round() as i32
    }

    /// Worth of a request; one of the mean size of its kind has a worth of 1.
    pub fn worth(&self, subject: Subject) -> f64 {
        let mean = self.kinds.get(&subject.kind).map_or(0.0, |kind| kind.mean);
        let relative = match mean > 0.0 {
            true => subject.size / mean,
            false => 1.0,
        };
        (WORTH_BASE + WORTH_SLOPE * relative).min(MAX_WORTH)
    }
}

impl Count {
    const fn new() -> Self {
        Self {
            arrived: Window::new(WINDOW),
            started: Window::new(WINDOW),
        }
    }

    fn sums(&self, now: Timestamp) -> (f64, f64) {
        (self.arrived.sum(now), self.started.sum(now))
    }
}

impl Kind {
    fn new() -> Self {
        Self {
            latest: VecDeque::with_capacity(SAMPLE),
            mean: 0.0,
            bounds: (f64::INFINITY, f64::INFINITY),
            classes: [Count::new(), Count::new(), Count::new()],
        }
    }

    fn observe(&mut self, size: f64) {
        if self.latest.len() == SAMPLE {
            self.latest.pop_front();
        }
        self.latest.push_back(size);
        let mut sorted: Vec<f64> = self.latest.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let count = sorted.len() as f64;
        self.mean = sorted.iter().sum::<f64>() / count;
        let quantile = |part: f64| sorted[((count * part) as usize).min(sorted.len() - 1)];
        self.bounds = (quantile(LARGE_QUANTILE), quantile(LARGEST_QUANTILE));
    }

    fn class(&self, size: f64) -> Class {
        match (size > self.bounds.0, size > self.bounds.1) {
            (_, true) => Class::Largest,
            (true, false) => Class::Large,
            (false, false) => Class::Common,
        }
    }
}
