//! The dispatch worker, which decides when each attempt runs.
//!
//! It owns the table of attempts, the queue, the adaptive concurrency limit and the shed floor; no
//! other worker changes them.

mod admission;
pub mod command;
mod evictions;
mod execution;
pub mod in_flight;
mod latest_attempts;
mod schedule;

pub use command::{Command, Offer, Progress};

use {
    self::{evictions::Evictions, in_flight::InFlight, latest_attempts::LatestAttempts},
    super::task::Handle,
    crate::{clock::Clock, metrics::Metrics},
    crossbeam_channel::{Receiver, RecvTimeoutError},
    std::{collections::HashMap, time::Duration},
    tamarackdale_core::{
        attempt::Table,
        batch_limit::{self, BatchLimit},
        document::Revision,
        floor::{self, Floor},
        id::{Attempt, Incarnation},
        poison::Detector,
        prefix_history::PrefixHistory,
        queue::{self, Queue},
        report::Report,
    },
    tokio::sync::watch,
};

/// Longest time between two checks of deadlines and timeouts.
const TICK: Duration = Duration::from_millis(10);

/// Index of the sidecar's only backend server in the prefix history.
const BACKEND_SERVER: usize = 0;

/// Settings of the dispatch worker.
pub struct Settings {
    /// Identity of this sidecar.
    pub incarnation: Incarnation,
    /// Service of the backend server.
    pub service: String,
    /// Order and capacity of the queue.
    pub queue: queue::Settings,
    /// Settings of the concurrency limit.
    pub batch: batch_limit::Settings,
    /// Settings of the shed floor.
    pub floor: floor::Settings,
}

/// State of the dispatch worker.
pub struct Dispatcher {
    settings: Settings,
    clock: Clock,
    commands: Receiver<Command>,
    report: watch::Sender<Report>,
    revision: Box<dyn Fn() -> Revision + Send>,
    metrics: Metrics,
    is_leaving: Box<dyn Fn() -> bool + Send>,
    closed: bool,
    table: Table,
    queue: Queue,
    limit: BatchLimit,
    floor: Floor,
    in_flight: InFlight,
    prefixes: PrefixHistory,
    evictions: Evictions,
    tasks: HashMap<Attempt, Handle>,
    latest_attempts: LatestAttempts,
    /// What routers are told of requests that crash backend servers. They judge; nothing is refused here.
    poison: Detector,
}

impl Dispatcher {
    /// Creates an idle dispatcher that receives commands and publishes reports.
    ///
    /// `revision` returns the revision of the document in force, and `is_leaving` whether the
    /// sidecar is to accept no new work.
    pub fn new(
        settings: Settings,
        clock: Clock,
        commands: Receiver<Command>,
        report: watch::Sender<Report>,
        revision: impl Fn() -> Revision + Send + 'static,
        metrics: Metrics,
        is_leaving: impl Fn() -> bool + Send + 'static,
    ) -> Self {
        Self {
            clock,
            commands,
            report,
            revision: Box::new(revision),
            metrics,
            is_leaving: Box::new(is_leaving),
            closed: false,
            table: Table::new(settings.incarnation.boot),
            queue: Queue::new(settings.queue),
            limit: BatchLimit::new(settings.batch),
            floor: Floor::new(settings.floor),
            in_flight: InFlight::default(),
            prefixes: PrefixHistory::default(),
            evictions: Evictions::default(),
            tasks: HashMap::new(),
            latest_attempts: LatestAttempts::default(),
            poison: Detector::new(),
            settings,
        }
    }

    /// Runs until all senders of commands have been dropped.
    pub fn run(mut self) {
        loop {
            match self.commands.recv_timeout(TICK) {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(command) = self.commands.try_recv() {
                self.handle(command);
            }
            self.advance();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Enqueue { offer, task, reply } => {
                let result = self.enqueue(*offer, task);
                // The handler's router may have disconnected; then nobody needs the reply.
                let _ = reply.send(result);
            }
            Command::Grant {
                attempt,
                boot,
                reply,
            } => {
                let result = self.grant(attempt, boot);
                let _ = reply.send(result);
            }
            Command::Resume {
                attempt,
                boot,
                reply,
            } => {
                let result = self.resume(attempt, boot);
                let _ = reply.send(result);
            }
            Command::Cancel { attempt } => self.cancel(attempt),
            Command::Acknowledge {
                attempt,
                offset,
                complete,
            } => self.acknowledge(attempt, offset, complete),
            Command::Floor(notice) => {
                let now = self.clock.now();
                self.floor.merge(notice, now);
                self.apply_floor(now);
            }
            Command::Evicted(prefix) => {
                self.prefixes.record_eviction(prefix, BACKEND_SERVER);
                self.evictions.record(prefix, self.clock.now());
            }
            Command::LostAtCrash { request_digest } => self.record_crash(request_digest),
            Command::Notices(notices) => {
                let now = self.clock.now();
                for notice in &notices {
                    self.poison.relay(notice, now);
                }
            }
            Command::Progressed(progress) => self.on_progress(&progress),
            Command::Finished { attempt, verdict } => self.on_finished(attempt, verdict),
        }
    }
}
