//! State of the model: sidecars, store, network and routers; and the guarantees that it must meet.

use {
    crate::{
        model::{Faults, Message, Model, Network, Safeguard},
        router::{Reply, Router},
    },
    std::time::Duration,
    tamarackdale_core::{
        attempt::{Resumption, Table},
        claim::{self, Action, Event, Revision, Version},
        failure::Failure,
        id::{Attempt, Boot, Incarnation, Instance},
        time::Timestamp,
    },
};

/// The claim in the store.
#[derive(Clone, Debug, Hash)]
pub struct StoredClaim {
    pub version: Version,
    /// When its writer picked its lease.
    pub leased: Timestamp,
}

#[derive(Clone, Debug, Hash)]
pub struct World {
    pub now: Timestamp,
    pub faults: Faults,
    pub sidecars: Vec<Table>,
    pub routers: Vec<Router>,
    pub network: Network,
    pub store: Option<StoredClaim>,
    pub writes: i64,
    pub dispatched: Vec<Attempt>,
    pub aborted: Vec<Attempt>,
}

pub fn incarnation(sidecar: usize, boot: Boot) -> Incarnation {
    Incarnation {
        instance: Instance(sidecar.to_string()),
        boot,
    }
}

fn empty_table(boot: u64) -> Table {
    Table::new(Boot(boot))
        .with_retention(Duration::ZERO)
        .with_unacknowledged_retention(Duration::ZERO)
}

impl World {
    pub fn new(model: &Model) -> Self {
        Self {
            now: Timestamp::START,
            faults: model.faults,
            sidecars: vec![empty_table(1); model.sidecars],
            routers: (0..model.offers.len()).map(Router::new).collect(),
            network: Network::default(),
            store: None,
            writes: 0,
            dispatched: Vec::new(),
            aborted: Vec::new(),
        }
    }

    pub fn send(&mut self, message: Message) {
        self.network.0.push(message);
    }

    /// Delivers a message to its receiver.
    pub fn deliver(&mut self, message: Message, model: &Model) {
        match message {
            Message::Enqueue {
                sidecar,
                attempt,
                boot,
            } => self.enqueue(sidecar, attempt, boot, model),
            Message::Grant {
                sidecar,
                attempt,
                boot,
            } => {
                let result = self.dispatch(sidecar, attempt, boot, model);
                self.send(Message::Granted(attempt, result));
            }
            Message::Resume {
                sidecar,
                attempt,
                boot,
                router,
                call,
            } => {
                let is_takeover = attempt.router.0 != router as u64;
                let resumption = self.resume(sidecar, attempt, boot, is_takeover, model);
                self.send(Message::Resumed {
                    router,
                    call,
                    resumption,
                });
            }
            Message::Call {
                router,
                call,
                action,
                sent,
            } => {
                let event = self.apply(action, sent, model);
                self.send(Message::Response {
                    router,
                    call,
                    event,
                });
            }
            other => self.receive(other, model),
        }
    }

    fn enqueue(&mut self, sidecar: usize, attempt: Attempt, boot: Boot, model: &Model) {
        let boot = self.checked_boot(sidecar, boot, model);
        let result = self.sidecars[sidecar].enqueue(attempt, boot, self.now);
        if let Err(failure) = result {
            return self.send(Message::Failed(attempt, failure));
        }
        self.sidecars[sidecar].offer(attempt);
        self.send(Message::Ready(attempt));
        if !model.has(Safeguard::GrantBeforeDispatch) {
            self.dispatch(sidecar, attempt, boot, model).ok();
        }
    }

    fn dispatch(
        &mut self,
        sidecar: usize,
        attempt: Attempt,
        boot: Boot,
        model: &Model,
    ) -> Result<(), Failure> {
        let boot = self.checked_boot(sidecar, boot, model);
        let now = match model.has(Safeguard::Lifetime) {
            true => self.now,
            false => Timestamp::START,
        };
        self.sidecars[sidecar].grant(attempt, boot, now)?;
        self.dispatched.push(attempt);
        Ok(())
    }

    fn resume(
        &mut self,
        sidecar: usize,
        attempt: Attempt,
        boot: Boot,
        is_takeover: bool,
        model: &Model,
    ) -> Resumption {
        let boot = self.checked_boot(sidecar, boot, model);
        let is_queued = self.sidecars[sidecar].state(attempt).is_queued();
        if is_queued && is_takeover && !model.has(Safeguard::VoidBeforeTakeover) {
            return Resumption::Voided;
        }
        self.sidecars[sidecar].resume(attempt, boot, self.now)
    }

    fn checked_boot(&self, sidecar: usize, boot: Boot, model: &Model) -> Boot {
        match model.has(Safeguard::BootId) {
            true => boot,
            false => self.sidecars[sidecar].boot(),
        }
    }

    fn apply(&mut self, action: Action, sent: Timestamp, model: &Model) -> Event {
        let found = self.store.as_ref().map(|claim| claim.version.clone());
        let (record, allowed) = match action {
            Action::Create(record) => (record, found.is_none()),
            Action::Replace { record, revision } => {
                let is_current = found.as_ref().map(|version| version.revision) == Some(revision);
                let is_checked = model.has(Safeguard::CompareAndSwap);
                (record, is_current || !is_checked)
            }
            _ => return Event::Read(found),
        };
        if !allowed {
            return Event::Conflict(found);
        }
        self.writes += 1;
        let revision = Revision(self.writes);
        self.store = Some(StoredClaim {
            version: Version { record, revision },
            leased: sent,
        });
        Event::Written
    }

    /// Whether the lease of the claim may have expired.
    pub fn can_expire(&self) -> bool {
        let lifetime = claim::LEASE - claim::LEASE_ROTATION;
        self.store
            .as_ref()
            .is_some_and(|claim| self.now.since(claim.leased) >= lifetime)
    }

    pub fn restart(&mut self, sidecar: usize) {
        let boot = self.sidecars[sidecar].boot();
        self.sidecars[sidecar] = empty_table(boot.0 + 1);
    }

    /// Drops messages that have no effect any more, so that equivalent states have equal
    /// fingerprints.
    pub fn drop_stale_messages(&mut self) {
        let routers = &self.routers;
        self.network.0.retain(|message| match message {
            Message::Ready(attempt)
            | Message::Failed(attempt, _)
            | Message::Granted(attempt, _) => routers[attempt.router.0 as usize].reply.is_none(),
            Message::Resumed { router, call, .. } | Message::Response { router, call, .. } => {
                routers[*router].awaits(*call)
            }
            _ => true,
        });
    }

    /// A guarantee that this state violates.
    pub fn violation(&self, model: &Model) -> Option<&'static str> {
        let runs = |router: usize| {
            let own = |attempt: &&Attempt| attempt.router.0 == router as u64;
            self.dispatched.iter().filter(own).count()
        };
        if model.claimed && self.dispatched.len() > 1 {
            return Some("a non-idempotent request ran twice");
        }
        for (index, router) in self.routers.iter().enumerate() {
            match router.reply {
                _ if runs(index) > 1 => return Some("a request was dispatched twice"),
                Some(Reply::NotRun) if runs(index) > 0 => {
                    return Some("a request ran that was reported as not run");
                }
                Some(Reply::Ran(attempt)) if !self.ran(attempt) => {
                    return Some("a response was promised for an attempt that was not dispatched");
                }
                _ => (),
            }
        }
        None
    }

    fn ran(&self, attempt: Attempt) -> bool {
        self.dispatched.contains(&attempt) || self.aborted.contains(&attempt)
    }
}
