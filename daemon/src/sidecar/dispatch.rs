//! The dispatch duty: decides which attempt runs when.
//!
//! It owns the table of attempts, the queue, the adaptive limit and the shed floor, and is the
//! only one to change them.

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
        batch::{self, Limit},
        document::Revision,
        floor::{self, Floor},
        id::{Attempt, Incarnation},
        prefix::History,
        queue::{self, Queue},
        report::Report,
    },
    tokio::sync::watch,
};

/// Longest time between two looks at deadlines and timeouts.
const TICK: Duration = Duration::from_millis(10);

/// Number of the only backend server in the history of prefixes.
const BACKEND_SERVER: usize = 0;

/// Settings of the duty.
pub struct Settings {
    /// This sidecar.
    pub incarnation: Incarnation,
    /// Service of the backend server.
    pub service: String,
    /// Bounds of the queue.
    pub queue: queue::Settings,
    /// Bounds of the adaptive limit.
    pub batch: batch::Settings,
    /// Holding time of the shed floor.
    pub floor: floor::Settings,
}

/// State of the duty.
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
    limit: Limit,
    floor: Floor,
    in_flight: InFlight,
    prefixes: History,
    evictions: Evictions,
    tasks: HashMap<Attempt, Handle>,
    latest_attempts: LatestAttempts,
}

impl Dispatcher {
    /// An idle duty that takes commands from a ring and publishes reports; `revision` gives the
    /// revision of the document in force, and `is_leaving` whether no new work is to be taken.
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
            limit: Limit::new(settings.batch),
            floor: Floor::new(settings.floor),
            in_flight: InFlight::default(),
            prefixes: History::default(),
            evictions: Evictions::default(),
            tasks: HashMap::new(),
            latest_attempts: LatestAttempts::default(),
            settings,
        }
    }

    /// Runs until all senders of commands are gone.
    pub fn run(mut self) {
        loop {
            match self.commands.recv_timeout(TICK) {
                Ok(command) => self.take(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(command) = self.commands.try_recv() {
                self.take(command);
            }
            self.advance();
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Enqueue { offer, task, reply } => {
                let result = self.enqueue(*offer, task);
                // A router that has gone offers no more.
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
                self.prefixes.evicted(prefix, BACKEND_SERVER);
                self.evictions.add(prefix, self.clock.now());
            }
            Command::Progressed(progress) => self.progressed(&progress),
            Command::Finished { attempt, verdict } => self.finished(attempt, verdict),
        }
    }
}
