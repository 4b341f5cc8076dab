//! What may still be done with a request that a router sends to backend servers itself.
//!
//! A request is unsent, or sent and proved not run, or it may have run. Only in the first two
//! states may it be refused with the promise that it has not run. What may have run is sent again
//! only where the route allows repetition.

use crate::{routing_config::RepeatPolicy, verdict::Verdict};

/// How one sending ended short of a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection came about, or it ended before any of the request was written.
    NotSent,
    /// The backend server says that it did not run the request.
    NotExecuted,
    /// The backend server ran the request and failed.
    Failed,
    /// The connection broke, or something came that is no answer to this request.
    Lost,
}

/// What to do after a setback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send to another backend server.
    Resend,
    /// Give up; the request has not run and never will.
    Refuse,
    /// Give up; the request may have run.
    Fail,
}

/// Progress of one request.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    repetition: RepeatPolicy,
    attempts: u32,
    sent: u32,
    /// Whether the last sending has not ended.
    is_sending: bool,
    may_have_run: bool,
}

impl Dispatch {
    /// A request that has not been sent; it may be sent to `attempts` backend servers.
    pub fn new(repetition: RepeatPolicy, attempts: u32) -> Self {
        Self {
            repetition,
            attempts: attempts.max(1),
            sent: 0,
            is_sending: false,
            may_have_run: false,
        }
    }

    /// Notes that the request is being written to a backend server, which may run it from now on.
    pub fn send(&mut self) {
        self.sent += 1;
        self.is_sending = true;
    }

    /// Times that the request was sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// What is known of the request's execution now, also while it is being sent.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run || self.is_sending {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    /// Takes in how the last sending ended, or that none came about.
    pub fn fail(&mut self, setback: SendFailure) -> Step {
        let was_sending = std::mem::take(&mut self.is_sending);
        match setback {
            SendFailure::NotSent => self.sent -= u32::from(was_sending),
            SendFailure::NotExecuted => {}
            SendFailure::Failed | SendFailure::Lost => self.may_have_run = true,
        }
        let may_repeat = !self.may_have_run || self.repetition.may_rerun();
        if may_repeat && self.sent < self.attempts {
            return Step::Resend;
        }
        self.give_up()
    }

    /// The end of a request that is not sent again.
    pub fn give_up(&self) -> Step {
        match self.verdict() {
            Verdict::MayHaveRun | Verdict::Ran => Step::Fail,
            Verdict::NotRun => Step::Refuse,
        }
    }
}
