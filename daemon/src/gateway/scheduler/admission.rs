//! Admission control in the scheduler's state.

use {
    super::{
        PlacementRequest,
        state::{State, demand},
    },
    rand::Rng as _,
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
    tamarackdale_core::{
        admission::{Admission, Factor, Precedence, Return, Waiting, Work},
        time::Timestamp,
        wait_policy,
    },
};

/// Interval at which peers are told of the work started here.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the number of slots that this gateway uses is observed.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);

/// Most services in one peer's report, and most peers whose invalid reports are remembered.
const MAX_SERVICES: usize = 64;
const MAX_INVALID_PEERS: usize = 1_000;

/// Exchange of the work started lately with peers.
#[derive(Debug, Default)]
pub(super) struct WorkExchange {
    /// What peers are told, by service.
    pub(super) told: Vec<(String, Work)>,
    told_at: Timestamp,
    slots_observed_at: Timestamp,
    /// Number of invalid reports, and the peers that sent them.
    pub(super) invalid: u64,
    invalid_peers: HashSet<u64>,
}

impl State {
    /// Updates what peers are told of the work started here, while requests wait.
    pub(super) fn update_told_work(&mut self, now: Timestamp) {
        if self.admissions.is_none() || now.since(self.work_exchange.told_at) < TELL_INTERVAL {
            return;
        }
        self.work_exchange.told_at = now;
        let services = self.most_urgent_waiting(now).into_iter();
        let told = services.filter_map(|(service, _)| {
            let work = self.admission(&service)?.work(now);
            Some((service, work))
        });
        self.work_exchange.told = told.collect();
    }

    /// Merges what a peer has told of the work started there.
    pub(super) fn merge_work(&mut self, peer: u64, told: &[(String, Work)], now: Timestamp) {
        for (service, work) in told.iter().take(MAX_SERVICES) {
            if !self.fleet.has_service(service) {
                continue;
            }
            let Some(admission) = self.admission(service) else {
                return;
            };
            if admission.merge_work(peer, work.clone(), now).is_ok() {
                continue;
            }
            let exchange = &mut self.work_exchange;
            exchange.invalid += 1;
            let is_remembered = exchange.invalid_peers.len() < MAX_INVALID_PEERS;
            if is_remembered && exchange.invalid_peers.insert(peer) {
                log::warn!(boot = peer, service = service.as_str(); "ignoring a peer's work that is out of range");
            }
        }
    }

    /// Enables or disables admission control. The state is dropped when it is disabled.
    pub(super) fn set_admission_control(&mut self, is_enabled: bool) {
        match (is_enabled, &self.admissions) {
            (true, None) => self.admissions = Some(HashMap::new()),
            (false, Some(_)) => self.admissions = None,
            _ => return,
        }
        log::info!(is_enabled; "admission control changed");
    }

    /// Admission control of a service, if it is enabled.
    pub(super) fn admission(&mut self, service: &str) -> Option<&mut Admission> {
        let admissions = self.admissions.as_mut()?;
        if !admissions.contains_key(service) {
            admissions.insert(service.to_owned(), Admission::new());
        }
        admissions.get_mut(service)
    }

