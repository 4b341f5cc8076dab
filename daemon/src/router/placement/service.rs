//! Placement for one service.

use {
    super::{
        Assignment,
        command::PlacementRequest,
        decision_log::DecisionLog,
        floor_broadcast::FloorBroadcast,
        notice_relay::{Message, NoticeRelay},
    },
    crate::{
        quarantine,
        router::{inbound::InboundRequest, peer::Peer},
    },
    rand::Rng,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
    tamarackdale_core::{
        cost,
        failure::{Failure, Reason},
        floor::{self, Floor, Notice},
        id::{Attempt, Boot, Instance},
        limit::{Limiter, Limits, RouterShare},
        poison::{Detector, Fingerprint},
        report::Report,
        retry::{self, Budget},
        route::{Choice, Policy, Request, Table},
        service_times::ServiceTimes,
        time::Timestamp,
    },
    tamarackdale_wire::status::Decision,
};

/// Interval at which observations that are too old to matter are forgotten.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// A router's state for one service: the known sidecars, the shed floor and the limits.
pub struct Service {
    name: String,
    table: Table,
    addresses: HashMap<Instance, Address>,
    floor: Floor,
    broadcast: FloorBroadcast,
    limiter: Limiter,
    budget: Budget,
    decision_log: DecisionLog,
    /// Times of requests without an estimated cost: those that may run only once, and the others.
    service_times: HashMap<IsIdempotent, ServiceTimes>,
    /// Granted attempts of such requests, each with the time of its grant.
    running: HashMap<Attempt, (IsIdempotent, Timestamp)>,
    /// Observations of crashes, and the requests that are refused because of them.
    poison: Detector,
    notice_relay: NoticeRelay,
    /// When what is too old was last forgotten.
    pruned: Timestamp,
}

/// Whether a request may run more than once.
type IsIdempotent = bool;

/// Where a sidecar is reached.
struct Address {
    peer_listener: SocketAddr,
    data_centre: String,
}

impl Service {
    /// Creates the state of a service without sidecars.
    pub fn new(name: &str, policy: Policy, router: Boot, share: RouterShare) -> Self {
        Self {
            name: name.to_owned(),
            table: Table::new(policy, router),
            addresses: HashMap::new(),
            floor: Floor::new(floor::Settings {
                is_enabled: policy.uses_floor,
                ..floor::Settings::default()
            }),
            broadcast: FloorBroadcast::default(),
            limiter: Limiter::new(share),
            budget: Budget::new(retry::Settings::default()),
            decision_log: DecisionLog::default(),
            service_times: HashMap::new(),
            running: HashMap::new(),
            poison: Detector::new(),
            notice_relay: NoticeRelay::default(),
            pruned: Timestamp::default(),
        }
    }

    /// Counts a request against its organisation's limits.
    pub fn admit(&mut self, request: &InboundRequest, now: Timestamp) -> Result<(), Failure> {
        let organisation = &request.id.organisation;
        let limits = request
            .version
            .document
            .organisation(organisation)
            .map(|organisation| Limits {
                rate: organisation.requests_per_second,
                concurrency: organisation.concurrent,
            })
            .unwrap_or_default();
        self.limiter.acquire(organisation, limits, now)?;
        self.budget.record_first_attempt();
        Ok(())
    }

    /// Releases a request from its organisation's limits.
    pub fn release(&mut self, organisation: &str, elapsed: Duration) {
        self.limiter.release(organisation, elapsed);
    }

