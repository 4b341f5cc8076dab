//! Tracking of the grants of one request by its router.

use crate::{
    failure::{Failure, Reason},
    id::Attempt,
    verdict::Verdict,
};

/// Tracks the grants of one request and allows at most one that is not proved void.
///
/// A router may offer a request to several sidecars, in sequence or in parallel. It reserves the
/// grant here before it claims the request or sends the grant, and releases it only on proof that
/// the attempt was not dispatched and cannot be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantTracker {
    outstanding: Option<Attempt>,
}

impl GrantTracker {
    /// The tracker of a request that has not been granted.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reserves the grant for `attempt`. On `Ok` the router may send the grant, once.
    ///
    /// Otherwise `attempt` is not granted, so the verdict of the failure is `NotRun`.
    pub fn reserve(&mut self, attempt: Attempt) -> Result<(), Failure> {
        if self.outstanding.is_some() {
            return Err(Failure::not_run(Reason::Void));
        }
        self.outstanding = Some(attempt);
        Ok(())
    }

    /// Releases the reservation of `attempt`.
    ///
    /// This requires proof that `attempt` was not dispatched and cannot be: its grant was never
    /// sent, or its sidecar has returned `NotRun`.
    pub fn release(&mut self, attempt: Attempt) {
        if self.outstanding == Some(attempt) {
            self.outstanding = None;
        }
    }

    /// Refines the verdict of a sidecar's failure by what the router knows.
    ///
    /// If there is no outstanding grant, the request has not run, even if the sidecar itself cannot
    /// prove it.
    pub fn refine_verdict(&self, mut failure: Failure) -> Failure {
        if self.outstanding.is_none() {
            failure.verdict = Verdict::NotRun;
        }
        failure
    }

    /// The attempt whose grant is reserved or sent.
    pub fn outstanding(&self) -> Option<Attempt> {
        self.outstanding
    }

    /// Whether the request may have run, as far as the router knows.
    pub fn verdict(&self) -> Verdict {
        match self.outstanding {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        }
    }
}
