//! Brings one request to a sidecar and its answer back.
//!
//! Until the grant has been sent, the router knows by itself that the request has not run, so it
//! may try another sidecar or refuse, whatever has become of the first one. After the grant only
//! the sidecar's word counts.

pub mod answer;
pub mod offer;
pub mod responder;

use {
    self::{
        answer::{Answer, Step},
        offer::{Granted, Offer, Unserved},
        responder::Responder,
    },
    super::{context::Context, inbound::Inbound, placement::{Outcome, Placed}},
    std::sync::Arc,
    tamarackdale_core::{
        failure::{Failure, Reason},
        id,
        time::Timestamp,
    },
};

/// One request on its way.
pub struct Relay {
    context: Context,
    request: Arc<Inbound>,
    responder: Responder,
    deadline: Timestamp,
}

/// How a request ended for its caller.
enum Ending {
    Served,
    Failed(Failure),
    CallerGone,
}

impl Relay {
    /// A relay for a request accepted now.
    pub fn new(
        context: Context,
        request: Inbound,
        responder: Responder,
    ) -> Self {
        let deadline = context.clock.now().plus(request.deadline);
        Self {
            context,
            request: Arc::new(request),
            responder,
            deadline,
        }
    }

    /// Serves the request to its end.
    pub async fn run(mut self) {
        match self.serve().await {
            Ending::Served => {}
            Ending::Failed(failure) => self.refuse(&failure).await,
            Ending::CallerGone => log::info!(request:% = self.request.id; "caller gone"),
        }
    }

    async fn serve(&mut self) -> Ending {
        let mut excluded: Vec<id::Instance> = Vec::new();
        loop {
            let placed = match self.place(&excluded).await {
                Ok(placed) => placed,
                Err(failure) => return Ending::Failed(failure),
            };
            let offer = Offer {
                context: &self.context,
                request: &self.request,
                placed: &placed,
                deadline: self.deadline,
            };
            let offered = offer.make(&mut self.responder).await;
            match offered {
                Ok(granted) => return self.relay(placed, granted).await,
                Err(Unserved::Moved(failure)) => {
                    self.settle(&placed, Outcome::Refused(failure));
                    excluded.push(placed.peer.incarnation.instance.clone());
                }
                Err(Unserved::Final(failure)) => {
                    self.settle(&placed, Outcome::Refused(failure));
                    return Ending::Failed(failure);
                }
                Err(Unserved::CallerGone) => {
                    self.settle(&placed, Outcome::Withdrawn);
                    return Ending::CallerGone;
                }
            }
        }
    }

    async fn place(
        &mut self,
        excluded: &[id::Instance],
    ) -> Result<Placed, Failure> {
        let remaining = self.deadline.since(self.context.clock.now());
        if remaining.is_zero() {
            return Err(Failure::not_run(Reason::DeadlinePassed));
        }
        let placing = self
            .context
            .placement
            .place(Arc::clone(&self.request), excluded.to_vec(), remaining);
        tokio::select! {
            placed = placing => placed,
            () = self.responder.caller_gone() => Err(Failure::not_run(Reason::Cancelled)),
        }
    }

    async fn relay(
        &mut self,
        placed: Placed,
        granted: Granted,
    ) -> Ending {
        let mut answer = Answer::new(&self.context, &placed.peer, granted);
        let ending = self.relay_answer(&mut answer).await;
        let outcome = match &ending {
            Ending::Served => Outcome::Served,
            Ending::Failed(failure) => Outcome::Failed(*failure),
            Ending::CallerGone => Outcome::Withdrawn,
        };
        if matches!(ending, Ending::CallerGone) && !self.request.finish_alone {
            answer.cancel().await;
        }
        self.settle(&placed, outcome);
        ending
    }

    async fn relay_answer(
        &mut self,
        answer: &mut Answer,
    ) -> Ending {
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

    async fn refuse(
        &mut self,
        failure: &Failure,
    ) {
        log::info!(
            request:% = self.request.id,
            tier = self.request.tier.as_str(),
            verdict:% = failure.verdict,
            reason:% = failure.reason,
            retry_after_ms = failure.retry_after.map_or(0, |delay| delay.as_millis() as u64);
            "refused"
        );
        self.responder.fail(&self.request, failure).await;
    }

    fn settle(
        &self,
        placed: &Placed,
        outcome: Outcome,
    ) {
        self.context.placement.settle(placed, &self.request, outcome);
    }
}
