//! State and event loop of the claims worker.

use {
    super::{
        call::{Call, Command, Outcome},
        lease::LeaseManager,
    },
    crate::clock::Clock,
    std::{collections::HashSet, time::Duration},
    tamarackdale_core::breaker::Breaker,
    tamarackdale_store::kv,
    tokio::{
        sync::{mpsc, oneshot, watch},
        task::JoinSet,
        time::{MissedTickBehavior, interval},
    },
};

/// Target of this module's log lines; part of the log format, so it does not follow the file name.
const LOG_TARGET: &str = "tamarackdaled::router::claims::duty";

/// Maximum number of concurrent calls; further commands wait in the queue.
const MAX_CALLS: usize = 64;

/// Maximum number of concurrent batches; claims that arrive meanwhile form the next batch.
const MAX_BATCHES: usize = 2;

/// Interval at which the lease and, during an outage, the store are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Key read by the probe that checks whether the store is up again.
const PROBE_KEY: &str = "tamarackdale/claims";

/// A claim that has not been assigned to a batch yet.
struct PendingClaim {
    creation: kv::Creation,
    reply: oneshot::Sender<Outcome>,
}

/// Result of a finished call.
enum Completion {
    Batch(
        Vec<oneshot::Sender<Outcome>>,
        Result<Vec<kv::Swap>, kv::Error>,
    ),
    Single(oneshot::Sender<Outcome>, Result<Outcome, kv::Error>),
    Lease(Result<kv::Lease, kv::Error>),
    Probe(Result<(), kv::Error>),
}

/// State of the claims worker.
pub(super) struct ClaimsWorker {
    store: kv::Client,
    clock: Clock,
    commands: mpsc::Receiver<Command>,
    outage: watch::Sender<Option<Duration>>,
    breaker: Breaker,
    lease: LeaseManager,
    pending: Vec<PendingClaim>,
    batches: usize,
    calls: JoinSet<Completion>,
}

impl ClaimsWorker {
    pub fn new(
        store: kv::Client,
        clock: Clock,
        commands: mpsc::Receiver<Command>,
        outage: watch::Sender<Option<Duration>>,
    ) -> Self {
        Self {
            store,
            clock,
            commands,
            outage,
            breaker: Breaker::new(),
            lease: LeaseManager::default(),
            pending: Vec::new(),
            batches: 0,
            calls: JoinSet::new(),
        }
    }

