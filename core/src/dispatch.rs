//! Retries of a request that a router sends to backend servers directly.
//!
//! A request is unsent, or sent and proved not to have run, or it may have run. Only in the first
//! two states may it be refused with the verdict that it has not run. A request that may have run
//! is sent again only if the repeat policy of its route allows it.

use crate::{routing_config::RepeatPolicy, verdict::Verdict};

/// Why sending a request did not result in a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection was established, or it was closed before any part of the request was written.
    NotSent,
    /// The backend server reports that it did not run the request.
    NotExecuted,
    /// The backend server ran the request and failed.
    Failed,
    /// The connection was lost, or the received data was not a valid response to this request.
    Lost,
}

/// What to do after a failure to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send to another backend server.
    Resend,
    /// Give up; the request has not run and never will.
    Refuse,
    /// Give up; the request may have run.
    Fail,
}

/// Progress of sending one request.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    repeat_policy: RepeatPolicy,
    max_attempts: u32,
    sent: u32,
    /// Whether the request is being sent.
    is_sending: bool,
    may_have_run: bool,
}

impl Dispatch {
    /// A request that has not been sent and may be sent to at most `max_attempts` backend servers.
    pub fn new(repeat_policy: RepeatPolicy, max_attempts: u32) -> Self {
        Self {
            repeat_policy,
            max_attempts: max_attempts.max(1),
            sent: 0,
            is_sending: false,
            may_have_run: false,
        }
    }

    /// Records that the request is being written to a backend server, which may run it from now on.
    pub fn send(&mut self) {
        self.sent += 1;
        self.is_sending = true;
    }

    /// Number of times that the request was sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request may have run by now, which includes while it is being sent.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run || self.is_sending {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    /// Records a failure to send, also if no connection was established, and returns what to do
    /// next.
    pub fn fail(&mut self, failure: SendFailure) -> Step {
        let was_sending = std::mem::take(&mut self.is_sending);
        match failure {
            SendFailure::NotSent => self.sent -= u32::from(was_sending),
            SendFailure::NotExecuted => {}
            SendFailure::Failed | SendFailure::Lost => self.may_have_run = true,
        }
        let may_repeat = !self.may_have_run || self.repeat_policy.may_rerun();
        if may_repeat && self.sent < self.max_attempts {
            return Step::Resend;
        }
        self.give_up()
    }

    /// Whether the request may be sent to another backend server while it runs at one.
    pub fn may_send_again(&self) -> bool {
        self.repeat_policy.may_rerun() && self.sent < self.max_attempts
    }

    /// Records that the request runs at a backend server and is to be sent to another one too.
    pub fn begin_move(&mut self) {
        self.is_sending = false;
        self.may_have_run = true;
    }

    /// What to do with a request that is not sent again.
    pub fn give_up(&self) -> Step {
        match self.verdict() {
            Verdict::MayHaveRun | Verdict::Ran => Step::Fail,
            Verdict::NotRun => Step::Refuse,
        }
    }
}
