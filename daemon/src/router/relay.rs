//! Relays one request to a sidecar and the response back to the caller.
//!
//! Until it has sent a grant, the router itself knows that the request has not run. It may then try
//! another sidecar or refuse the request, regardless of the state of the first sidecar. After the
//! grant, only the sidecar can prove that the request has not run.

pub mod claim;
pub mod offer;
pub mod responder;
pub mod response_reader;
pub mod retry_rounds;
pub mod revalidation;
pub mod time_left;

use {
    self::{
        offer::{Granted, Offer, OfferError},
        responder::Responder,
        response_reader::{ResponseEvent, ResponseReader},
        retry_rounds::RetryRounds,
    },
    super::{
        context::Context,
        inbound::InboundRequest,
        peer::Peer,
        placement::{Assignment, command::PlacementRequest},
    },
    crate::metrics::Labels,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        id,
        time::Timestamp,
        verdict::Verdict,
    },
    tokio::time::sleep,
};

/// Relay of one request.
pub struct Relay {
    context: Context,
    request: Arc<InboundRequest>,
    responder: Responder,
    deadline: Timestamp,
    /// Attempts that have not been granted and never will be.
    withdrawn: Vec<id::Attempt>,
}

/// Outcome of a request for its caller.
enum RequestOutcome {
    Served,
    Failed(Failure),
    CallerGone,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    /// The request has ended.
    Finished(RequestOutcome),
    /// The request is proved not to have run; another sidecar may be tried.
    NotRun(Failure),
}

impl Relay {
    /// Creates a relay for a request that is accepted now.
    pub fn new(context: Context, request: InboundRequest, responder: Responder) -> Self {
        let deadline = context.clock.now().plus(request.deadline);
        Self {
            context,
            request: Arc::new(request),
            responder,
            deadline,
            withdrawn: Vec::new(),
        }
    }

    /// Relays the request until it has ended.
    pub async fn run(mut self) {
        let accepted = self.context.clock.now();
        let outcome = match self
            .context
            .placement
            .admit(Arc::clone(&self.request))
            .await
        {
            Ok(()) => {
                let outcome = self.serve().await;
                let elapsed = self.context.clock.now().since(accepted);
                self.context.placement.release(&self.request, elapsed);
                outcome
            }
            Err(failure) => RequestOutcome::Failed(failure),
        };
        let elapsed = self.context.clock.now().since(accepted);
        self.record_metrics(&outcome, elapsed);
        match outcome {
            RequestOutcome::Served => {}
            RequestOutcome::Failed(failure) => self.send_failure(&failure).await,
            RequestOutcome::CallerGone => {
                log::info!(request:% = self.request.id; "caller disconnected")
            }
        }
    }

    async fn serve(&mut self) -> RequestOutcome {
        if !self.request.idempotent
            && let Err(failure) = self.context.claims.check_available()
        {
            return RequestOutcome::Failed(failure);
        }
        let mut rounds = RetryRounds::default();
        loop {
            let assignment = match self.place(&rounds).await {
                Ok(assignment) => assignment,
                Err(failure) => {
                    let Some(pause) = rounds.next_round(failure, self.request.fingerprint()) else {
                        return RequestOutcome::Failed(rounds.final_failure(failure));
                    };
                    tokio::select! {
                        () = sleep(pause) => continue,
                        () = self.responder.abandoned() => return RequestOutcome::CallerGone,
                        () = self.context.shutdown.ending.cancelled() => {
                            return RequestOutcome::Failed(Failure::not_run(Reason::Closing));
                        }
                    }
                }
            };
            if time_left::is_less_than(&self.context.shutdown, assignment.min_completion) {
                self.context.placement.finish_attempt(&assignment, None);
                return RequestOutcome::Failed(Failure::not_run(Reason::Closing));
            }
            match self.attempt(&assignment).await {
                AttemptOutcome::Finished(outcome) => return outcome,
                AttemptOutcome::NotRun(failure) => {
                    self.log_move(&assignment, &failure);
                    self.withdrawn.push(assignment.attempt);
                    if failure.reason == Reason::StaleRevision && self.revalidate().await {
                        continue;
                    }
                    rounds.record_failure(&assignment.peer.incarnation.instance, failure);
                }
            }
        }
    }

