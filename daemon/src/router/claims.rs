//! The claims worker: the router's only writer of claims in the key-value store.
//!
//! It owns the lease that claims are written under, the batches in which claims are written, and
//! the circuit breaker that tracks whether the store is down. The sequence of calls for a request
//! is decided by that request's [`tamarackdale_core::claim::Machine`].

pub mod call;
mod lease;
mod worker;

pub use call::{Call, Outcome};

use {
    self::{call::Command, worker::ClaimsWorker},
    crate::{clock::Clock, signal::Shutdown, worker::Worker},
    std::{io, time::Duration},
    tamarackdale_core::failure::{Failure, Reason},
    tamarackdale_store::kv,
    tokio::sync::{mpsc, oneshot, watch},
};

/// Capacity of the queue of calls to the worker.
const CAPACITY: usize = 4096;

/// Timeout of one call to the key-value store. A claim makes at most a few sequential calls, during
/// which its attempt holds a slot of the backend server.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle to the claims worker.
#[derive(Clone)]
pub struct Claims {
    commands: mpsc::Sender<Command>,
    outage: watch::Receiver<Option<Duration>>,
}

impl Claims {
    /// Starts the worker.
    ///
    /// Fails if the thread cannot be started.
    pub fn spawn(store: &str, clock: Clock, shutdown: &Shutdown) -> io::Result<(Worker, Self)> {
        let (commands, receiver) = mpsc::channel(CAPACITY);
        let (outage_sender, outage) = watch::channel(None);
        let store = kv::Client::new(store).with_timeout(CALL_TIMEOUT);
        let aborting = shutdown.aborting.clone();
        let worker = Worker::spawn_async("claims", async move {
            tokio::select! {
                () = ClaimsWorker::new(store, clock, receiver, outage_sender).run() => {}
                () = aborting.cancelled() => {}
            }
        })?;
        Ok((worker, Self { commands, outage }))
    }

    /// Makes one call for the claim under `key`.
    ///
    /// Fails as not run if the worker's queue is full or closed; the call then has no effect.
    pub async fn call(&self, key: &str, call: Call) -> Result<Outcome, Failure> {
        let (reply, outcome) = oneshot::channel();
        let command = Command {
            key: key.to_owned(),
            call,
            reply,
        };
        self.commands
            .try_send(command)
            .map_err(|_| Failure::not_run(Reason::Full))?;
        // A worker that ends without replying may have made the call.
        Ok(outcome.await.unwrap_or(Outcome::Unknown))
    }

    /// Fails immediately while the store is known to be down.
    pub fn check_available(&self) -> Result<(), Failure> {
        match *self.outage.borrow() {
            Some(delay) => Err(unavailable_failure(delay)),
            None => Ok(()),
        }
    }

    /// Waits until the store is known to be down, and returns the failure to report.
    pub async fn wait_until_unavailable(&self) -> Failure {
        let mut outage = self.outage.clone();
        loop {
            if let Some(delay) = *outage.borrow_and_update() {
                return unavailable_failure(delay);
            }
            if outage.changed().await.is_err() {
                // The worker has ended, so no outage will be reported any more.
                return std::future::pending().await;
            }
        }
    }
}

/// Returns the failure of a request whose claim cannot be recorded.
fn unavailable_failure(delay: Duration) -> Failure {
    Failure::not_run(Reason::StoreUnavailable).with_retry_after(delay)
}
