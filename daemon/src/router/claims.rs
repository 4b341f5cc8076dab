//! The claims duty: the router's only writer of claims in the key-value service.
//!
//! It owns the lease that claims are written under, the batches of claims that wait together, and
//! the breaker that tells whether the service is down. Which call comes next for one request is
//! decided by the request's own [`tamarackdale_core::claim::Machine`].

pub mod call;
mod duty;
mod lease;

pub use call::{Call, Outcome};

use {
    self::{call::Command, duty::Claiming},
    crate::{clock::Clock, signal::Shutdown, worker::Worker},
    std::{io, time::Duration},
    tamarackdale_core::failure::{Failure, Reason},
    tamarackdale_store::kv,
    tokio::sync::{mpsc, oneshot, watch},
};

/// Calls that wait for the duty.
const CAPACITY: usize = 4096;

/// Bound on one call of the key-value service. A claim makes a few calls at most, one after
/// another, while its attempt holds a slot of the backend server.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sending end of the duty.
#[derive(Clone)]
pub struct Claims {
    commands: mpsc::Sender<Command>,
    outage: watch::Receiver<Option<Duration>>,
}

impl Claims {
    /// Starts the duty.
    ///
    /// Fails when the thread cannot be started.
    pub fn spawn(store: &str, clock: Clock, shutdown: &Shutdown) -> io::Result<(Worker, Self)> {
        let (commands, receiver) = mpsc::channel(CAPACITY);
        let (outage_sender, outage) = watch::channel(None);
        let store = kv::Client::new(store).with_timeout(CALL_TIMEOUT);
        let cutting = shutdown.aborting.clone();
        let duty = Worker::spawn_async("claims", async move {
            tokio::select! {
                () = Claiming::new(store, clock, receiver, outage_sender).run() => {}
                () = cutting.cancelled() => {}
            }
        })?;
        Ok((duty, Self { commands, outage }))
    }

    /// Makes one call for the claim under `key`.
    ///
    /// Fails as not run when the service is known to be down or the duty takes no more calls; the
    /// call has had no effect then.
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
        // A duty that ends without a reply may have made the call.
        Ok(outcome.await.unwrap_or(Outcome::Lost))
    }

    /// Refuses at once while the service is known to be down.
    pub fn check(&self) -> Result<(), Failure> {
        match *self.outage.borrow() {
            Some(delay) => Err(unavailable(delay)),
            None => Ok(()),
        }
    }

    /// Waits until the service is known to be down.
    pub async fn unavailable(&self) -> Failure {
        let mut outage = self.outage.clone();
        loop {
            if let Some(delay) = *outage.borrow_and_update() {
                return unavailable(delay);
            }
            if outage.changed().await.is_err() {
                // The duty has ended, so nothing is learnt any more.
                return std::future::pending().await;
            }
        }
    }
}

/// The refusal of a request whose claim cannot be recorded.
fn unavailable(delay: Duration) -> Failure {
    Failure::not_run(Reason::StoreUnavailable).with_retry_after(delay)
}