    /// Revalidates the request against the newer document that the sidecars have. Returns whether
    /// it is still valid.
    async fn revalidate(&mut self) -> bool {
        let catalogue = self.context.catalogue.clone();
        let revalidated = revalidation::revalidate(&self.request, catalogue).await;
        let is_revalidated = revalidated.is_some();
        if let Some(request) = revalidated {
            self.request = Arc::new(request);
        }
        is_revalidated
    }

    /// Makes one attempt, until it ends or is proved not to have been dispatched.
    async fn attempt(&mut self, assignment: &Assignment) -> AttemptOutcome {
        let offer = Offer {
            context: &self.context,
            request: &self.request,
            assignment,
            withdrawn: &self.withdrawn,
            deadline: self.deadline,
        };
        let outcome = match offer.submit(&mut self.responder).await {
            Ok(granted) => self.relay_granted(assignment, granted).await,
            Err(OfferError::RunningElsewhere { peer, attempt }) => {
                self.attach(&peer, attempt).await
            }
            Err(OfferError::NotRun(failure)) => AttemptOutcome::NotRun(failure),
            Err(OfferError::Failed(failure)) => {
                AttemptOutcome::Finished(RequestOutcome::Failed(failure))
            }
            Err(OfferError::CallerGone) => AttemptOutcome::Finished(RequestOutcome::CallerGone),
        };
        let failure = match &outcome {
            AttemptOutcome::NotRun(failure) => Some(*failure),
            AttemptOutcome::Finished(_) => None,
        };
        self.context.placement.finish_attempt(assignment, failure);
        outcome
    }

    async fn place(&mut self, rounds: &RetryRounds) -> Result<Assignment, Failure> {
        if !self.request.finish_late && self.deadline <= self.context.clock.now() {
            return Err(Failure::not_run(Reason::DeadlinePassed));
        }
        let placing = self.context.placement.place(PlacementRequest {
            request: Arc::clone(&self.request),
            excluded: rounds.excluded().to_vec(),
            previous_failure: rounds.last_failure(),
            deadline: self.deadline,
            is_closing: self.context.shutdown.closing.is_cancelled(),
        });
        tokio::select! {
            assignment = placing => assignment,
            () = self.responder.abandoned() => Err(Failure::not_run(Reason::Cancelled)),
        }
    }

    async fn relay_granted(&mut self, assignment: &Assignment, granted: Granted) -> AttemptOutcome {
        let mut response =
            ResponseReader::new(&self.context, &assignment.peer, granted, self.deadline);
        let granted_at = self.context.clock.now();
        self.context
            .placement
            .record_grant(&self.request, assignment.attempt);
        let outcome = self.relay_response(&mut response).await;
        match outcome {
            // Nothing has been sent to the backend server or to the caller.
            RequestOutcome::Failed(failure) if failure.verdict == Verdict::NotRun => {
                AttemptOutcome::NotRun(failure)
            }
            RequestOutcome::Served => {
                let elapsed = self.context.clock.now().since(granted_at);
                self.context.placement.record_answer(&self.request, elapsed);
                AttemptOutcome::Finished(outcome)
            }
            RequestOutcome::CallerGone if !self.request.runs_to_completion() => {
                response.cancel().await;
                AttemptOutcome::Finished(outcome)
            }
            RequestOutcome::Failed(failure) if failure.reason == Reason::Closing => {
                self.end_granted(assignment, response);
                AttemptOutcome::Finished(outcome)
            }
            outcome => AttemptOutcome::Finished(outcome),
        }
    }

