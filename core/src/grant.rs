//! A router's record of what it has granted for one request.

use crate::{
    failure::{Failure, Reason},
    id::Attempt,
    verdict::Verdict,
};

/// The grants of one request: at most one that is not proved void.
///
/// A router may offer a request to several sidecars, one after another or at once. It reserves
/// the grant here before it claims the request or sends the grant, and gives it back only on
/// proof that the attempt was not dispatched and cannot be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantTracker {
    outstanding: Option<Attempt>,
}

impl GrantTracker {
    /// The ledger of a request that has not been granted.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reserves the grant for `attempt`; on `Ok` the router may go on to send it, once.
    ///
    /// The failure is about `attempt`, which is not granted: its verdict is `NotRun`.
    pub fn reserve(&mut self, attempt: Attempt) -> Result<(), Failure> {
        if self.outstanding.is_some() {
            return Err(Failure::not_run(Reason::Void));
        }
        self.outstanding = Some(attempt);
        Ok(())
    }

    /// Takes the reservation back, on proof that `attempt` was not dispatched and cannot be: its
    /// grant was never sent, or its sidecar says `NotRun`.
    pub fn release(&mut self, attempt: Attempt) {
        if self.outstanding == Some(attempt) {
            self.outstanding = None;
        }
    }

    /// The failure as the router knows it: a sidecar's refusal of an attempt that was never granted
    /// proves that the request was not run, even where the sidecar itself cannot prove it.
    pub fn refine_verdict(&self, mut failure: Failure) -> Failure {
        if self.outstanding.is_none() {
            failure.verdict = Verdict::NotRun;
        }
        failure
    }

    /// The attempt that may be dispatched.
    pub fn outstanding(&self) -> Option<Attempt> {
        self.outstanding
    }

    /// What the router itself knows of the request's execution.
    pub fn verdict(&self) -> Verdict {
        match self.outstanding {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        }
    }
}
