//! The sidecars that a request has been to, and when it may go round again.

use {
    std::time::Duration,
    tamarackdale_core::{
        failure::{Failure, Reason},
        id::Instance,
        retry::Backoff,
    },
};

/// Pause before the sidecars are tried again.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(50), Duration::from_millis(500));

/// Where a request has been, in this round over the sidecars.
#[derive(Debug, Default)]
pub struct Route {
    excluded: Vec<Instance>,
    moved: Option<Failure>,
    rounds: u32,
}

impl Route {
    /// Instances not to be tried again in this round.
    pub fn excluded(&self) -> &[Instance] {
        &self.excluded
    }

    /// Why the last sidecar did not run the request.
    pub fn moved(&self) -> Option<Failure> {
        self.moved
    }

    /// Notes that a sidecar did not run the request.
    pub fn leave(&mut self, instance: &Instance, failure: Failure) {
        // A void attempt says nothing against its sidecar.
        if failure.reason != Reason::Void {
            self.excluded.push(instance.clone());
        }
        self.moved = Some(failure);
    }

    /// Starts another round when the last one has tried every sidecar; gives the pause before it.
    ///
    /// A sidecar that gives a request up knows only of itself and of the moment. As long as the
    /// router predicts that the request can be served in time, and nothing is shed, it goes round
    /// again; placement ends that as soon as the prediction says otherwise.
    pub fn next_round(&mut self, failure: Failure, seed: u64) -> Option<Duration> {
        let is_exhausted = failure.reason == Reason::NoBackendServer && !self.excluded.is_empty();
        let is_shed = self.moved.is_some_and(|moved| moved.reason.is_shed());
        if !is_exhausted || is_shed {
            return None;
        }
        let pause = BACKOFF.delay(self.rounds, seed);
        self.rounds = self.rounds.saturating_add(1);
        self.excluded.clear();
        Some(pause)
    }

    /// The reason to give when no further sidecar is found. The last sidecar's says more than that
    /// there is no further one; but one that gave the request up knew only of itself.
    pub fn last_word(&self, failure: Failure) -> Failure {
        let is_final = failure.reason != Reason::NoBackendServer;
        self.moved.filter(|_| !is_final).unwrap_or(failure)
    }
}
