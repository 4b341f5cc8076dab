//! The duty's state and loop.

use {
    super::{
        call::{Call, Command, Outcome},
        lease::Keeper,
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

/// Calls under way at once; further ones wait in the ring.
const MAX_CALLS: usize = 64;

/// Batches under way at once; claims that come meanwhile form the next one.
const MAX_BATCHES: usize = 2;

/// Time between two looks at the lease and at the service's return.
const TICK: Duration = Duration::from_millis(100);

/// Key that probes read.
const PROBE_KEY: &str = "tamarackdale/claims";

/// A claim that waits for its batch.
struct Waiting {
    creation: kv::Creation,
    reply: oneshot::Sender<Outcome>,
}

/// A call that has ended.
enum Ended {
    Batch(
        Vec<oneshot::Sender<Outcome>>,
        Result<Vec<kv::Swap>, kv::Error>,
    ),
    Single(oneshot::Sender<Outcome>, Result<Outcome, kv::Error>),
    Lease(Result<kv::Lease, kv::Error>),
    Probe(Result<(), kv::Error>),
}

/// State of the claims duty.
pub(super) struct Claiming {
    store: kv::Client,
    clock: Clock,
    commands: mpsc::Receiver<Command>,
    outage: watch::Sender<Option<Duration>>,
    breaker: Breaker,
    lease: Keeper,
    waiting: Vec<Waiting>,
    batches: usize,
    calls: JoinSet<Ended>,
}

impl Claiming {
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
            lease: Keeper::default(),
            waiting: Vec::new(),
            batches: 0,
            calls: JoinSet::new(),
        }
    }

    /// Runs until all senders of commands are gone.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = self.commands.recv(), if self.calls.len() < MAX_CALLS => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                Some(ended) = self.calls.join_next() => match ended {
                    Ok(ended) => self.finish(ended),
                    Err(error) => log::error!("a call of the claims duty panicked: {error}"),
                },
                _ = ticks.tick() => self.tick(),
            }
            // Claims that are already here go into the same batch.
            while self.calls.len() < MAX_CALLS
                && let Ok(command) = self.commands.try_recv()
            {
                self.take(command);
            }
            self.write_waiting();
        }
    }

    fn take(&mut self, command: Command) {
        if self.breaker.is_open() {
            return answer(command.reply, Outcome::Down);
        }
        let Command { key, call, reply } = command;
        match call {
            Call::Create(value) => self.waiting.push(Waiting {
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
            Ended::Single(reply, read)
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
            self.ask_for_lease();
            return answer(reply, Outcome::Lost);
        };
        let store = self.store.clone();
        self.calls.spawn(async move {
            let swapped = store.swap(&key, &value, revision, Some(&lease)).await;
            Ended::Single(reply, swapped.map(Outcome::from))
        });
    }

    /// Sends the claims that wait, as far as batches may be under way.
    fn write_waiting(&mut self) {
        self.waiting.retain(|waiting| !waiting.reply.is_closed());
        while !self.waiting.is_empty() && self.batches < MAX_BATCHES {
            let Some(lease) = self.lease.current(self.clock.now()) else {
                return self.ask_for_lease();
            };
            let (creations, replies) = self.next_batch();
            let store = self.store.clone();
            self.batches += 1;
            self.calls.spawn(async move {
                let swaps = store.create_all(&creations, Some(&lease)).await;
                Ended::Batch(replies, swaps)
            });
        }
    }

    /// Takes the oldest claims with different keys out of those that wait.
    fn next_batch(&mut self) -> (Vec<kv::Creation>, Vec<oneshot::Sender<Outcome>>) {
        let mut keys = HashSet::new();
        let (batch, left) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| {
                keys.len() < kv::MAX_BATCH && keys.insert(waiting.creation.key.clone())
            });
        self.waiting = left;
        let batch: Vec<Waiting> = batch;
        batch
            .into_iter()
            .map(|waiting| (waiting.creation, waiting.reply))
            .unzip()
    }

    fn ask_for_lease(&mut self) {
        if self.breaker.is_open() || !self.lease.ask(self.clock.now()) {
            return;
        }
        let store = self.store.clone();
        self.calls
            .spawn(async move { Ended::Lease(store.grant(tamarackdale_core::claim::LEASE).await) });
    }

    fn finish(&mut self, ended: Ended) {
        match ended {
            Ended::Batch(replies, swaps) => {
                self.batches -= 1;
                self.judge(&swaps);
                let outcomes = swaps.unwrap_or_default().into_iter().map(Outcome::from);
                let outcomes = outcomes.chain(std::iter::repeat(Outcome::Lost));
                for (reply, outcome) in replies.into_iter().zip(outcomes) {
                    answer(reply, outcome);
                }
            }
            Ended::Single(reply, outcome) => {
                self.judge(&outcome);
                answer(reply, outcome.unwrap_or(Outcome::Lost));
            }
            Ended::Lease(granted) => {
                self.judge(&granted);
                match granted {
                    Ok(lease) => self.lease.granted(lease),
                    Err(_) => self.lease_failed(),
                }
            }
            Ended::Probe(probed) => self.judge(&probed),
        }
    }

    fn lease_failed(&mut self) {
        self.lease.failed();
        for waiting in self.waiting.drain(..) {
            answer(waiting.reply, Outcome::Lost);
        }
    }

    /// Learns from a call whether the service is down.
    fn judge<T>(&mut self, result: &Result<T, kv::Error>) {
        let was_open = self.breaker.is_open();
        match result {
            Ok(_) => self.breaker.succeed(),
            Err(error @ kv::Error::Rejected(_)) => {
                log::warn!("claim call refused: {error}");
                self.lease.discard();
                self.breaker.succeed();
            }
            Err(error) => {
                log::warn!("claim call failed: {error}");
                self.breaker.fail(self.clock.now());
            }
        }
        if was_open != self.breaker.is_open() {
            self.announce();
        }
    }

    /// Tells everybody that the service is down or has come back.
    fn announce(&mut self) {
        let outage = self.breaker.check(self.clock.now()).err();
        log::warn!(down = outage.is_some(); "key-value service for claims");
        self.outage.send_replace(outage);
        if outage.is_some() {
            for waiting in self.waiting.drain(..) {
                answer(waiting.reply, Outcome::Down);
            }
        }
    }

    fn tick(&mut self) {
        self.ask_for_lease();
        if self.breaker.probe(self.clock.now()) {
            let store = self.store.clone();
            self.calls
                .spawn(async move { Ended::Probe(store.get(PROBE_KEY).await.map(|_| ())) });
        }
    }
}

/// Answers a request, which may have ended in the meantime.
fn answer(reply: oneshot::Sender<Outcome>, outcome: Outcome) {
    let _ = reply.send(outcome);
}
