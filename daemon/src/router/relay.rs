//! Brings one request to a sidecar and its answer back.
//!
//! Until the grant has been sent, the router knows by itself that the request has not run, so it
//! may try another sidecar or refuse, whatever has become of the first one. After the grant only
//! the sidecar's word counts.

pub mod answer;
pub mod claim;
pub mod offer;
pub mod responder;
pub mod retry_rounds;
pub mod revalidation;

use {
    self::{
        answer::{Answer, Step},
        offer::{Granted, Offer, Unserved},
        responder::Responder,
        retry_rounds::Route,
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

/// One request on its way.
pub struct Relay {
    context: Context,
    request: Arc<InboundRequest>,
    responder: Responder,
    deadline: Timestamp,
    /// Attempts that are not granted and will not be.
    withdrawn: Vec<id::Attempt>,
}

/// How a request ended for its caller.
enum Ending {
    Served,
    Failed(Failure),
    CallerGone,
}

/// How one attempt ended.
enum Attempted {
    /// The request is over.
    Over(Ending),
    /// Proved not run; another sidecar may be tried.
    Moved(Failure),
}

impl Relay {
    /// A relay for a request accepted now.
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

    /// Serves the request to its end.
    pub async fn run(mut self) {
        let accepted = self.context.clock.now();
        let ending = match self
            .context
            .placement
            .admit(Arc::clone(&self.request))
            .await
        {
            Ok(()) => {
                let ending = self.serve().await;
                let elapsed = self.context.clock.now().since(accepted);
                self.context.placement.release(&self.request, elapsed);
                ending
            }
            Err(failure) => Ending::Failed(failure),
        };
        let elapsed = self.context.clock.now().since(accepted);
        self.count(&ending, elapsed);
        match ending {
            Ending::Served => {}
            Ending::Failed(failure) => self.refuse(&failure).await,
            Ending::CallerGone => log::info!(request:% = self.request.id; "caller gone"),
        }
    }

    async fn serve(&mut self) -> Ending {
        if !self.request.idempotent
            && let Err(failure) = self.context.claims.check_available()
        {
            return Ending::Failed(failure);
        }
        let mut route = Route::default();
        loop {
            let placed = match self.place(&route).await {
                Ok(placed) => placed,
                Err(failure) => {
                    let Some(pause) = route.next_round(failure, self.request.fingerprint()) else {
                        return Ending::Failed(route.last_word(failure));
                    };
                    tokio::select! {
                        () = sleep(pause) => continue,
                        () = self.responder.abandoned() => return Ending::CallerGone,
                    }
                }
            };
            match self.attempt(&placed).await {
                Attempted::Over(ending) => return ending,
                Attempted::Moved(failure) => {
                    self.log_move(&placed, &failure);
                    self.withdrawn.push(placed.attempt);
                    if failure.reason == Reason::StaleRevision && self.renew().await {
                        continue;
                    }
                    route.leave(&placed.peer.incarnation.instance, failure);
                }
            }
        }
    }

    /// Brings the request up to the document that the sidecars have; whether it could.
    async fn renew(&mut self) -> bool {
        let catalogue = self.context.catalogue.clone();
        let renewed = revalidation::renew(&self.request, catalogue).await;
        let is_renewed = renewed.is_some();
        if let Some(request) = renewed {
            self.request = Arc::new(request);
        }
        is_renewed
    }

    /// Makes one attempt, to its end or to the proof that it was not dispatched.
    async fn attempt(&mut self, placed: &Assignment) -> Attempted {
        let offer = Offer {
            context: &self.context,
            request: &self.request,
            placed,
            withdrawn: &self.withdrawn,
            deadline: self.deadline,
        };
        let attempted = match offer.make(&mut self.responder).await {
            Ok(granted) => self.relay(placed, granted).await,
            Err(Unserved::Elsewhere { peer, attempt }) => self.attach(&peer, attempt).await,
            Err(Unserved::Moved(failure)) => Attempted::Moved(failure),
            Err(Unserved::Final(failure)) => Attempted::Over(Ending::Failed(failure)),
            Err(Unserved::CallerGone) => Attempted::Over(Ending::CallerGone),
        };
        let refused = match &attempted {
            Attempted::Moved(failure) => Some(*failure),
            Attempted::Over(_) => None,
        };
        self.context.placement.finish_attempt(placed, refused);
        attempted
    }

    async fn place(&mut self, route: &Route) -> Result<Assignment, Failure> {
        if !self.request.finish_late && self.deadline <= self.context.clock.now() {
            return Err(Failure::not_run(Reason::DeadlinePassed));
        }
        let placing = self.context.placement.place(PlacementRequest {
            request: Arc::clone(&self.request),
            excluded: route.excluded().to_vec(),
            previous_failure: route.moved(),
            deadline: self.deadline,
        });
        tokio::select! {
            placed = placing => placed,
            () = self.responder.abandoned() => Err(Failure::not_run(Reason::Cancelled)),
        }
    }

    async fn relay(&mut self, placed: &Assignment, granted: Granted) -> Attempted {
        let mut answer = Answer::new(&self.context, &placed.peer, granted);
        let ending = self.relay_answer(&mut answer).await;
        match ending {
            // Nothing was sent to the backend server, and nothing to the caller either.
            Ending::Failed(failure) if failure.verdict == Verdict::NotRun => {
                Attempted::Moved(failure)
            }
            Ending::CallerGone if !self.request.runs_to_completion() => {
                answer.cancel().await;
                Attempted::Over(ending)
            }
            ending => Attempted::Over(ending),
        }
    }

    /// Relays the answer of another attempt at the same request, which goes on without this caller.
    async fn attach(&mut self, peer: &Peer, attempt: id::Attempt) -> Attempted {
        log::info!(request:% = self.request.id, attempt:% = attempt, sidecar:% = peer; "attached");
        let granted = Granted {
            attempt,
            frames: None,
        };
        let mut answer = Answer::new(&self.context, peer, granted);
        match self.relay_answer(&mut answer).await {
            // The other attempt came to nothing.
            Ending::Failed(failure) if failure.verdict == Verdict::NotRun => {
                Attempted::Moved(failure)
            }
            ending => Attempted::Over(ending),
        }
    }

    async fn relay_answer(&mut self, answer: &mut Answer) -> Ending {
        loop {
            let step = tokio::select! {
                step = answer.next() => step,
                () = self.responder.caller_gone() => return Ending::CallerGone,
            };
            let sent = match step {
                Step::Head { status, headers } => {
                    self.responder.send_head(&self.request, status, &headers)
                }
                Step::Bytes(bytes) => self.responder.send_bytes(bytes).await,
                Step::End => {
                    self.responder.finish().await;
                    answer.acknowledge_all().await;
                    return Ending::Served;
                }
                Step::Failed(failure) => return Ending::Failed(failure),
            };
            if sent.is_err() {
                return Ending::CallerGone;
            }
        }
    }

    async fn refuse(&mut self, failure: &Failure) {
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

    fn log_move(&self, placed: &Assignment, failure: &Failure) {
        log::info!(
            request:% = self.request.id,
            attempt:% = placed.attempt,
            sidecar:% = placed.peer,
            reason:% = failure.reason;
            "moved"
        );
        let metrics = &self.context.metrics;
        metrics.count_move(self.labels(), failure.reason.to_string());
    }

    fn count(&self, ending: &Ending, elapsed: Duration) {
        let outcome = match ending {
            Ending::Served if self.context.clock.now() <= self.deadline => "in-time",
            Ending::Served => "late",
            Ending::Failed(failure) if failure.verdict == Verdict::NotRun => "not-run",
            Ending::Failed(_) => "failed",
            Ending::CallerGone => "caller-gone",
        };
        let metrics = &self.context.metrics;
        metrics.count_request(self.labels(), outcome, elapsed);
        if let Ending::Failed(failure) = ending {
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
