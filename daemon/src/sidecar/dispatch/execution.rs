//! Grant, cancellation, progress and end of an attempt that has been queued.

use {
    super::{Dispatcher, Progress},
    crate::sidecar::task::{Handle, Message},
    tamarackdale_core::{
        attempt::Resumption,
        failure::{Failure, Reason},
        id::{Attempt, Boot},
        poison::Fingerprint,
        time::Timestamp,
        verdict::Verdict,
    },
    tokio::sync::mpsc::error::TrySendError,
};

impl Dispatcher {
    pub(super) fn grant(&mut self, attempt: Attempt, boot: Boot) -> Result<(), Failure> {
        let now = self.clock.now();
        let Some(handle) = self.tasks.get(&attempt).cloned() else {
            self.table.grant(attempt, boot, now)?;
            // A granted attempt without a task cannot start, so its request has not been sent.
            self.table.abort(attempt, now);
            return Err(Failure::not_run(Reason::Void));
        };
        let rank = self.in_flight.offered_rank(attempt);
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
        let wait = self
            .in_flight
            .record_dispatch(attempt, &mut self.prefixes, now);
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

    pub(super) fn resume(&mut self, attempt: Attempt, boot: Boot) -> Result<Handle, Failure> {
        let now = self.clock.now();
        match self.table.resume(attempt, boot, now) {
            Resumption::Voided => {
                let failure = Failure::not_run(Reason::Void);
                self.remove_waiting(attempt);
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

    pub(super) fn cancel(&mut self, attempt: Attempt) {
        let now = self.clock.now();
        match self.table.void(attempt, now) {
            Ok(()) => {
                self.remove_waiting(attempt);
                self.notify(attempt, Message::Fail(Failure::not_run(Reason::Cancelled)));
            }
            Err(_) => self.notify(attempt, Message::Cancel),
        }
    }

    pub(super) fn acknowledge(&mut self, attempt: Attempt, offset: u64, complete: bool) {
        if complete {
            self.table.acknowledge(attempt, self.clock.now());
        }
        self.notify(attempt, Message::Acknowledge { offset, complete });
    }

    pub(super) fn on_progress(&mut self, progress: &Progress) {
        let now = self.clock.now();
        let Some(run) = self
            .in_flight
            .record_progress(progress.attempt, progress.tokens)
        else {
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

    pub(super) fn on_finished(&mut self, attempt: Attempt, verdict: Verdict) {
        let now = self.clock.now();
        let Some(run) = self.in_flight.remove_finished(attempt) else {
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

    /// Records that a request was lost when the backend server crashed.
    pub(super) fn record_crash(&mut self, request_digest: u64) {
        let fingerprint = Fingerprint {
            request: Some(request_digest),
            parts: Vec::new(),
        };
        let server = self.settings.incarnation.instance.0.as_str();
        self.poison
            .record_crash(&fingerprint, server, self.clock.now());
    }

    pub(super) fn void(&mut self, attempt: Attempt, failure: Failure, now: Timestamp) {
        if self.table.void(attempt, now).is_ok() {
            self.remove_waiting(attempt);
            self.notify(attempt, Message::Fail(failure));
        }
    }

    pub(super) fn remove_waiting(&mut self, attempt: Attempt) {
        self.queue.remove(attempt);
        self.in_flight.remove_offered(attempt);
    }

    /// Sends a message to an attempt's task, without waiting. The message is dropped if the task
    /// has ended or its mailbox is full.
    pub(super) fn notify(&self, attempt: Attempt, message: Message) {
        if let Some(handle) = self.tasks.get(&attempt) {
            let sent = handle.messages.try_send(message);
            if let Err(TrySendError::Full(_)) = sent {
                log::warn!(attempt:% = attempt; "message to an attempt dropped: its mailbox is full");
            }
        }
    }
}
