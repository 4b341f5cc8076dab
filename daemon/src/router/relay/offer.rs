//! Offers a request to one sidecar and grants it when its turn has come.

use {
    super::{
        claim::{Claim, ClaimOutcome},
        responder::Responder,
        time_left,
    },
    crate::router::{
        context::Context,
        inbound::InboundRequest,
        peer::{CallError, Peer, failure_from_wire, frames::Frames},
        placement::Assignment,
    },
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        id,
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_wire::{Frame, message::Enqueue},
    tokio::time::sleep,
};

/// Offer of a request to the assigned sidecar.
pub struct Offer<'a> {
    /// State of the router.
    pub context: &'a Context,
    /// The request.
    pub request: &'a Arc<InboundRequest>,
    /// The assigned sidecar and attempt.
    pub assignment: &'a Assignment,
    /// Earlier attempts of the request, which have not been granted and never will be.
    pub withdrawn: &'a [id::Attempt],
    /// Deadline of the request.
    pub deadline: Timestamp,
}

/// An attempt that has been granted.
pub struct Granted {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Its frames, if the connection on which it was offered is still open.
    pub frames: Option<Frames>,
}

/// Why an offer was not granted.
pub enum OfferError {
    /// The attempt is proved not to have run; another sidecar may be tried.
    NotRun(Failure),
    /// Another attempt runs the request.
    RunningElsewhere {
        /// Sidecar of the other attempt.
        peer: Peer,
        /// The other attempt.
        attempt: id::Attempt,
    },
    /// The request has failed.
    Failed(Failure),
    /// The caller has disconnected.
    CallerGone,
}

