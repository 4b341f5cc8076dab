//! Times that a service took for its latest requests, to predict that of the next one.

use std::{collections::VecDeque, time::Duration};

/// Number of requests that are remembered. Odd, so that one of them is the median.
const CAPACITY: usize = 15;

/// Times of the latest requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceTimes {
    latest: VecDeque<Duration>,
}

impl ServiceTimes {
    /// Records how long a request took.
    pub fn record(&mut self, elapsed: Duration) {
        if self.latest.len() == CAPACITY {
            self.latest.pop_front();
        }
        self.latest.push_back(elapsed);
    }

    /// Predicts the time of the next request, from those recorded and from how long others have been
    /// `running` so far: the median of the former, or that of both if it is longer. `None` without any.
    pub fn predict(&self, running: impl IntoIterator<Item = Duration>) -> Option<Duration> {
        let latest = self.latest.iter().copied();
        median(latest.clone()).max(median(latest.chain(running)))
    }
}

/// The median, the shorter of two in the middle.
fn median(times: impl Iterator<Item = Duration>) -> Option<Duration> {
    let mut sorted: Vec<Duration> = times.collect();
    sorted.sort_unstable();
    let middle = sorted.len().checked_sub(1)? / 2;
    sorted.get(middle).copied()
}
