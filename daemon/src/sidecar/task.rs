//! The task of one attempt, which owns its request, its exchange with the backend server, its
//! buffered response and its pending reads.

pub mod message;

pub use message::{FrameBatch, Message, Read};

use {
    super::{
        backend_server::BackendServer,
        budget::{Budget, Share},
        dispatch::{Command, Progress},
        exchange::{Exchange, event::Event},
        response_buffer::{ReadError, ResponseBuffer},
    },
    crate::{channel::BoundedSender, clock::Clock, signal::Shutdown},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        id,
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_wire::{Frame, message::Enqueue},
    tokio::{
        sync::mpsc,
        time::{MissedTickBehavior, interval},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Capacity of a task's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 64;

/// Capacity of the channel from an exchange to its task, in events.
const EVENT_CAPACITY: usize = 16;

const TICK: Duration = Duration::from_millis(500);

/// Longest time between two ticks that counts as a router's absence. In a longer one this process stood
/// still, and no router could reach it.
const MAX_COUNTED_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a router may be disconnected before its waiting attempt is cancelled.
const WAITING_ABSENCE_LIMIT: Duration = Duration::from_secs(3);

/// Time for which the failure of an attempt that never started is kept for its router.
const VOID_RETENTION: Duration = Duration::from_secs(2);

/// Time for which a response that has ended is kept for its router.
const RETENTION: Duration = Duration::from_secs(30);

/// Time for which a response that has ended is kept for retries by its caller.
const RETRY_RETENTION: Duration = Duration::from_secs(120);

/// State shared by all tasks of a sidecar.
#[derive(Clone)]
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// The backend server.
    pub backend_server: Arc<BackendServer>,
    /// Channel to the dispatch worker.
    pub dispatch: BoundedSender<Command>,
    /// Memory for buffered responses.
    pub budget: Budget,
    /// Time for which a router may be disconnected before its running attempt is cancelled.
    pub router_absence_limit: Duration,
    /// Tracks the tasks so that they can be awaited.
    pub tracker: TaskTracker,
    /// Shutdown of the process. Once it is closing, responses are no longer kept for retries by callers.
    pub shutdown: Shutdown,
}

/// Sending end of a task's mailbox.
#[derive(Clone)]
pub struct Handle {
    /// The mailbox.
    pub messages: mpsc::Sender<Message>,
    /// Whether the router claims the request before it grants the attempt.
    pub needs_claim: bool,
    /// Shared reference by which the task counts its handles. Each reader holds a handle for as
    /// long as it is connected.
    _handle_count: Arc<()>,
}

/// An attempt's task.
pub struct Task {
    context: Context,
    attempt: id::Attempt,
    request: Arc<Enqueue>,
    deadline: Timestamp,
    messages: mpsc::Receiver<Message>,
    handle_count: Arc<()>,
    response: ResponseBuffer,
    share: Share,
    /// Number of body bytes that a router has acknowledged.
    acknowledged_bytes: u64,
    pending_reads: Vec<Read>,
    exchange: Option<Running>,
    started: bool,
    acknowledged: bool,
    /// Whether a reader has been given the end of the response.
    end_read: bool,
    /// Time for which no router has been connected.
    absence: Duration,
    checked_at: Timestamp,
    /// Length of the response and what of it was acknowledged, and since when both have been the same.
    progress: (u64, u64, Timestamp),
    ended_at: Option<Timestamp>,
}

struct Running {
    events: mpsc::Receiver<Event>,
    cancelled: CancellationToken,
    started_at: Timestamp,
    last_token_at: Option<Timestamp>,
}

/// Starts the task of an attempt.
pub fn spawn(context: &Context, request: Enqueue) -> Handle {
    let (sender, messages) = mpsc::channel(MAILBOX_CAPACITY);
    let handle_count = Arc::new(());
    let handle = Handle {
        messages: sender,
        // Responses are kept for retries by the caller exactly if the request is claimed.
        needs_claim: request.keep_answer,
        _handle_count: Arc::clone(&handle_count),
    };
    let now = context.clock.now();
    let task = Task {
        context: context.clone(),
        attempt: request.attempt.into(),
        deadline: now.plus(Duration::from_millis(request.remaining_ms)),
        request: Arc::new(request),
        messages,
        handle_count,
        response: ResponseBuffer::new(),
        share: context.budget.share(),
        acknowledged_bytes: 0,
        pending_reads: Vec::new(),
        exchange: None,
        started: false,
        acknowledged: false,
        end_read: false,
        absence: Duration::ZERO,
        checked_at: now,
        progress: (0, 0, now),
        ended_at: None,
    };
    context.tracker.spawn(task.run());
    handle
}

impl Task {
    async fn run(mut self) {
        let shutdown = self.context.shutdown.clone();
        let mut is_ending = false;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.is_over() {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                event = next_event(&mut self.exchange) => self.handle_event(event),
                _ = ticks.tick() => self.check_readers(),
                () = shutdown.ending.cancelled(), if !is_ending => {
                    is_ending = true;
                    self.end_at_shutdown();
                }
                () = shutdown.aborting.cancelled() => {
                    self.log_unread();
                    return;
                }
            }
            self.serve_reads();
        }
    }

    fn is_over(&self) -> bool {
        let Some(ended_at) = self.ended_at else {
            return false;
        };
        let shutdown = &self.context.shutdown;
        if shutdown.ending.is_cancelled() && self.end_read {
            return true;
        }
        let keep = self.request.keep_answer && !shutdown.closing.is_cancelled();
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

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Ready => self.response.set_ready(),
            Message::Start => self.start(),
            Message::Fail(failure) => self.fail(failure),
            Message::Cancel => self.cancel(),
            Message::Read(read) => self.pending_reads.push(read),
            Message::Acknowledge { offset, complete } => self.acknowledge(offset, complete),
        }
    }

    fn start(&mut self) {
        self.started = true;
        if self.context.shutdown.ending.is_cancelled() {
            // Nothing has been sent to the backend server.
            self.fail(Failure::not_run(Reason::Closing));
            return;
        }
        let (sender, events) = mpsc::channel(EVENT_CAPACITY);
        let cancelled = CancellationToken::new();
        let exchange = Exchange {
            backend_server: Arc::clone(&self.context.backend_server),
            request: Arc::clone(&self.request),
            clock: self.context.clock,
            deadline: self.deadline,
            share: self.share.clone(),
            events: sender,
            dispatch: self.context.dispatch.clone(),
            cancelled: cancelled.clone(),
            closing: self.context.shutdown.closing.clone(),
        };
        self.context.tracker.spawn(exchange.run());
        self.exchange = Some(Running {
            events,
            cancelled,
            started_at: self.context.clock.now(),
            last_token_at: None,
        });
    }

    fn handle_event(&mut self, event: Option<Event>) {
        match event {
            Some(Event::Head { status, headers }) => self.response.set_head(status, headers),
            Some(Event::Chunk { chunk, tokens }) => {
                self.response.push(chunk);
                self.report_tokens(tokens);
            }
            Some(Event::End) => {
                self.response.finish();
                self.finish(Verdict::Ran);
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
        // Progress only feeds estimates, so it may be lost when the channel is full.
        let _ = self.context.dispatch.send(Command::Progressed(progress));
    }

    fn fail(&mut self, failure: Failure) {
        if self.ended_at.is_some() {
            return;
        }
        self.response.fail(failure);
        if failure.reason == Reason::Cancelled {
            self.response.discard();
        }
        self.finish(failure.verdict);
    }

    fn finish(&mut self, verdict: Verdict) {
        self.exchange = None;
        self.ended_at = Some(self.context.clock.now());
        if self.started {
            self.context.dispatch.send_with_retry(Command::Finished {
                attempt: self.attempt,
                verdict,
            });
        }
    }

    /// Ends a run that outlasts the shutdown, so that its router learns what became of it.
    fn end_at_shutdown(&mut self) {
        // The dispatch worker has voided all attempts that wait.
        if !self.started || self.ended_at.is_some() {
            return;
        }
        let failure = Failure::may_have_run(Reason::Closing);
        log::warn!(
            attempt:% = self.attempt,
            verdict:% = failure.verdict,
            bytes = self.response.length();
            "ended by the shutdown"
        );
        if !self.request.finish_alone {
            self.cancel();
        }
        self.fail(failure);
    }

    /// Logs that the process ends before a router has read the end of the response.
    fn log_unread(&self) {
        if self.end_read || self.acknowledged || !self.started {
            return;
        }
        log::warn!(
            attempt:% = self.attempt,
            bytes = self.response.length();
            "response not read to its end before the end of the shutdown"
        );
    }

    fn cancel(&mut self) {
        if let Some(running) = &self.exchange {
            running.cancelled.cancel();
        }
    }

    fn acknowledge(&mut self, offset: u64, complete: bool) {
        self.acknowledged |= complete;
        self.acknowledged_bytes = self.acknowledged_bytes.max(offset);
        self.trim_acknowledged();
    }

    /// Drops what a router has received, unless it is kept for retries by the caller and there is room.
    fn trim_acknowledged(&mut self) {
        if !self.request.keep_answer || self.share.is_exhausted() {
            self.response.trim(self.acknowledged_bytes);
        }
    }

    fn check_readers(&mut self) {
        // The memory may have run out after the last acknowledgement.
        self.trim_acknowledged();
        let now = self.context.clock.now();
        self.check_progress(now);
        let elapsed = now.since(self.checked_at);
        self.checked_at = now;
        // The task holds one reference and the dispatch worker's handle another.
        if Arc::strong_count(&self.handle_count) > 2 {
            self.absence = Duration::ZERO;
            return;
        }
        self.absence += elapsed.min(MAX_COUNTED_INTERVAL);
        if !self.started && self.ended_at.is_none() && self.absence > WAITING_ABSENCE_LIMIT {
            // If the channel is full, the next tick sends it again.
            let _ = self.context.dispatch.send(Command::Cancel {
                attempt: self.attempt,
            });
        }
        let is_orphaned = self.absence > self.context.router_absence_limit;
        if self.exchange.is_some() && !self.request.finish_alone && is_orphaned {
            log::info!(attempt:% = self.attempt; "attempt cancelled: its router is disconnected");
            self.cancel();
        }
    }

    /// Drops a response that does not fit into the memory and that nobody has read on for as long as a router
    /// may be away: it would hold its slot and its memory without end.
    fn check_progress(&mut self, now: Timestamp) {
        let (length, acknowledged) = (self.response.length(), self.acknowledged_bytes);
        if (length, acknowledged) != (self.progress.0, self.progress.1) {
            self.progress = (length, acknowledged, now);
        }
        let silence = now.since(self.progress.2);
        let is_blocked =
            self.exchange.is_some() && length > acknowledged && self.share.is_exhausted();
        if !is_blocked || silence <= self.context.router_absence_limit {
            return;
        }
        log::warn!(
            attempt:% = self.attempt,
            bytes = length - acknowledged,
            silent_ms = silence.as_millis() as u64;
            "response dropped: the memory for responses is full, and no router reads on"
        );
        self.fail(Failure::may_have_run(Reason::ConnectionLost));
        self.response.discard();
    }

    fn serve_reads(&mut self) {
        for read in std::mem::take(&mut self.pending_reads) {
            if read.reply.is_closed() {
                continue;
            }
            let mut position = read.position;
            match self.response.read(&mut position) {
                Ok(frames) => {
                    let is_end = frames.last().is_some_and(Frame::is_last);
                    let sent = read.reply.send(FrameBatch { frames, position });
                    // A reader that has disconnected in the meantime resumes at its old position.
                    self.end_read |= is_end && sent.is_ok();
                }
                Err(ReadError::NotYet) => self.pending_reads.push(read),
                Err(ReadError::Gone) => drop(read),
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
