//! Placement for one service.

use {
    super::{Placed, command::Wanted, decision_log::Memory, floor_broadcast::Spread},
    crate::router::{inbound::InboundRequest, peer::Peer},
    rand::Rng,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        floor::{self, Floor, Notice},
        id::{Attempt, Boot, Instance},
        limit::{Bound, Limiter, Share},
        report::Report,
        retry::{self, Budget},
        route::{Choice, Policy, Request, Table},
        time::Timestamp,
    },
    tamarackdale_wire::status::Decision,
};

/// What a router knows of one service's sidecars, and the limits that it keeps for the service.
pub struct Service {
    name: String,
    table: Table,
    addresses: HashMap<Instance, SocketAddr>,
    floor: Floor,
    spread: Spread,
    limiter: Limiter,
    budget: Budget,
    memory: Memory,
}

impl Service {
    /// A service without sidecars.
    pub fn new(name: &str, policy: Policy, router: Boot, share: Share) -> Self {
        Self {
            name: name.to_owned(),
            table: Table::new(policy, router),
            addresses: HashMap::new(),
            floor: Floor::new(floor::Settings {
                is_enabled: policy.uses_floor,
                ..floor::Settings::default()
            }),
            spread: Spread::default(),
            limiter: Limiter::new(share),
            budget: Budget::new(retry::Settings::default()),
            memory: Memory::default(),
        }
    }

    /// Takes a request into its organisation's limits.
    pub fn admit(&mut self, request: &InboundRequest, now: Timestamp) -> Result<(), Failure> {
        let organisation = &request.id.organisation;
        let bound = request
            .version
            .document
            .organisation(organisation)
            .map(|organisation| Bound {
                rate: organisation.requests_per_second,
                concurrency: organisation.concurrent,
            })
            .unwrap_or_default();
        self.limiter.acquire(organisation, bound, now)?;
        self.budget.first_attempt();
        Ok(())
    }

    /// Takes a request out of its organisation's limits.
    pub fn release(&mut self, organisation: &str, elapsed: Duration) {
        self.limiter.release(organisation, elapsed);
    }

