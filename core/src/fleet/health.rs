//! Health of a backend server, derived from the outcomes of its requests.

use {super::containment::Outcome, crate::time::Timestamp, std::time::Duration};

/// How a request to a backend server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established.
    Unreachable,
    /// The backend server did not run the request: it is full, or another one listens at the
    /// address.
    Rejected,
    /// It responded with an error.
    Error,
    /// It closed the connection early, or sent an invalid response.
    Broken,
}

impl Failure {
    /// The outcome at a backend server that has a free slot or not.
    pub fn outcome(self, has_free_slot: bool) -> Outcome {
        match self {
            Self::Unreachable => Outcome::Unreachable,
            Self::Rejected => Outcome::Refused { has_free_slot },
            Self::Error => Outcome::Error,
            Self::Broken => Outcome::Broken,
        }
    }
}

/// Weight of the newest outcome in the moving average of the failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Consecutive connection failures after which a backend server is ejected.
const EJECTION_THRESHOLD: u32 = 2;

/// Duration of the first ejection; it doubles with each further connection failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection, so that a backend server that has recovered is retried within this time.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time for which a backend server is ejected after a rejection, so that others are tried first.
const REJECTION_PAUSE: Duration = Duration::from_millis(30);

/// Failure statistics and ejection state of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    consecutive_unreachable: u32,
    ejected_until: Timestamp,
}

impl Health {
    /// Creates the state of a backend server without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Estimated probability that the next request fails.
    pub fn risk(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the backend server gets no requests now. The first request after an ejection serves
    /// as the probe.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Records a complete response.
    pub fn record_success(&mut self) {
        self.consecutive_unreachable = 0;
        self.failure_rate -= self.failure_rate * SAMPLE_WEIGHT;
    }

    /// Records a failure. Returns whether it caused an ejection.
    pub fn record_failure(&mut self, failure: Failure, now: Timestamp) -> bool {
        match failure {
            Failure::Rejected => {
                self.ejected_until = self.ejected_until.max(now.plus(REJECTION_PAUSE));
                false
            }
            Failure::Error | Failure::Broken => {
                self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
                false
            }
            Failure::Unreachable => {
                self.consecutive_unreachable = self.consecutive_unreachable.saturating_add(1);
                self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
                self.eject(now)
            }
        }
    }

    fn eject(&mut self, now: Timestamp) -> bool {
        if self.consecutive_unreachable < EJECTION_THRESHOLD {
            return false;
        }
        let doublings = (self.consecutive_unreachable - EJECTION_THRESHOLD).min(8);
        let length = MIN_EJECTION
            .saturating_mul(1 << doublings)
            .min(MAX_EJECTION);
        self.ejected_until = now.plus(length);
        true
    }
}
