//! Exact quantiles of a few thousand durations.

use {serde::Serialize, std::time::Duration};

/// Durations, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    sorted: Vec<Duration>,
}

/// Quantiles of a sample, in milliseconds; zero for an empty one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of durations.
    pub count: usize,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

impl FromIterator<Duration> for Sample {
    fn from_iter<T: IntoIterator<Item = Duration>>(durations: T) -> Self {
        let mut sorted: Vec<Duration> = durations.into_iter().collect();
        sorted.sort_unstable();
        Self { sorted }
    }
}

impl Sample {
    /// The smallest duration that at least this part of the sample does not exceed.
    pub fn quantile(&self, part: f64) -> Duration {
        let rank = (part * self.sorted.len() as f64).ceil() as usize;
        let found = self.sorted.get(rank.saturating_sub(1));
        found.copied().unwrap_or_default()
    }

    /// The usual quantiles.
    pub fn quantiles(&self) -> Quantiles {
        let millis = |part| self.quantile(part).as_secs_f64() * 1_000.0;
        Quantiles {
            count: self.sorted.len(),
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            max_ms: millis(1.0),
        }
    }
}