    /// Records a request that asks for a slot. Returns the predicted time for which it occupies one; zero
    /// without admission control.
    pub(super) fn record_arrival(
        &mut self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Duration {
        if self.admissions.is_none() {
            return Duration::ZERO;
        }
        let slot_time = self.predicted_slot_time(request, now);
        let (subject, rank) = (request.subject, request.rank);
        // One that was sent before, or goes on with a stream, is the same caller's.
        let is_sent_again = !request.excluded.is_empty() || request.version.is_some();
        let is_retry = request.is_retry || is_sent_again;
        if let Some(admission) = self.admission(&request.service) {
            admission.record_arrival(subject, rank, slot_time, is_retry, now);
        }
        slot_time
    }

    /// Observes the slots that this gateway uses, at limited frequency.
    pub(super) fn observe_slots(&mut self, now: Timestamp) {
        if now.since(self.work_exchange.slots_observed_at) < OBSERVE_INTERVAL {
            return;
        }
        self.work_exchange.slots_observed_at = now;
        for (service, admission) in self.admissions.iter_mut().flatten() {
            if let Some(slots) = self.fleet.own_slots(service, now) {
                admission.returns_mut().observe_slots(slots, now);
            }
        }
    }

    /// What decided the position of a request among those of its rank and stage; `None` without
    /// admission control.
    pub(super) fn factor(&self, request: &PlacementRequest, now: Timestamp) -> Option<Factor> {
        let admission = self.admissions.as_ref()?.get(&request.service)?;
        Some(admission.factor(request.subject, now))
    }

    /// When the caller of a request that is refused because of overload returns, and whether a slot is
    /// predicted to be free then. A caller that has returned does not do so again, as a rule.
    pub(super) fn assign_return(
        &mut self,
        request: &PlacementRequest,
        time_left: Duration,
        now: Timestamp,
    ) -> Return {
        let random = self.random.random();
        let slot_time = match self.admissions.is_some() {
            true => self.predicted_slot_time(request, now),
            false => Duration::ZERO,
        };
        let admission = match request.is_retry {
            true => None,
            false => self.admission(&request.service),
        };
        match admission {
            Some(admission) => {
                let returns = admission.returns_mut();
                returns.assign(request.rank, slot_time, time_left, random, now)
            }
            None => Return {
                delay: wait_policy::retry_after(time_left, random),
                is_promised: false,
            },
        }
    }

    /// Predicted time for which the request occupies a slot.
    pub(super) fn predicted_slot_time(
        &self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Duration {
        let demand = demand(request, None, &self.data_centre, self.layout, now);
        let predicted = self.fleet.min_slot_time(&demand, now);
        predicted.unwrap_or_default()
    }

    /// Ends the wait of requests that do not get a slot in time, which then take one that is free
    /// nevertheless or are shed. A stream that goes on, and a request that may stay where it is, are not
    /// refused early.
    pub(super) fn refuse_hopeless(&mut self, now: Timestamp) {
        if self.admissions.is_none() {
            return;
        }
        let mut lines: HashMap<String, Vec<Waiting>> = HashMap::new();
        for number in self.waiting_order(now) {
            let Some((_, waiter)) = self.queue.get(number) else {
                continue;
            };
            let is_refusable = waiter.request.version.is_none() && !waiter.request.is_optional;
            let wait_left = match is_refusable {
                true => waiter.wait_until.since(now),
                false => Duration::MAX,
            };
            let line = lines.entry(waiter.request.service.clone()).or_default();
            line.push(Waiting {
                number,
                slot_time: waiter.slot_time,
                wait_left,
            });
        }
        let mut refused = Vec::new();
        for (service, admission) in self.admissions.iter_mut().flatten() {
            let line = lines.get(service).map_or(&[][..], Vec::as_slice);
            let hopeless = admission.forecast_mut().hopeless(line, now);
            if !hopeless.is_empty() {
                let (refused, waiting) = (hopeless.len(), line.len());
                log::info!(service = service.as_str(), refused, waiting; "requests refused early");
            }
            refused.extend(hopeless);
        }
        // Without its sender of the reply, the wait of a request is over.
        for number in refused {
            self.queue.remove(number);
        }
    }

    /// Numbers of the waiting requests in the order in which they are served.
    pub(super) fn waiting_order(&self, now: Timestamp) -> Vec<u64> {
        let Some(admissions) = &self.admissions else {
            return self.queue.order(now);
        };
        self.queue.order_by(now, |waiter| {
            let admission = admissions.get(&waiter.request.service);
            admission.map_or(Precedence::default(), |admission| {
                admission.precedence(waiter.request.subject, waiter.slot_time, now)
            })
        })
    }
}
