//! Model of a router that serves one submission of the request. It drives the real claim machine
//! and grant tracker.

use {
    crate::{
        model::{Message, Model, Safeguard},
        world::{World, incarnation},
    },
    tamarackdale_core::{
        attempt::Resumption,
        claim::{Action, Event, Machine, Nonce, Record},
        failure::{Failure, Reason},
        grant::GrantTracker,
        id::{Attempt, Boot},
        time::Timestamp,
        verdict::Verdict,
    },
};

const DEADLINE: Timestamp = Timestamp::from_micros(u64::MAX);
const FINGERPRINT: u64 = 1;

/// Reply to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reply {
    Ran(Attempt),
    NotRun,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Offer {
    pub attempt: Attempt,
    pub sidecar: usize,
    pub boot: Boot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Pending {
    Store,
    Sidecar,
    Inquiry(Attempt),
}

#[derive(Clone, Debug, Hash)]
pub struct Router {
    index: usize,
    pub offers: Vec<Offer>,
    grants: GrantTracker,
    claim: Option<(Machine, Attempt)>,
    granted: Option<Attempt>,
    withdrawn: Vec<Attempt>,
    pending: Option<Pending>,
    call: u8,
    pub reply: Option<Reply>,
}

impl Router {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            offers: Vec::new(),
            grants: GrantTracker::new(),
            claim: None,
            granted: None,
            withdrawn: Vec::new(),
            pending: None,
            call: 0,
            reply: None,
        }
    }

    /// Whether the router still waits for the response to this call.
    pub fn awaits(&self, call: u8) -> bool {
        self.reply.is_none() && self.pending.is_some() && self.call == call
    }

    pub fn is_waiting(&self) -> bool {
        self.reply.is_none() && self.pending.is_some()
    }

    pub fn can_inquire(&self) -> bool {
        self.reply.is_none() && self.pending.is_none() && self.granted.is_some()
    }

    pub fn can_give_up(&self) -> bool {
        self.reply.is_none() && (self.claim.is_some() || self.grants.verdict() == Verdict::NotRun)
    }

    fn reply(&mut self, reply: Reply) {
        self.reply = Some(reply);
        self.claim = None;
        self.pending = None;
    }

    fn fail(&mut self, failure: Failure) {
        self.reply(match failure.verdict {
            Verdict::NotRun => Reply::NotRun,
            _ => Reply::MayHaveRun,
        });
    }

    /// Records that a granted attempt is proved void.
    fn release(&mut self, attempt: Attempt) {
        self.grants.release(attempt);
        self.granted = None;
        self.withdrawn.push(attempt);
    }
}

impl World {
    /// The router offers the request to a sidecar.
    pub fn offer(&mut self, router: usize, sidecar: usize) {
        let offers = &mut self.routers[router].offers;
        let offer = Offer {
            attempt: Attempt {
                router: Boot(router as u64),
                sequence: offers.len() as u64,
            },
            sidecar,
            boot: self.sidecars[sidecar].boot(),
        };
        offers.push(offer);
        self.send(Message::Enqueue {
            sidecar,
            attempt: offer.attempt,
            boot: offer.boot,
        });
    }

    /// The router's last call times out.
    pub fn time_out(&mut self, router: usize) {
        match self.routers[router].pending.take() {
            Some(Pending::Store) => self.advance(router, Event::NoResponse),
            Some(Pending::Sidecar) => self.advance(router, Event::Unreachable),
            _ => (),
        }
    }

    /// The router asks for the outcome of the attempt that it granted.
    pub fn inquire(&mut self, router: usize) {
        let granted = self.routers[router].granted;
        let offers = &self.routers[router].offers;
        let offer = *offers
            .iter()
            .find(|offer| Some(offer.attempt) == granted)
            .expect("a granted attempt was offered");
        self.send_resume(router, offer, Pending::Inquiry(offer.attempt));
    }

    /// The deadline of the router's request passes.
    pub fn give_up(&mut self, router: usize) {
        let router = &mut self.routers[router];
        let failure = Failure::not_run(Reason::DeadlinePassed);
        let Some((machine, _)) = &mut router.claim else {
            return router.fail(failure);
        };
        if let Some(step) = machine.abandon(failure)
            && let Action::Fail(failure) = step.action
        {
            router.fail(failure);
        }
    }

