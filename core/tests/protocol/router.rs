//! A router that serves one submission of the request, driving the claim machine and the ledger.

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

/// What the caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Told {
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
    ledger: GrantTracker,
    claim: Option<(Machine, Attempt)>,
    granted: Option<Attempt>,
    withdrawn: Vec<Attempt>,
    pending: Option<Pending>,
    call: u8,
    pub told: Option<Told>,
}

impl Router {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            offers: Vec::new(),
            ledger: GrantTracker::new(),
            claim: None,
            granted: None,
            withdrawn: Vec::new(),
            pending: None,
            call: 0,
            told: None,
        }
    }

    /// Whether the answer to this call is still waited for.
    pub fn awaits(&self, call: u8) -> bool {
        self.told.is_none() && self.pending.is_some() && self.call == call
    }

    pub fn is_waiting(&self) -> bool {
        self.told.is_none() && self.pending.is_some()
    }

    pub fn can_inquire(&self) -> bool {
        self.told.is_none() && self.pending.is_none() && self.granted.is_some()
    }

    pub fn can_give_up(&self) -> bool {
        self.told.is_none() && (self.claim.is_some() || self.ledger.verdict() == Verdict::NotRun)
    }

    fn tell(&mut self, told: Told) {
        self.told = Some(told);
        self.claim = None;
        self.pending = None;
    }

    fn fail(&mut self, failure: Failure) {
        self.tell(match failure.verdict {
            Verdict::NotRun => Told::NotRun,
            _ => Told::MayHaveRun,
        });
    }

    /// Takes in proof that a granted attempt is void.
    fn release(&mut self, attempt: Attempt) {
        self.ledger.release(attempt);
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

    /// The router stops waiting for the answer to its last call.
    pub fn time_out(&mut self, router: usize) {
        match self.routers[router].pending.take() {
            Some(Pending::Store) => self.advance(router, Event::NoResponse),
            Some(Pending::Sidecar) => self.advance(router, Event::Unreachable),
            _ => (),
        }
    }

    /// The router asks what became of the attempt that it granted.
    pub fn inquire(&mut self, router: usize) {
        let granted = self.routers[router].granted;
        let offers = &self.routers[router].offers;
        let offer = *offers
            .iter()
            .find(|offer| Some(offer.attempt) == granted)
            .expect("a granted attempt was offered");
        self.ask(router, offer, Pending::Inquiry(offer.attempt));
    }

    /// The router's deadline passes.
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
            Message::Ready(attempt) => self.ready(attempt, model),
            Message::Failed(attempt, failure) => self.refused(attempt, failure),
            Message::Granted(attempt, Ok(())) => {
                let router = &mut self.routers[attempt.router.0 as usize];
                if router.granted == Some(attempt) {
                    router.tell(Told::Ran(attempt));
                }
            }
            Message::Granted(attempt, Err(failure)) => self.refused(attempt, failure),
            Message::Resumed {
                router, resumption, ..
            } => self.resumed(router, resumption),
            Message::Answer { router, event, .. } => {
                self.routers[router].pending = None;
                self.advance(router, event);
            }
            other => unreachable!("{other:?} is not for a router"),
        }
    }

    fn ready(&mut self, attempt: Attempt, model: &Model) {
        let index = attempt.router.0 as usize;
        let router = &mut self.routers[index];
        let reserved = router.ledger.reserve(attempt);
        if reserved.is_err() && model.keeps(Safeguard::OneGrant) {
            return;
        }
        let offer = router.offers[attempt.sequence as usize];
        if !model.claimed {
            return self.grant(index, offer);
        }
        let nonce = match model.keeps(Safeguard::Nonce) {
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
        self.act(index, action);
    }

    fn refused(&mut self, attempt: Attempt, failure: Failure) {
        let router = &mut self.routers[attempt.router.0 as usize];
        if router.granted != Some(attempt) {
            return;
        }
        match router.ledger.refine_verdict(failure).verdict {
            Verdict::NotRun => router.release(attempt),
            _ => router.fail(failure),
        }
    }

    fn resumed(&mut self, index: usize, resumption: Resumption) {
        let router = &mut self.routers[index];
        let Some(Pending::Inquiry(attempt)) = router.pending.take() else {
            return self.advance(index, Event::Resumed(resumption));
        };
        if router.granted != Some(attempt) {
            return;
        }
        match resumption {
            Resumption::Running | Resumption::Finished => router.tell(Told::Ran(attempt)),
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
            self.act(index, step.action);
        }
    }

    /// Carries out an action of the claim machine.
    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Create(_) | Action::Replace { .. } | Action::Read => {
                let call = self.begin(index, Pending::Store);
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
                self.ask(index, offer, Pending::Sidecar);
            }
            Action::Grant => {
                let router = &mut self.routers[index];
                let (_, attempt) = router.claim.take().expect("a claim is under way");
                let offer = router.offers[attempt.sequence as usize];
                self.grant(index, offer);
            }
            Action::Attach { attempt, .. } => self.routers[index].tell(Told::Ran(attempt)),
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

    fn ask(&mut self, index: usize, offer: Offer, pending: Pending) {
        let call = self.begin(index, pending);
        self.send(Message::Resume {
            sidecar: offer.sidecar,
            attempt: offer.attempt,
            boot: offer.boot,
            router: index,
            call,
        });
    }

    fn begin(&mut self, index: usize, pending: Pending) -> u8 {
        let router = &mut self.routers[index];
        router.pending = Some(pending);
        router.call += 1;
        router.call
    }
}
