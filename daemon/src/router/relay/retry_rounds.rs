//! Rounds in which a request is offered to the sidecars, and when another round is allowed.

use {
    std::time::Duration,
    tamarackdale_core::{
        failure::{Failure, Reason},
        id::Instance,
        retry::Backoff,
    },
};

/// Delay before another round.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(50), Duration::from_millis(500));

/// The sidecars that did not run a request in the current round.
#[derive(Debug, Default)]
pub struct RetryRounds {
    excluded: Vec<Instance>,
    last_failure: Option<Failure>,
    rounds: u32,
}

impl RetryRounds {
    /// Returns the instances that must not be tried again in this round.
    pub fn excluded(&self) -> &[Instance] {
        &self.excluded
    }

    /// Returns why the last sidecar did not run the request.
    pub fn last_failure(&self) -> Option<Failure> {
        self.last_failure
    }

    /// Records that a sidecar did not run the request.
    pub fn record_failure(&mut self, instance: &Instance, failure: Failure) {
        // A voided attempt is no reason to avoid its sidecar.
        if failure.reason != Reason::Void {
            self.excluded.push(instance.clone());
        }
        self.last_failure = Some(failure);
    }

    /// Starts another round if the current one has tried every sidecar, or if placement waits for the
    /// report of a lost one, and returns the delay before it.
    ///
    /// A sidecar that gives up a request judges only by its own state at that moment. The router
    /// therefore retries as long as it predicts that the request can be served in time and nothing
    /// was shed. Placement ends the retries once the prediction changes.
    pub fn next_round(&mut self, failure: Failure, seed: u64) -> Option<Duration> {
        let is_exhausted = match failure.reason {
            Reason::NoBackendServer => !self.excluded.is_empty(),
            Reason::ConnectionLost => true,
            _ => false,
        };
        let is_shed = self
            .last_failure
            .is_some_and(|last_failure| last_failure.reason.is_shed());
        if !is_exhausted || is_shed {
            return None;
        }
        let pause = BACKOFF.delay(self.rounds, seed);
        self.rounds = self.rounds.saturating_add(1);
        self.excluded.clear();
        Some(pause)
    }

    /// Returns the failure to report when no further sidecar is found. If placement only found no
    /// sidecar left, the failure of the last sidecar is more specific. Any other reason given by
    /// placement takes precedence, because the last sidecar judged only by its own state.
    pub fn final_failure(&self, failure: Failure) -> Failure {
        let is_final = !matches!(
            failure.reason,
            Reason::NoBackendServer | Reason::ConnectionLost
        );
        self.last_failure.filter(|_| !is_final).unwrap_or(failure)
    }
}