impl Offer<'_> {
    /// Enqueues the attempt, waits for its turn, claims the request if required, and grants it.
    pub async fn submit(self, responder: &mut Responder) -> Result<Granted, OfferError> {
        let attempt = self.assignment.attempt;
        let message = self.enqueue_message(attempt);
        let enqueued = tokio::select! {
            enqueued = self.context.peers.enqueue(self.peer(), &message) => enqueued,
            () = self.until_too_late() => {
                self.withdraw(attempt);
                return Err(closing());
            }
        };
        let mut frames = enqueued.map_err(connection_lost)?;
        let ready = tokio::select! {
            ready = wait_until_ready(&mut frames) => ready,
            () = sleep(self.remaining()), if !self.request.finish_late => {
                Err(OfferError::Failed(Failure::not_run(Reason::DeadlinePassed)))
            }
            failure = self.context.claims.wait_until_unavailable(), if !self.request.idempotent => {
                Err(OfferError::Failed(failure))
            }
            () = responder.abandoned() => Err(OfferError::CallerGone),
            () = self.until_too_late() => Err(closing()),
        };
        let claimed = match ready {
            Ok(()) => self.claim(&mut frames, responder).await,
            Err(error) => Err(error),
        };
        let permitted = match claimed {
            // The request may have been quarantined while it waited.
            Ok(()) => self.context.placement.check(self.request).await,
            Err(error) => {
                self.withdraw(attempt);
                return Err(error);
            }
        };
        if let Err(failure) = permitted {
            self.withdraw(attempt);
            return Err(OfferError::Failed(failure));
        }
        self.grant(attempt, frames).await
    }

    /// Claims the request if it needs a claim.
    async fn claim(
        &self,
        frames: &mut Frames,
        responder: &mut Responder,
    ) -> Result<(), OfferError> {
        if !self.request.needs_claim() {
            return Ok(());
        }
        let mut claim = Claim::new(
            self.context,
            self.request,
            self.assignment,
            self.withdrawn,
            self.deadline,
        );
        let claimed = tokio::select! {
            claimed = claim.acquire() => claimed,
            error = wait_until_lost(frames) => return Err(error),
            () = responder.abandoned() => return Err(OfferError::CallerGone),
            () = self.until_too_late() => {
                return Err(OfferError::Failed(claim.given_up(Reason::Closing)));
            }
        };
        match claimed {
            ClaimOutcome::Held => Ok(()),
            ClaimOutcome::RunningElsewhere { peer, attempt } => {
                Err(OfferError::RunningElsewhere { peer, attempt })
            }
            // No other attempt is known to hold the key. Without a claim, an idempotent request
            // only loses the possibility to fetch its response later.
            ClaimOutcome::Refused(failure)
                if self.request.idempotent && failure.verdict == Verdict::NotRun =>
            {
                Ok(())
            }
            ClaimOutcome::Refused(failure) => Err(OfferError::Failed(failure)),
        }
    }

    async fn grant(&self, attempt: id::Attempt, frames: Frames) -> Result<Granted, OfferError> {
        let granted = tokio::select! {
            granted = self.context.peers.grant(self.peer(), attempt) => granted,
            // The sidecar may have received the grant.
            () = self.context.shutdown.ending.cancelled() => Err(CallError::NoResponse),
        };
        match granted {
            Ok(Ok(())) => Ok(Granted {
                attempt,
                frames: Some(frames),
            }),
            Ok(Err(failure)) if failure.verdict == Verdict::NotRun => {
                Err(OfferError::NotRun(failure))
            }
            Ok(Err(failure)) => Err(OfferError::Failed(failure)),
            // No process listens at the address, so the incarnation is gone and the attempt with
            // it.
            Err(CallError::ConnectionRefused) => {
                Err(OfferError::NotRun(Failure::not_run(Reason::ConnectionLost)))
            }
            // Only the sidecar knows whether the grant arrived. Reading the response starts by
            // asking it.
            Err(CallError::NoResponse) => Ok(Granted {
                attempt,
                frames: None,
            }),
        }
    }

    fn peer(&self) -> &Peer {
        &self.assignment.peer
    }

    /// Waits until the request can no longer end before this router does.
    async fn until_too_late(&self) {
        let needed = self.assignment.min_service;
        time_left::until_less_than(&self.context.shutdown, needed).await;
    }

    fn remaining(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    /// Withdraws the attempt in the background.
    fn withdraw(&self, attempt: id::Attempt) {
        let peers = self.context.peers.clone();
        let peer = self.peer().clone();
        self.context
            .tracker
            .spawn(async move { peers.cancel(&peer, attempt).await });
    }

    fn enqueue_message(&self, attempt: id::Attempt) -> Enqueue {
        let request = self.request;
        Enqueue {
            attempt: attempt.into(),
            boot: self.peer().incarnation.boot.0,
            service: request.id.service.clone(),
            organisation: request.id.organisation.clone(),
            rank: request.rank.0,
            revision: request.version.revision.0,
            floor: self.assignment.floor.rank.0,
            floor_ms: u32::try_from(self.assignment.floor.remaining.as_millis())
                .unwrap_or(u32::MAX),
            remaining_ms: u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX),
            cost: request.cost.clone().into(),
            keep_answer: request.needs_claim(),
            finish_alone: request.runs_to_completion(),
            finish_late: request.finish_late,
            weight: request.weight,
            method: request.method.to_string(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
        }
    }
}

async fn wait_until_ready(frames: &mut Frames) -> Result<(), OfferError> {
    loop {
        match frames.next().await {
            Ok(Frame::Ready) => return Ok(()),
            frame => check_ungranted(frame)?,
        }
    }
}

/// Waits until an attempt that has not been granted fails or its connection is lost.
async fn wait_until_lost(frames: &mut Frames) -> OfferError {
    loop {
        if let Err(error) = check_ungranted(frames.next().await) {
            return error;
        }
    }
}

/// Checks a frame of an attempt that has not been granted.
fn check_ungranted(frame: Result<Frame, CallError>) -> Result<(), OfferError> {
    match frame {
        Ok(Frame::Heartbeat { .. } | Frame::Ready) => Ok(()),
        Ok(Frame::Failed(failure)) => {
            // Nothing was granted, so nothing has run, whatever verdict the sidecar gives.
            let failure = Failure {
                verdict: Verdict::NotRun,
                ..failure_from_wire(failure)
            };
            Err(OfferError::NotRun(failure))
        }
        Ok(_) => Err(OfferError::NotRun(Failure::not_run(Reason::ConnectionLost))),
        Err(error) => Err(connection_lost(error)),
    }
}

fn closing() -> OfferError {
    OfferError::Failed(Failure::not_run(Reason::Closing))
}

fn connection_lost(_: CallError) -> OfferError {
    OfferError::NotRun(Failure::not_run(Reason::ConnectionLost))
}