    /// Relays the response of another attempt at the same request. That attempt is not cancelled if
    /// this caller disconnects.
    async fn attach(&mut self, peer: &Peer, attempt: id::Attempt) -> AttemptOutcome {
        log::info!(request:% = self.request.id, attempt:% = attempt, sidecar:% = peer; "attached");
        let granted = Granted {
            attempt,
            frames: None,
        };
        let mut response = ResponseReader::new(&self.context, peer, granted, self.deadline);
        match self.relay_response(&mut response).await {
            // The other attempt did not run.
            RequestOutcome::Failed(failure) if failure.verdict == Verdict::NotRun => {
                AttemptOutcome::NotRun(failure)
            }
            outcome => AttemptOutcome::Finished(outcome),
        }
    }

    async fn relay_response(&mut self, response: &mut ResponseReader) -> RequestOutcome {
        loop {
            let event = tokio::select! {
                event = response.next() => event,
                () = self.responder.caller_gone() => return RequestOutcome::CallerGone,
                () = self.context.shutdown.ending.cancelled() => {
                    return RequestOutcome::Failed(Failure::may_have_run(Reason::Closing));
                }
            };
            let sent = match event {
                ResponseEvent::Head { status, headers } => {
                    self.responder.send_head(&self.request, status, &headers)
                }
                ResponseEvent::Bytes(bytes) => self.responder.send_bytes(bytes).await,
                ResponseEvent::End => {
                    self.responder.finish().await;
                    response.acknowledge_all().await;
                    return RequestOutcome::Served;
                }
                ResponseEvent::Failed(failure) => return RequestOutcome::Failed(failure),
            };
            if sent.is_err() {
                return RequestOutcome::CallerGone;
            }
        }
    }

    /// Logs a granted attempt that ends with the shutdown of this router or of its sidecar, and frees
    /// the sidecar if nobody can ask for the response later.
    fn end_granted(&self, assignment: &Assignment, response: ResponseReader) {
        log::warn!(
            request:% = self.request.id,
            attempt:% = assignment.attempt,
            sidecar:% = assignment.peer,
            verdict:% = Verdict::MayHaveRun;
            "ended by the shutdown"
        );
        if !self.request.runs_to_completion() {
            let cancelling = async move { response.cancel().await };
            self.context.tracker.spawn(cancelling);
        }
    }

    async fn send_failure(&mut self, failure: &Failure) {
        log::info!(
            request:% = self.request.id,
            tier = self.request.tier.as_str(),
            rank = self.request.rank.0,
            verdict:% = failure.verdict,
            reason:% = failure.reason,
            retry_after_ms = failure.retry_after.map_or(0, |delay| delay.as_millis() as u64);
            "refused"
        );
        self.responder.fail(&self.request, failure).await;
    }

    fn log_move(&self, assignment: &Assignment, failure: &Failure) {
        log::info!(
            request:% = self.request.id,
            attempt:% = assignment.attempt,
            sidecar:% = assignment.peer,
            reason:% = failure.reason;
            "moved"
        );
        let metrics = &self.context.metrics;
        metrics.count_move(self.labels(), failure.reason.to_string());
    }

    fn record_metrics(&self, outcome: &RequestOutcome, elapsed: Duration) {
        let label = match outcome {
            RequestOutcome::Served if self.context.clock.now() <= self.deadline => "in-time",
            RequestOutcome::Served => "late",
            RequestOutcome::Failed(failure) if failure.verdict == Verdict::NotRun => "not-run",
            RequestOutcome::Failed(_) => "failed",
            RequestOutcome::CallerGone => "caller-gone",
        };
        let metrics = &self.context.metrics;
        metrics.count_request(self.labels(), label, elapsed);
        if let RequestOutcome::Failed(failure) = outcome {
            metrics.count_refusal(self.labels(), failure.reason.to_string());
        }
    }

    fn labels(&self) -> Labels<'_> {
        Labels {
            service: &self.request.id.service,
            tier: &self.request.tier,
        }
    }
}
