//! The dispatch duty: decides which attempt runs when.
//!
//! It owns the table of attempts, the queue, the adaptive limit and the shed floor, and is the
//! only one to change them.

pub mod command;
mod evictions;
pub mod ledger;
mod seen;

pub use command::{Command, Offer, Progress};

use {
    self::{evictions::Evictions, ledger::Ledger, seen::Seen},
    super::task::{Handle, Message},
    crate::{metrics::Metrics, uptime::Clock},
    crossbeam_channel::{Receiver, RecvTimeoutError},
    std::{collections::HashMap, time::Duration},
    tamarackdale_core::{
        attempt::{Resumption, Table},
        batch::{self, Limit},
        document::Revision,
        failure::{Failure, Reason},
        floor::{self, Floor},
        id::{Attempt, Boot, Incarnation},
        prefix::History,
        queue::{self, Entry, Queue},
        report::Report,
        tier::Rank,
        time::Timestamp,
        verdict::Verdict,
    },
    tokio::sync::watch,
};

/// Longest time between two looks at deadlines and timeouts.
const TICK: Duration = Duration::from_millis(10);

/// Number of the only backend server in the history of prefixes.
const BACKEND_SERVER: usize = 0;

/// Time that a router has to grant an attempt that is ready, before its slot goes to another.
const OFFER_TIMEOUT: Duration = Duration::from_secs(5);

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
pub struct Dispatch {
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
    ledger: Ledger,
    prefixes: History,
    evictions: Evictions,
    tasks: HashMap<Attempt, Handle>,
    seen: Seen,
}

impl Dispatch {
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
            ledger: Ledger::default(),
            prefixes: History::default(),
            evictions: Evictions::default(),
            tasks: HashMap::new(),
            seen: Seen::default(),
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

    fn enqueue(&mut self, offer: Offer, task: Handle) -> Result<(), Failure> {
        let now = self.clock.now();
        if self.closed {
            return Err(Failure::not_run(Reason::Closing));
        }
        if offer.revision < (self.revision)() {
            return Err(Failure::not_run(Reason::StaleRevision));
        }
        self.floor.merge(offer.floor, now);
        self.table.enqueue(offer.attempt, offer.boot, now)?;
        self.seen.add(offer.attempt, now);
        let attempt = offer.attempt;
        let entry = offer.into_entry(now);
        if let Err(failure) = self.push(entry, now) {
            // An attempt that was just enqueued is not dispatched, so that it can be voided.
            let _ = self.table.void(attempt, now);
            return Err(failure);
        }
        self.tasks.insert(attempt, task);
        Ok(())
    }

    /// Queues an entry, shedding what has to go for it in the order of urgency.
    fn push(&mut self, entry: Entry, now: Timestamp) -> Result<(), Failure> {
        self.apply_floor(now);
        self.check_feasible(&entry, now)?;
        let rank = entry.rank;
        let pushed = match self.queue.push(entry.clone(), now) {
            Err(failure) if failure.reason == Reason::Overload => {
                // The entry is about to be shed: nothing less urgent may be served any more.
                self.floor.raise(rank, now);
                self.apply_floor(now);
                self.queue.push(entry, now)
            }
            pushed => pushed,
        };
        for evicted in pushed? {
            self.floor.raise(evicted.rank, now);
            self.shed(&evicted, now);
        }
        self.apply_floor(now);
        Ok(())
    }

    /// Refuses at once what would miss its deadline behind the prompts that are before it, so that
    /// its router can move it: the report by which it was chosen may be old.
    fn check_feasible(&self, entry: &Entry, now: Timestamp) -> Result<(), Failure> {
        let above = self.queue.work();
        let above = above.iter().take(usize::from(entry.rank.0));
        let prefill_tokens = above
            .map(|work| work.prefill_tokens)
            .fold(self.ledger.unprefilled_tokens(), u32::saturating_add);
        let wait = self.limit.rates(now).service_time(prefill_tokens, 0);
        let is_checked = self.settings.queue.order == queue::Order::Tiers;
        if !is_checked || !entry.is_hopeless(now.plus(wait), self.limit.rates(now)) {
            return Ok(());
        }
        Err(Failure::not_run(Reason::Infeasible).with_retry_after(wait))
    }