    /// Runs until all command senders are gone.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = self.commands.recv(), if self.calls.len() < MAX_CALLS => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(ended) => self.finish(ended),
                    Err(error) => {
                        log::error!(
                            target: LOG_TARGET,
                            "call of the claims worker panicked: {error}"
                        );
                    }
                },
                _ = ticks.tick() => self.tick(),
            }
            // Claims that are already queued go into the same batch.
            while self.calls.len() < MAX_CALLS
                && let Ok(command) = self.commands.try_recv()
            {
                self.handle(command);
            }
            self.write_pending();
        }
    }

    fn handle(&mut self, command: Command) {
        if self.breaker.is_open() {
            return send_outcome(command.reply, Outcome::Down);
        }
        let Command { key, call, reply } = command;
        match call {
            Call::Create(value) => self.pending.push(PendingClaim {
                creation: kv::Creation { key, value },
                reply,
            }),
            Call::Replace { value, revision } => self.replace(key, value, revision, reply),
            Call::Read => self.read(key, reply),
        }
    }

    fn read(&mut self, key: String, reply: oneshot::Sender<Outcome>) {
        let store = self.store.clone();
        self.calls.spawn(async move {
            let read = store.get(&key).await.map(Outcome::Read);
            Completion::Single(reply, read)
        });
    }

    fn replace(
        &mut self,
        key: String,
        value: Vec<u8>,
        revision: i64,
        reply: oneshot::Sender<Outcome>,
    ) {
        let Some(lease) = self.lease.current(self.clock.now()) else {
            self.request_lease();
            return send_outcome(reply, Outcome::Unknown);
        };
        let store = self.store.clone();
        self.calls.spawn(async move {
            let swapped = store.swap(&key, &value, revision, Some(&lease)).await;
            Completion::Single(reply, swapped.map(Outcome::from))
        });
    }

    /// Writes pending claims in batches, up to the limit of concurrent batches.
    fn write_pending(&mut self) {
        self.pending.retain(|claim| !claim.reply.is_closed());
        while !self.pending.is_empty() && self.batches < MAX_BATCHES {
            let Some(lease) = self.lease.current(self.clock.now()) else {
                return self.request_lease();
            };
            let (creations, replies) = self.next_batch();
            let store = self.store.clone();
            self.batches += 1;
            self.calls.spawn(async move {
                let swaps = store.create_all(&creations, Some(&lease)).await;
                Completion::Batch(replies, swaps)
            });
        }
    }

    /// Removes the oldest pending claims that have distinct keys.
    fn next_batch(&mut self) -> (Vec<kv::Creation>, Vec<oneshot::Sender<Outcome>>) {
        let mut keys = HashSet::new();
        let (batch, left) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|claim| {
                keys.len() < kv::MAX_BATCH && keys.insert(claim.creation.key.clone())
            });
        self.pending = left;
        let batch: Vec<PendingClaim> = batch;
        batch
            .into_iter()
            .map(|claim| (claim.creation, claim.reply))
            .unzip()
    }

    fn request_lease(&mut self) {
        if self.breaker.is_open() || !self.lease.start_request(self.clock.now()) {
            return;
        }
        let store = self.store.clone();
        self.calls.spawn(async move {
            Completion::Lease(store.grant(tamarackdale_core::claim::LEASE).await)
        });
    }

    fn finish(&mut self, ended: Completion) {
        match ended {
            Completion::Batch(replies, swaps) => {
                self.batches -= 1;
                self.record_result(&swaps);
                let outcomes = swaps.unwrap_or_default().into_iter().map(Outcome::from);
                let outcomes = outcomes.chain(std::iter::repeat(Outcome::Unknown));
                for (reply, outcome) in replies.into_iter().zip(outcomes) {
                    send_outcome(reply, outcome);
                }
            }
            Completion::Single(reply, outcome) => {
                self.record_result(&outcome);
                send_outcome(reply, outcome.unwrap_or(Outcome::Unknown));
            }
            Completion::Lease(granted) => {
                self.record_result(&granted);
                match granted {
                    Ok(lease) => self.lease.granted(lease),
                    Err(_) => self.lease_failed(),
                }
            }
            Completion::Probe(probed) => self.record_result(&probed),
        }
    }

    fn lease_failed(&mut self) {
        self.lease.failed();
        for claim in self.pending.drain(..) {
            send_outcome(claim.reply, Outcome::Unknown);
        }
    }

    /// Updates the circuit breaker with the result of a call.
    fn record_result<T>(&mut self, result: &Result<T, kv::Error>) {
        let was_open = self.breaker.is_open();
        match result {
            Ok(_) => self.breaker.record_success(),
            Err(error @ kv::Error::Rejected(_)) => {
                log::warn!(target: LOG_TARGET, "key-value store rejected a claim call: {error}");
                self.lease.discard();
                self.breaker.record_success();
            }
            Err(error) => {
                log::warn!(target: LOG_TARGET, "claim call to the key-value store failed: {error}");
                self.breaker.record_failure(self.clock.now());
            }
        }
        if was_open != self.breaker.is_open() {
            self.publish_outage();
        }
    }

    /// Publishes that the store went down or is up again, and ends the pending claims if it is
    /// down.
    fn publish_outage(&mut self) {
        let outage = self.breaker.check(self.clock.now()).err();
        log::warn!(
            target: LOG_TARGET,
            down = outage.is_some();
            "availability of the key-value store for claims changed"
        );
        self.outage.send_replace(outage);
        if outage.is_some() {
            for claim in self.pending.drain(..) {
                send_outcome(claim.reply, Outcome::Down);
            }
        }
    }

    fn tick(&mut self) {
        self.request_lease();
        if self.breaker.start_probe(self.clock.now()) {
            let store = self.store.clone();
            self.calls
                .spawn(async move { Completion::Probe(store.get(PROBE_KEY).await.map(|_| ())) });
        }
    }
}

/// Sends an outcome to the request, which may have ended in the meantime.
fn send_outcome(reply: oneshot::Sender<Outcome>, outcome: Outcome) {
    let _ = reply.send(outcome);
}
