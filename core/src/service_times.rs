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

    /// The median of the latest times, the shorter of two; `None` before the first.
    pub fn median(&self) -> Option<Duration> {
        let mut sorted: Vec<Duration> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        let middle = sorted.len().checked_sub(1)? / 2;
        sorted.get(middle).copied()
    }
}
