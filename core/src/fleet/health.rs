//! Health of a backend server, judged by what becomes of requests.

use {crate::time::Timestamp, std::time::Duration};

/// What went wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about.
    Unreachable,
    /// It did not run the request, as it is full or is another one.
    Rejected,
    /// It answered with an error, broke off, or sent what is no answer.
    Broken,
}

/// Weight of the newest outcome in the rate of failures.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Failed connections in a row after which a backend server is ejected.
const EJECT_AFTER: u32 = 2;

/// First ejection; each further one in a row is twice as long.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection: within it a backend server that came back is tried again.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Rejection pauses a backend server this long, so that others are tried first.
const REJECTION_PAUSE: Duration = Duration::from_millis(30);

/// What is known of a backend server's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    rate: f64,
    unreachable: u32,
    ejected_until: Timestamp,
}

impl Health {
    /// A backend server without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chance that the next request fails.
    pub fn risk(&self) -> f64 {
        self.rate
    }

    /// Whether it gets no requests now. The first request after an ejection is the probe.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self) {
        self.unreachable = 0;
        self.rate -= self.rate * OUTCOME_WEIGHT;
    }

    /// Notes a failure; returns whether it led to an ejection.
    pub fn record_failure(&mut self, failure: Failure, now: Timestamp) -> bool {
        match failure {
            Failure::Rejected => {
                self.ejected_until = self.ejected_until.max(now.plus(REJECTION_PAUSE));
                false
            }
            Failure::Broken => {
                self.rate += (1.0 - self.rate) * OUTCOME_WEIGHT;
                false
            }
            Failure::Unreachable => {
                self.unreachable = self.unreachable.saturating_add(1);
                self.rate += (1.0 - self.rate) * OUTCOME_WEIGHT;
                self.eject(now)
            }
        }
    }

    fn eject(&mut self, now: Timestamp) -> bool {
        if self.unreachable < EJECT_AFTER {
            return false;
        }
        let doublings = (self.unreachable - EJECT_AFTER).min(8);
        let length = FIRST_EJECTION
            .saturating_mul(1 << doublings)
            .min(LONGEST_EJECTION);
        self.ejected_until = now.plus(length);
        true
    }
}