    fn grant(&mut self, attempt: Attempt, boot: Boot) -> Result<(), Failure> {
        let now = self.clock.now();
        let Some(handle) = self.tasks.get(&attempt).cloned() else {
            self.table.grant(attempt, boot, now)?;
            // A granted attempt without a task cannot start, so nothing is sent for it.
            self.table.abort(attempt, now);
            return Err(Failure::not_run(Reason::Void));
        };
        let rank = self.ledger.offered_rank(attempt);
        if let Some(rank) = rank
            && !self.floor.serves(rank, now)
        {
            let failure = self.overload(rank);
            self.void(attempt, failure, now);
            return Err(failure);
        }
        let Ok(permit) = handle.messages.try_reserve() else {
            let failure = Failure::not_run(Reason::Full);
            self.void(attempt, failure, now);
            return Err(failure);
        };
        self.table.grant(attempt, boot, now)?;
        let wait = self.ledger.start(attempt, &mut self.prefixes, now);
        let wait = wait.unwrap_or_default();
        self.metrics.record_grant_wait(wait, handle.needs_claim);
        self.limit.started(now);
        permit.send(Message::Start);
        log::info!(
            attempt:% = attempt,
            rank = rank.map_or(0, |rank| rank.0),
            running = self.limit.running(),
            limit = self.limit.current(),
            grant_wait_us = wait.as_micros() as u64,
            needs_claim = handle.needs_claim;
            "dispatched"
        );
        Ok(())
    }

    fn resume(&mut self, attempt: Attempt, boot: Boot) -> Result<Handle, Failure> {
        let now = self.clock.now();
        match self.table.resume(attempt, boot, now) {
            Resumption::Voided => {
                let failure = Failure::not_run(Reason::Void);
                self.forget_queued(attempt);
                self.notify(attempt, Message::Fail(failure));
                Err(failure)
            }
            Resumption::Running | Resumption::Finished => self
                .tasks
                .get(&attempt)
                .cloned()
                .ok_or(Failure::may_have_run(Reason::ConnectionLost)),
            Resumption::Unknown(failure) => Err(failure),
        }
    }

    fn cancel(&mut self, attempt: Attempt) {
        let now = self.clock.now();
        match self.table.void(attempt, now) {
            Ok(()) => {
                self.forget_queued(attempt);
                self.notify(attempt, Message::Fail(Failure::not_run(Reason::Cancelled)));
            }
            Err(_) => self.notify(attempt, Message::Cancel),
        }
    }

    fn acknowledge(&mut self, attempt: Attempt, offset: u64, complete: bool) {
        if complete {
            self.table.acknowledge(attempt, self.clock.now());
        }
        self.notify(attempt, Message::Acknowledge { offset, complete });
    }

    fn progressed(&mut self, progress: &Progress) {
        let now = self.clock.now();
        let Some(run) = self.ledger.progress(progress.attempt, progress.tokens) else {
            return;
        };
        if progress.first {
            self.metrics.record_first_token(progress.elapsed);
            self.limit
                .first_token(run.prefill_tokens, progress.elapsed, now);
            return;
        }
        self.metrics.record_token_gap(progress.elapsed);
        self.limit.token_gap(progress.tokens, progress.elapsed, now);
    }

    fn finished(&mut self, attempt: Attempt, verdict: Verdict) {
        let now = self.clock.now();
        let Some(run) = self.ledger.finish(attempt) else {
            return;
        };
        match verdict {
            Verdict::Ran => {}
            Verdict::MayHaveRun => self.metrics.count_wasted_prefill(run.prefill_tokens),
            Verdict::NotRun => {
                self.table.abort(attempt, now);
            }
        }
        self.table.finish(attempt, now);
        self.limit.finished(now);
    }

    /// Does all that has become due.
    fn advance(&mut self) {
        let now = self.clock.now();
        if (self.is_leaving)() {
            self.close(now);
        }
        self.apply_floor(now);
        for attempt in self.ledger.overdue(now, OFFER_TIMEOUT) {
            self.void(attempt, Failure::not_run(Reason::Void), now);
        }
        self.offer_next(now);
        self.expire(now);
        for attempt in self.table.sweep(now) {
            self.tasks.remove(&attempt);
        }
        self.publish(now);
    }