    /// Chooses a sidecar and counts the attempt as offered to it.
    pub fn place(
        &mut self,
        wanted: &Wanted,
        attempt: Attempt,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<Placed, Failure> {
        let placed = self.try_place(wanted, attempt, now, rng);
        if let Err(failure) = &placed {
            self.note_shed(wanted, failure, now);
            self.memory.note_refusal(&wanted.request, failure, now);
            log::info!(
                request:% = wanted.request.id,
                tier = wanted.request.tier.as_str(),
                rank = wanted.request.rank.0,
                excluded = wanted.excluded.len(),
                reason:% = failure.reason;
                "not routed"
            );
        }
        placed
    }

    fn try_place(
        &mut self,
        wanted: &Wanted,
        attempt: Attempt,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<Placed, Failure> {
        let request = &wanted.request;
        if !self.floor.serves(request.rank, now) {
            let remaining = self.floor.notice(now).remaining;
            return Err(Failure::not_run(Reason::Overload).with_retry_after(remaining));
        }
        if let Some(failure) = wanted.moved {
            self.spend_retry(failure)?;
        }
        let choice = self
            .table
            .choose(&requirements(wanted), &wanted.excluded, now, rng)?;
        self.log_choice(request, attempt, &choice);
        self.memory.note_choice(request, &choice, now);
        self.offer(request, attempt, choice, now)
    }

    /// Retries after a shed add to the overload, so that they are bounded; retries after the loss
    /// of a sidecar are bounded by what waited there.
    fn spend_retry(&mut self, moved: Failure) -> Result<(), Failure> {
        if moved.reason.is_shed() && !self.budget.retry() {
            return Err(moved);
        }
        Ok(())
    }

    /// Notes that an attempt has ended, and why its sidecar did not run it, if it did not. A
    /// sidecar that does not answer is not chosen again before its next report.
    pub fn settle(&mut self, instance: &Instance, attempt: Attempt, refused: Option<Failure>) {
        self.withdraw(attempt);
        if refused.is_some_and(|failure| failure.reason == Reason::ConnectionLost) {
            self.table.gone(instance);
        }
    }

    /// Notes that an attempt is not at its sidecar.
    pub fn withdraw(&mut self, attempt: Attempt) {
        self.table.finished(attempt);
    }

    /// The remembered decisions on a request, oldest first.
    pub fn recall(&self, key: &str, now: Timestamp) -> Vec<Decision> {
        self.memory.recall(key, now)
    }

    /// Takes in a sidecar's report.
    pub fn report(&mut self, report: Report, address: SocketAddr, now: Timestamp) {
        self.floor.merge(report.floor, now);
        self.addresses
            .insert(report.incarnation.instance.clone(), address);
        self.table.update(report, now);
    }

    /// Notes that an instance takes no new work.
    pub fn leaving(&mut self, instance: &Instance) {
        self.table.leaving(instance);
    }

    /// Forgets an instance.
    pub fn gone(&mut self, instance: &Instance) {
        self.table.gone(instance);
        self.addresses.remove(instance);
    }

    /// The floor to tell all sidecars now, if it has risen or has long not been told.
    pub fn floor_to_spread(&mut self, now: Timestamp) -> Option<Notice> {
        let notice = self.floor.notice(now);
        self.spread.is_due(notice, now).then_some(notice)
    }

    /// The sidecars that take work.
    pub fn peers(&self) -> Vec<Peer> {
        let incarnations = self.table.incarnations();
        incarnations
            .filter_map(|incarnation| {
                let address = self.addresses.get(&incarnation.instance)?;
                Some(Peer {
                    incarnation: incarnation.clone(),
                    address: *address,
                })
            })
            .collect()
    }

    /// Takes over a change of the number of live routers.
    pub fn set_share(&mut self, share: Share) {
        self.limiter.set_share(share);
    }

    /// Before a request is shed, here or with a sidecar's word, nothing less urgent may be served.
    /// That holds for a refusal by the floor too: once a higher floor has ended, lower ranks still
    /// come after this one.
    fn note_shed(&mut self, wanted: &Wanted, failure: &Failure, now: Timestamp) {
        let mut failures = wanted.moved.iter().chain([failure]);
        if failures.any(|failure| failure.reason.is_shed()) {
            let rank = wanted.request.rank;
            self.floor.raise(rank, now);
            log::info!(service = self.name.as_str(), rank = rank.0; "floor raised");
        }
    }

    fn offer(
        &mut self,
        request: &InboundRequest,
        attempt: Attempt,
        choice: Choice,
        now: Timestamp,
    ) -> Result<Placed, Failure> {
        let instance = &choice.incarnation.instance;
        let Some(address) = self.addresses.get(instance).copied() else {
            return Err(Failure::not_run(Reason::NoBackendServer));
        };
        self.table
            .dispatched(instance, attempt, request.rank, &request.cost, now);
        Ok(Placed {
            peer: Peer {
                incarnation: choice.incarnation,
                address,
            },
            attempt,
            floor: self.floor.notice(now),
            service: self.name.clone(),
        })
    }

    fn log_choice(&self, request: &InboundRequest, attempt: Attempt, choice: &Choice) {
        let weighed: Vec<String> = choice
            .weighed
            .iter()
            .map(|candidate| {
                let instance = &candidate.incarnation.instance;
                format!("{instance}:{}ms", candidate.predicted.as_millis())
            })
            .collect();
        log::info!(
            request:% = request.id,
            attempt:% = attempt,
            service = self.name.as_str(),
            organisation = request.id.organisation.as_str(),
            tier = request.tier.as_str(),
            rank = request.rank.0,
            candidates = weighed.join(" "),
            sidecar:% = choice.incarnation,
            predicted_ms = choice.predicted.as_millis() as u64,
            reason:% = choice.basis;
            "routed"
        );
    }
}

/// What the routing table needs to know of a request.
fn requirements(wanted: &Wanted) -> Request {
    let request = &wanted.request;
    Request::new(
        request.rank,
        &request.id.organisation,
        request.cost.clone(),
        wanted.deadline,
    )
    .with_weight(request.weight)
    .with_may_be_late(request.finish_late)
}
