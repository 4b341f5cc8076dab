//! Offers a request to one sidecar, up to the grant.

use {
    super::{
        claim::{Claim, Claimed},
        responder::Responder,
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

/// An offer of a request to the sidecar that placement chose.
pub struct Offer<'a> {
    /// The router.
    pub context: &'a Context,
    /// The request.
    pub request: &'a Arc<InboundRequest>,
    /// The choice.
    pub placed: &'a Assignment,
    /// Earlier attempts of the request, which are not granted and will not be.
    pub withdrawn: &'a [id::Attempt],
    /// Deadline of the request.
    pub deadline: Timestamp,
}

/// An attempt that has been granted.
pub struct Granted {
    /// The attempt.
    pub attempt: id::Attempt,
    /// Its frames, if the connection on which it was offered still stands.
    pub frames: Option<Frames>,
}

/// Why an offer led to no dispatch.
pub enum Unserved {
    /// Proved not run here; another sidecar may be tried.
    Moved(Failure),
    /// Another attempt runs the request.
    Elsewhere {
        /// Its sidecar.
        peer: Peer,
        /// The attempt.
        attempt: id::Attempt,
    },
    /// The request is over.
    Final(Failure),
    /// The caller has gone.
    CallerGone,
}

impl Offer<'_> {
    /// Makes the offer, waits for its turn, claims the request if need be, and grants it.
    pub async fn make(self, responder: &mut Responder) -> Result<Granted, Unserved> {
        let attempt = self.placed.attempt;
        let order = self.order(attempt);
        let mut frames = self
            .context
            .peers
            .enqueue(self.peer(), &order)
            .await
            .map_err(lost)?;
        let ready = tokio::select! {
            ready = wait_until_ready(&mut frames) => ready,
            () = sleep(self.remaining()), if !self.request.finish_late => {
                Err(Unserved::Final(Failure::not_run(Reason::DeadlinePassed)))
            }
            failure = self.context.claims.wait_until_unavailable(), if !self.request.idempotent => {
                Err(Unserved::Final(failure))
            }
            () = responder.abandoned() => Err(Unserved::CallerGone),
        };
        let claimed = match ready {
            Ok(()) => self.claim(&mut frames, responder).await,
            Err(unserved) => Err(unserved),
        };
        if let Err(unserved) = claimed {
            self.withdraw(attempt);
            return Err(unserved);
        }
        self.grant(attempt, frames).await
    }

    /// Claims the request, if it must not run twice or its answer may be asked for again.
    async fn claim(&self, frames: &mut Frames, responder: &mut Responder) -> Result<(), Unserved> {
        if !self.request.needs_claim() {
            return Ok(());
        }
        let claim = Claim::new(
            self.context,
            self.request,
            self.placed,
            self.withdrawn,
            self.deadline,
        );
        let claimed = tokio::select! {
            claimed = claim.hold() => claimed,
            unserved = wait_until_lost(frames) => return Err(unserved),
            () = responder.abandoned() => return Err(Unserved::CallerGone),
        };
        match claimed {
            Claimed::Held => Ok(()),
            Claimed::Elsewhere { peer, attempt } => Err(Unserved::Elsewhere { peer, attempt }),
            // No other attempt is known to hold the key, so that without a claim an idempotent
            // request only loses the way back to its answer.
            Claimed::Refused(failure)
                if self.request.idempotent && failure.verdict == Verdict::NotRun =>
            {
                Ok(())
            }
            Claimed::Refused(failure) => Err(Unserved::Final(failure)),
        }
    }

    async fn grant(&self, attempt: id::Attempt, frames: Frames) -> Result<Granted, Unserved> {
        match self.context.peers.grant(self.peer(), attempt).await {
            Ok(Ok(())) => Ok(Granted {
                attempt,
                frames: Some(frames),
            }),
            Ok(Err(failure)) if failure.verdict == Verdict::NotRun => Err(Unserved::Moved(failure)),
            Ok(Err(failure)) => Err(Unserved::Final(failure)),
            // Nobody listens: the incarnation that offered the attempt is gone with it.
            Err(CallError::ConnectionRefused) => {
                Err(Unserved::Moved(Failure::not_run(Reason::ConnectionLost)))
            }
            // Only the sidecar knows; the answer's first step asks it.
            Err(CallError::NoAnswer) => Ok(Granted {
                attempt,
                frames: None,
            }),
        }
    }

    fn peer(&self) -> &Peer {
        &self.placed.peer
    }

    fn remaining(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    /// Tells the sidecar that the attempt is not wanted, without waiting for it.
    fn withdraw(&self, attempt: id::Attempt) {
        let peers = self.context.peers.clone();
        let peer = self.peer().clone();
        self.context
            .tracker
            .spawn(async move { peers.cancel(&peer, attempt).await });
    }

    fn order(&self, attempt: id::Attempt) -> Enqueue {
        let request = self.request;
        Enqueue {
            attempt: attempt.into(),
            boot: self.peer().incarnation.boot.0,
            service: request.id.service.clone(),
            organisation: request.id.organisation.clone(),
            rank: request.rank.0,
            revision: request.version.revision.0,
            floor: self.placed.floor.rank.0,
            floor_ms: u32::try_from(self.placed.floor.remaining.as_millis()).unwrap_or(u32::MAX),
            remaining_ms: u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX),
            cost: request.cost.clone().into(),
            keep_answer: request.needs_claim(),
            finish_alone: request.runs_to_completion(),
            finish_late: request.finish_late,
            weight: request.weight,
            method: request.method.to_string(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.bytes.clone(),
        }
    }
}

async fn wait_until_ready(frames: &mut Frames) -> Result<(), Unserved> {
    loop {
        match frames.next().await {
            Ok(Frame::Ready) => return Ok(()),
            frame => check_waiting(frame)?,
        }
    }
}

/// Waits until an attempt that has not been granted is void or its sidecar cannot be reached.
async fn wait_until_lost(frames: &mut Frames) -> Unserved {
    loop {
        if let Err(unserved) = check_waiting(frames.next().await) {
            return unserved;
        }
    }
}

/// Judges a frame of an attempt that has not been granted.
fn check_waiting(frame: Result<Frame, CallError>) -> Result<(), Unserved> {
    match frame {
        Ok(Frame::Heartbeat { .. } | Frame::Ready) => Ok(()),
        Ok(Frame::Failed(failure)) => {
            // Nothing was granted, so nothing ran, whatever the sidecar can prove.
            let failure = Failure {
                verdict: Verdict::NotRun,
                ..failure_from_wire(failure)
            };
            Err(Unserved::Moved(failure))
        }
        Ok(_) => Err(Unserved::Moved(Failure::not_run(Reason::ConnectionLost))),
        Err(silence) => Err(lost(silence)),
    }
}

fn lost(_: CallError) -> Unserved {
    Unserved::Moved(Failure::not_run(Reason::ConnectionLost))
}
