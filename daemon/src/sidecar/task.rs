//! One attempt: its request, its exchange with the backend server, its answer and its readers.

pub mod message;

pub use message::{Message, Portion, Read};

use {
    super::{
        backend_server::BackendServer,
        dispatch::{Command, Progress},
        exchange::{Exchange, event::Event},
        response_buffer::{ResponseBuffer, Unreadable},
    },
    crate::{channel::BoundedSender, clock::Clock},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        id,
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_wire::message::Enqueue,
    tokio::{
        sync::{Semaphore, mpsc},
        time::{MissedTickBehavior, interval},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Messages that wait for one task.
const MAILBOX_CAPACITY: usize = 64;

/// Events of the backend server that wait for one task.
const EVENT_CAPACITY: usize = 16;

const TICK: Duration = Duration::from_millis(500);

/// Time that a router without a connection has to come back before its waiting work is dropped.
const WAITING_DETACH_LIMIT: Duration = Duration::from_secs(3);

/// Time that the failure of a void attempt is kept for its router.
const VOID_RETENTION: Duration = Duration::from_secs(2);

/// Time that an ended answer is kept for its router.
const RETENTION: Duration = Duration::from_secs(30);

/// Time that an ended answer is kept for retries of its caller.
const RETRY_RETENTION: Duration = Duration::from_secs(120);

/// What all tasks of a sidecar share.
#[derive(Clone)]
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// The backend server.
    pub backend_server: Arc<BackendServer>,
    /// Ring to the dispatch duty.
    pub dispatch: BoundedSender<Command>,
    /// Budget for kept answers, in bytes.
    pub budget: Arc<Semaphore>,
    /// Bytes that the whole budget holds.
    pub budget_bytes: usize,
    /// Time that a router without a connection has to come back before its running work is
    /// cancelled.
    pub router_absence_limit: Duration,
    /// Tracks the tasks so that they can be awaited.
    pub tracker: TaskTracker,
    /// Set when nothing is kept beyond what routers still fetch.
    pub closing: CancellationToken,
    /// Set when tasks must end at once.
    pub cutting: CancellationToken,
}

/// Sending end of a task's mailbox.
#[derive(Clone)]
pub struct Handle {
    /// The mailbox.
    pub messages: mpsc::Sender<Message>,
    /// Whether the router claims the request before it grants the attempt.
    pub needs_claim: bool,
    /// Counts the handles: each reader holds one for as long as it is connected.
    _presence: Arc<()>,
}

/// An attempt's task.
pub struct Task {
    context: Context,
    attempt: id::Attempt,
    order: Arc<Enqueue>,
    messages: mpsc::Receiver<Message>,
    presence: Arc<()>,
    answer: ResponseBuffer,
    parked: Vec<Read>,
    exchange: Option<Running>,
    started: bool,
    acknowledged: bool,
    last_present: Timestamp,
    ended_at: Option<Timestamp>,
}

struct Running {
    events: mpsc::Receiver<Event>,
    cancelled: CancellationToken,
    started_at: Timestamp,
    last_token_at: Option<Timestamp>,
}

/// Starts the task of an attempt.
pub fn spawn(context: &Context, order: Enqueue) -> Handle {
    let (sender, messages) = mpsc::channel(MAILBOX_CAPACITY);
    let presence = Arc::new(());
    let handle = Handle {
        messages: sender,
        // A claimed request's answer is what its caller can come back for.
        needs_claim: order.keep_answer,
        _presence: Arc::clone(&presence),
    };
    let task = Task {
        context: context.clone(),
        attempt: order.attempt.into(),
        order: Arc::new(order),
        messages,
        presence,
        answer: ResponseBuffer::new(),
        parked: Vec::new(),
        exchange: None,
        started: false,
        acknowledged: false,
        last_present: context.clock.now(),
        ended_at: None,
    };
    let cutting = context.cutting.clone();
    context.tracker.spawn(async move {
        tokio::select! {
            () = task.run() => {}
            () = cutting.cancelled() => {}
        }
    });
    handle
}

impl Task {
    async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.is_over() {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.take_message(message),
                    None => return,
                },
                event = next_event(&mut self.exchange) => self.take_event(event),
                _ = ticks.tick() => self.check_presence(),
            }
            self.serve_parked();
        }
    }

    fn is_over(&self) -> bool {
        let Some(ended_at) = self.ended_at else {
            return false;
        };
        let keep = self.order.keep_answer && !self.context.closing.is_cancelled();
        if !keep && self.acknowledged {
            return true;
        }
        let retention = match (self.started, keep) {
            (false, _) => VOID_RETENTION,
            (true, false) => RETENTION,
            (true, true) => RETRY_RETENTION,
        };
        self.context.clock.now().since(ended_at) > retention
    }

    fn take_message(&mut self, message: Message) {
        match message {
            Message::Ready => self.answer.set_ready(),
            Message::Start => self.start(),
            Message::Fail(failure) => self.fail(failure),
            Message::Cancel => self.cancel(),
            Message::Read(read) => self.parked.push(read),
            Message::Acknowledge { offset, complete } => self.acknowledge(offset, complete),
        }
    }

    fn start(&mut self) {
        let (sender, events) = mpsc::channel(EVENT_CAPACITY);
        let cancelled = CancellationToken::new();
        let exchange = Exchange {
            backend_server: Arc::clone(&self.context.backend_server),
            order: Arc::clone(&self.order),
            budget: Arc::clone(&self.context.budget),
            budget_bytes: self.context.budget_bytes,
            events: sender,
            cancelled: cancelled.clone(),
        };
        self.context.tracker.spawn(exchange.run());
        self.started = true;
        self.exchange = Some(Running {
            events,
            cancelled,
            started_at: self.context.clock.now(),
            last_token_at: None,
        });
    }

    fn take_event(&mut self, event: Option<Event>) {
        match event {
            Some(Event::Head { status, headers }) => self.answer.set_head(status, headers),
            Some(Event::Chunk { chunk, tokens }) => {
                self.answer.push(chunk);
                self.report_tokens(tokens);
            }
            Some(Event::End) => {
                self.answer.finish();
                self.end(Verdict::Ran);
            }
            Some(Event::Failed(failure)) => self.fail(failure),
            None => self.fail(Failure::may_have_run(Reason::BackendServer)),
        }
    }

    fn report_tokens(&mut self, tokens: u32) {
        let Some(running) = &mut self.exchange else {
            return;
        };
        if tokens == 0 {
            return;
        }
        let now = self.context.clock.now();
        let since = running.last_token_at.unwrap_or(running.started_at);
        let progress = Progress {
            attempt: self.attempt,
            first: running.last_token_at.is_none(),
            tokens,
            elapsed: now.since(since),
        };
        running.last_token_at = Some(now);
        // Progress only feeds estimates; a full ring may lose it.
        let _ = self.context.dispatch.send(Command::Progressed(progress));
    }

    fn fail(&mut self, failure: Failure) {
        if self.ended_at.is_some() {
            return;
        }
        self.answer.fail(failure);
        self.end(failure.verdict);
    }

    fn end(&mut self, verdict: Verdict) {
        self.exchange = None;
        self.ended_at = Some(self.context.clock.now());
        if self.started {
            self.context.dispatch.send_with_retry(Command::Finished {
                attempt: self.attempt,
                verdict,
            });
        }
    }

    fn cancel(&mut self) {
        if let Some(running) = &self.exchange {
            running.cancelled.cancel();
        }
    }

    fn acknowledge(&mut self, offset: u64, complete: bool) {
        self.acknowledged |= complete;
        let starved = self.context.budget.available_permits() == 0;
        if !self.order.keep_answer || starved {
            self.answer.trim(offset);
        }
    }

    fn check_presence(&mut self) {
        let now = self.context.clock.now();
        // The task holds one mark and the dispatch duty's handle another.
        if Arc::strong_count(&self.presence) > 2 {
            self.last_present = now;
            return;
        }
        let absent = now.since(self.last_present);
        if !self.started && self.ended_at.is_none() && absent > WAITING_DETACH_LIMIT {
            // A full ring is tried again at the next tick.
            let _ = self.context.dispatch.send(Command::Cancel {
                attempt: self.attempt,
            });
        }
        let is_orphaned = absent > self.context.router_absence_limit;
        if self.exchange.is_some() && !self.order.finish_alone && is_orphaned {
            log::info!(attempt:% = self.attempt; "cancelled: its router has gone");
            self.cancel();
        }
    }

    fn serve_parked(&mut self) {
        for read in std::mem::take(&mut self.parked) {
            if read.reply.is_closed() {
                continue;
            }
            let mut position = read.position;
            match self.answer.read(&mut position) {
                // A reader that has gone in the meantime resumes at its old position.
                Ok(frames) => drop(read.reply.send(Portion { frames, position })),
                Err(Unreadable::NotYet) => self.parked.push(read),
                Err(Unreadable::Gone) => drop(read),
            }
        }
    }
}

async fn next_event(running: &mut Option<Running>) -> Option<Event> {
    match running {
        Some(running) => running.events.recv().await,
        None => std::future::pending().await,
    }
}