    /// Chooses a sidecar and counts the attempt as offered to it.
    pub fn place(
        &mut self,
        placement: &PlacementRequest,
        attempt: Attempt,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<Assignment, Failure> {
        let placed = self.try_place(placement, attempt, now, rng);
        if let Err(failure) = &placed {
            self.raise_floor_on_shed(placement, failure, now);
            self.decision_log
                .record_refusal(&placement.request, failure, now);
            log::info!(
                request:% = placement.request.id,
                tier = placement.request.tier.as_str(),
                rank = placement.request.rank.0,
                excluded = placement.excluded.len(),
                reason:% = failure.reason;
                "not routed"
            );
        }
        placed
    }

    fn try_place(
        &mut self,
        placement: &PlacementRequest,
        attempt: Attempt,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<Assignment, Failure> {
        let request = &placement.request;
        // A kept answer can be fetched. That the request does not run again is checked before the grant.
        if !request.may_have_kept_answer() {
            self.check_quarantine(request, now)?;
        }
        if !self.floor.serves(request.rank, now) {
            let remaining = self.floor.notice(now).remaining;
            return Err(Failure::not_run(Reason::Overload).with_retry_after(remaining));
        }
        if let Some(failure) = placement.previous_failure {
            self.spend_retry_budget(failure)?;
        }
        let choice = self
            .table
            .choose(&requirements(placement), &placement.excluded, now, rng)
            .map_err(|failure| self.lost_or_missing(failure))?;
        self.log_choice(request, attempt, &choice);
        self.decision_log.record_choice(request, &choice, now);
        self.assign(placement, attempt, choice, now)
    }

    /// Changes the failure that there is no sidecar to [`Reason::ConnectionLost`] while the report stream
    /// of a lost one is open: its next report adds it again, and the end of the stream removes it.
    fn lost_or_missing(&self, failure: Failure) -> Failure {
        let is_lost = |instance: &Instance| !self.table.contains(instance);
        if failure.reason == Reason::NoBackendServer && self.addresses.keys().any(is_lost) {
            return Failure {
                reason: Reason::ConnectionLost,
                ..failure
            };
        }
        failure
    }

    /// Charges the retry budget for a retry after a shed, and fails if it is exhausted. Such
    /// retries add to the overload. Retries after the loss of a sidecar are not charged, because
    /// their number is bounded by the requests that were queued there.
    fn spend_retry_budget(&mut self, previous_failure: Failure) -> Result<(), Failure> {
        if previous_failure.reason.is_shed() && !self.budget.try_retry() {
            return Err(previous_failure);
        }
        Ok(())
    }

    /// Records that an attempt has ended; `failure` is given if its sidecar did not run it. If
    /// the connection was lost, the sidecar is not chosen again before its next report.
    pub fn finish_attempt(
        &mut self,
        instance: &Instance,
        attempt: Attempt,
        failure: Option<Failure>,
    ) {
        self.remove_attempt(attempt);
        if failure.is_some_and(|failure| failure.reason == Reason::ConnectionLost) {
            self.table.remove(instance);
        }
    }

    /// Removes an attempt from the load that is accounted to its sidecar.
    pub fn remove_attempt(&mut self, attempt: Attempt) {
        self.table.record_completion(attempt);
        self.running.remove(&attempt);
    }

    /// Returns the logged decisions on a request, oldest first.
    pub fn decisions(&self, key: &str, now: Timestamp) -> Vec<Decision> {
        self.decision_log.decisions(key, now)
    }

    /// Applies a sidecar's report.
    pub fn apply_report(
        &mut self,
        report: Report,
        peer_listener: SocketAddr,
        data_centre: String,
        now: Timestamp,
    ) {
        self.floor.merge(report.floor, now);
        for notice in &report.notices {
            self.poison.merge(notice, now);
        }
        let address = Address {
            peer_listener,
            data_centre,
        };
        self.addresses
            .insert(report.incarnation.instance.clone(), address);
        self.table.update(report, now);
    }

    /// Marks an instance as accepting no new work.
    pub fn mark_leaving(&mut self, instance: &Instance) {
        self.table.mark_leaving(instance);
    }

    /// Removes an instance.
    pub fn remove_sidecar(&mut self, instance: &Instance) {
        self.table.remove(instance);
        self.addresses.remove(instance);
    }

    /// Returns the floor if it is to be sent to all sidecars now.
    pub fn floor_to_broadcast(&mut self, now: Timestamp) -> Option<Notice> {
        let notice = self.floor.notice(now);
        self.broadcast.should_send(notice, now).then_some(notice)
    }

    /// Returns the sidecars that accept work.
    pub fn peers(&self) -> Vec<Peer> {
        let incarnations = self.table.incarnations();
        incarnations
            .filter_map(|incarnation| {
                let address = self.addresses.get(&incarnation.instance)?;
                Some(Peer {
                    incarnation: incarnation.clone(),
                    address: address.peer_listener,
                })
            })
            .collect()
    }

    /// Whether any crash or quarantine is remembered.
    pub fn is_alert(&self) -> bool {
        self.poison.is_alert()
    }

    /// Records that a backend server has answered a request within `elapsed` of its grant.
    pub fn record_answer(&mut self, request: &InboundRequest, elapsed: Duration, now: Timestamp) {
        let digest = request.digest();
        self.poison.record_answer(&fingerprint(digest), now);
        if request.cost.tokens() == 0 {
            let times = self.service_times.entry(request.idempotent).or_default();
            times.record(elapsed);
        }
    }

    /// Records that an attempt has been granted.
    pub fn record_grant(&mut self, request: &InboundRequest, attempt: Attempt, now: Timestamp) {
        if request.cost.tokens() == 0 {
            self.running.insert(attempt, (request.idempotent, now));
        }
    }

    /// Returns the least time that a request is predicted to take from its grant.
    fn min_service(
        &self,
        placement: &PlacementRequest,
        choice: &Choice,
        now: Timestamp,
    ) -> Duration {
        let request = &placement.request;
        if request.cost.tokens() > 0 {
            return cost::min_time(choice.service);
        }
        let alike =
            |(is_idempotent, _): &&(IsIdempotent, Timestamp)| *is_idempotent == request.idempotent;
        // There may be thousands.
        let counted = placement.is_closing.then_some(&self.running);
        let running = counted.into_iter().flat_map(HashMap::values).filter(alike);
        let running = running.map(|(_, granted)| now.since(*granted));
        let none = ServiceTimes::default();
        let times = self.service_times.get(&request.idempotent).unwrap_or(&none);
        times.predict(running).unwrap_or_default()
    }

    /// Judges which requests crash backend servers. Called at each report, since the losses at a crash
    /// become known one after the other.
    pub fn judge_crashes(&mut self, now: Timestamp) {
        if now.since(self.pruned) >= PRUNE_INTERVAL {
            self.pruned = now;
            self.poison.prune(now);
        }
        let begun = self.poison.judge(now);
        begun.iter().for_each(quarantine::log);
    }

    /// Checks that backend servers do not crash when they run a request.
    ///
    /// Fails if it is quarantined.
    pub fn check_quarantine(
        &mut self,
        request: &InboundRequest,
        now: Timestamp,
    ) -> Result<(), Failure> {
        if !self.poison.is_alert() {
            return Ok(());
        }
        self.judge_crashes(now);
        match self.poison.quarantine(&fingerprint(request.digest()), now) {
            Some(quarantine) => {
                let remaining = quarantine.until.since(now);
                Err(Failure::not_run(Reason::Quarantined).with_retry_after(remaining))
            }
            None => Ok(()),
        }
    }

    /// Returns what sidecars are to be told now for the other routers, of which `own` is the data
    /// centre of this one.
    pub fn notices_to_tell(&mut self, own: &str, now: Timestamp) -> Vec<Message> {
        let notices: Vec<_> = self.poison.own_notices(now).collect();
        if notices.is_empty() {
            return Vec::new();
        }
        let mut sidecars: BTreeMap<String, Vec<Peer>> = BTreeMap::new();
        for peer in self.peers() {
            if let Some(address) = self.addresses.get(&peer.incarnation.instance) {
                let sidecars = sidecars.entry(address.data_centre.clone()).or_default();
                sidecars.push(peer);
            }
        }
        let relay = &mut self.notice_relay;
        relay.messages(&self.name, &notices, &sidecars, own, now)
    }

    /// Sets this router's share of the limits.
    pub fn set_share(&mut self, share: RouterShare) {
        self.limiter.set_share(share);
    }

    /// Raises the floor to the rank of a request that is shed here or was shed by a sidecar, so
    /// that nothing less urgent is served before it. This includes a request that is shed because
    /// of the floor itself: when the higher floor ends, lower ranks must still wait for this one.
    fn raise_floor_on_shed(
        &mut self,
        placement: &PlacementRequest,
        failure: &Failure,
        now: Timestamp,
    ) {
        let mut failures = placement.previous_failure.iter().chain([failure]);
        if failures.any(|failure| failure.reason.is_shed()) {
            let rank = placement.request.rank;
            self.floor.raise(rank, now);
            log::info!(service = self.name.as_str(), rank = rank.0; "floor raised");
        }
    }

    fn assign(
        &mut self,
        placement: &PlacementRequest,
        attempt: Attempt,
        choice: Choice,
        now: Timestamp,
    ) -> Result<Assignment, Failure> {
        let request = &placement.request;
        let instance = &choice.incarnation.instance;
        let Some(address) = self.addresses.get(instance) else {
            return Err(Failure::not_run(Reason::NoBackendServer));
        };
        let address = address.peer_listener;
        let min_service = self.min_service(placement, &choice, now);
        let min_wait = cost::min_time(choice.predicted.saturating_sub(choice.service));
        self.table
            .record_dispatch(instance, attempt, request.rank, &request.cost, now);
        Ok(Assignment {
            peer: Peer {
                incarnation: choice.incarnation,
                address,
            },
            attempt,
            floor: self.floor.notice(now),
            service: self.name.clone(),
            min_completion: min_wait + min_service,
            min_service,
        })
    }

    fn log_choice(&self, request: &InboundRequest, attempt: Attempt, choice: &Choice) {
        let candidates: Vec<String> = choice
            .candidates
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
            candidates = candidates.join(" "),
            sidecar:% = choice.incarnation,
            predicted_ms = choice.predicted.as_millis() as u64,
            reason:% = choice.basis;
            "routed"
        );
    }
}

/// What distinguishes a request from others.
fn fingerprint(digest: u64) -> Fingerprint {
    Fingerprint {
        request: Some(digest),
        parts: Vec::new(),
    }
}

/// Returns the properties of a request that the routing table needs.
fn requirements(placement: &PlacementRequest) -> Request {
    let request = &placement.request;
    Request::new(
        request.rank,
        &request.id.organisation,
        request.cost.clone(),
        placement.deadline,
    )
    .with_weight(request.weight)
    .with_may_be_late(request.finish_late)
}