    /// Asks for grants while the backend server has room.
    fn offer_next(&mut self, now: Timestamp) {
        let rates = self.limit.rates(now);
        while let Some(rank) = self.queue.peek().map(|entry| entry.rank) {
            let taken = self.limit.running() + self.ledger.offered();
            let unprefilled = self.ledger.unprefilled_tokens();
            if taken >= self.limit.limit_for(rank) || !self.limit.has_prefill_room(unprefilled, now)
            {
                return;
            }
            let Some(entry) = self.queue.pop(now, rates) else {
                return;
            };
            if !self.table.offer(entry.attempt) {
                continue;
            }
            let attempt = entry.attempt;
            self.ledger.offer(entry, now);
            self.notify(attempt, Message::Ready);
        }
    }

    /// Answers what can no longer meet its deadline, also what was passed over just now.
    fn expire(&mut self, now: Timestamp) {
        let rates = self.limit.rates(now);
        for (entry, failure) in self.queue.expire(now, rates) {
            log::info!(
                attempt:% = entry.attempt,
                organisation = entry.organisation.as_str(),
                rank = entry.rank.0;
                "given up"
            );
            self.void(entry.attempt, failure, now);
        }
    }

    /// Hands back all that waits, once. A sidecar that has been leaving takes new work only after
    /// a restart, as its routers expect of it.
    fn close(&mut self, now: Timestamp) {
        if self.closed {
            return;
        }
        self.closed = true;
        let waiting = self.queue.drain();
        let attempts = waiting
            .into_iter()
            .map(|entry| entry.attempt)
            .chain(self.ledger.offered_attempts());
        for attempt in attempts.collect::<Vec<_>>() {
            self.void(attempt, Failure::not_run(Reason::Closing), now);
        }
    }

    /// Brings the queue's floor in line with the service's.
    fn apply_floor(&mut self, now: Timestamp) {
        let rank = self.floor.current(now);
        self.queue.lower_floor(rank);
        for entry in self.queue.raise_floor(rank) {
            self.floor.raise(entry.rank, now);
            self.shed(&entry, now);
        }
    }

    fn shed(&mut self, entry: &Entry, now: Timestamp) {
        log::info!(
            attempt:% = entry.attempt,
            organisation = entry.organisation.as_str(),
            rank = entry.rank.0,
            floor = self.floor.current(now).0;
            "shed"
        );
        let failure = self.overload(entry.rank);
        self.void(entry.attempt, failure, now);
    }

    fn overload(&self, rank: Rank) -> Failure {
        Failure::not_run(Reason::Overload).with_retry_after(self.queue.retry_after(rank))
    }

    fn void(&mut self, attempt: Attempt, failure: Failure, now: Timestamp) {
        if self.table.void(attempt, now).is_ok() {
            self.forget_queued(attempt);
            self.notify(attempt, Message::Fail(failure));
        }
    }

    fn forget_queued(&mut self, attempt: Attempt) {
        self.queue.remove(attempt);
        self.ledger.withdraw(attempt);
    }

    /// Tells a task; one that is over, or whose reader floods it, finds out by asking.
    fn notify(&self, attempt: Attempt, message: Message) {
        if let Some(handle) = self.tasks.get(&attempt) {
            let _ = handle.messages.try_send(message);
        }
    }

    fn publish(&mut self, now: Timestamp) {
        let report = Report {
            incarnation: self.settings.incarnation.clone(),
            service: self.settings.service.clone(),
            leaving: self.closed,
            revision: (self.revision)().0,
            floor: self.floor.notice(now),
            limit: self.limit.current(),
            running: self.limit.running(),
            running_tokens: self.ledger.running_tokens(),
            unprefilled_tokens: self.ledger.unprefilled_tokens(),
            waiting: self.queue.work(),
            rates: self.limit.rates(now),
            evicted_prefixes: self.evictions.recent(now),
            seen: self.seen.recent(now),
        };
        let modified = self.report.send_if_modified(|published| {
            let changed = *published != report;
            *published = report;
            changed
        });
        if modified {
            let report = self.report.borrow();
            self.metrics
                .set_load(report.running, report.limit, &report.waiting);
        }
    }
}