    /// A router receives a message.
    pub fn receive(&mut self, message: Message, model: &Model) {
        match message {
            Message::Ready(attempt) => self.handle_ready(attempt, model),
            Message::Failed(attempt, failure) => self.handle_failure(attempt, failure),
            Message::Granted(attempt, Ok(())) => {
                let router = &mut self.routers[attempt.router.0 as usize];
                if router.granted == Some(attempt) {
                    router.reply(Reply::Ran(attempt));
                }
            }
            Message::Granted(attempt, Err(failure)) => self.handle_failure(attempt, failure),
            Message::Resumed {
                router, resumption, ..
            } => self.handle_resumption(router, resumption),
            Message::Response { router, event, .. } => {
                self.routers[router].pending = None;
                self.advance(router, event);
            }
            other => unreachable!("{other:?} is not for a router"),
        }
    }

    fn handle_ready(&mut self, attempt: Attempt, model: &Model) {
        let index = attempt.router.0 as usize;
        let router = &mut self.routers[index];
        let reserved = router.grants.reserve(attempt);
        if reserved.is_err() && model.has(Safeguard::OneGrant) {
            return;
        }
        let offer = router.offers[attempt.sequence as usize];
        if !model.claimed {
            return self.grant(index, offer);
        }
        let nonce = match model.has(Safeguard::Nonce) {
            true => Nonce(attempt.router.0 << 32 | attempt.sequence),
            false => Nonce(0),
        };
        let record = Record {
            nonce,
            incarnation: incarnation(offer.sidecar, offer.boot),
            attempt,
            fingerprint: FINGERPRINT,
        };
        let withdrawn = &self.routers[index].withdrawn;
        let mut machine = Machine::new(record, DEADLINE).with_withdrawn(withdrawn);
        let action = machine.start().action;
        self.routers[index].claim = Some((machine, attempt));
        self.perform(index, action);
    }

    fn handle_failure(&mut self, attempt: Attempt, failure: Failure) {
        let router = &mut self.routers[attempt.router.0 as usize];
        if router.granted != Some(attempt) {
            return;
        }
        match router.grants.refine_verdict(failure).verdict {
            Verdict::NotRun => router.release(attempt),
            _ => router.fail(failure),
        }
    }

    fn handle_resumption(&mut self, index: usize, resumption: Resumption) {
        let router = &mut self.routers[index];
        let Some(Pending::Inquiry(attempt)) = router.pending.take() else {
            return self.advance(index, Event::Resumed(resumption));
        };
        if router.granted != Some(attempt) {
            return;
        }
        match resumption {
            Resumption::Running | Resumption::Finished => router.reply(Reply::Ran(attempt)),
            Resumption::Voided => router.release(attempt),
            Resumption::Unknown(failure) => router.fail(failure),
        }
    }

    fn advance(&mut self, index: usize, event: Event) {
        let now = self.now;
        let router = &mut self.routers[index];
        let step = match &mut router.claim {
            Some((machine, _)) => machine.handle(event, now),
            None => None,
        };
        if let Some(step) = step {
            self.perform(index, step.action);
        }
    }

    /// Performs an action of the claim machine.
    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Create(_) | Action::Replace { .. } | Action::Read => {
                let call = self.begin_call(index, Pending::Store);
                let sent = self.now;
                self.send(Message::Call {
                    router: index,
                    call,
                    action,
                    sent,
                });
            }
            Action::Resume {
                incarnation,
                attempt,
            } => {
                let offer = Offer {
                    attempt,
                    sidecar: incarnation.instance.0.parse().expect("a sidecar's number"),
                    boot: incarnation.boot,
                };
                self.send_resume(index, offer, Pending::Sidecar);
            }
            Action::Grant => {
                let router = &mut self.routers[index];
                let (_, attempt) = router.claim.take().expect("a claim is under way");
                let offer = router.offers[attempt.sequence as usize];
                self.grant(index, offer);
            }
            Action::Attach { attempt, .. } => self.routers[index].reply(Reply::Ran(attempt)),
            Action::Fail(failure) => self.routers[index].fail(failure),
        }
    }

    fn grant(&mut self, index: usize, offer: Offer) {
        self.routers[index].granted = Some(offer.attempt);
        self.send(Message::Grant {
            sidecar: offer.sidecar,
            attempt: offer.attempt,
            boot: offer.boot,
        });
    }

    fn send_resume(&mut self, index: usize, offer: Offer, pending: Pending) {
        let call = self.begin_call(index, pending);
        self.send(Message::Resume {
            sidecar: offer.sidecar,
            attempt: offer.attempt,
            boot: offer.boot,
            router: index,
            call,
        });
    }

    fn begin_call(&mut self, index: usize, pending: Pending) -> u8 {
        let router = &mut self.routers[index];
        router.pending = Some(pending);
        router.call += 1;
        router.call
    }
}
