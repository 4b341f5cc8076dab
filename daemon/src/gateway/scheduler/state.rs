//! The scheduler's state and its decisions, accessed under the scheduler's lock.

use {
    super::{PlacementRequest, admission::WorkExchange},
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    tamarackdale_core::{
        admission::Admission,
        cell::Layout,
        fleet::{Choice, Demand, Fleet, Load, Shortage, limit},
        floor::{self, Floor},
        poison::Detector,
        quota::{Claim, Ledger},
        rendezvous,
        retry::{self, Budget},
        rollout::{self, Pick},
        routing_config::Organisation,
        tier::Rank,
        time::Timestamp,
        wait_policy,
        wait_queue::{SchedulingKey, Urgency, WaitQueue},
    },
    tamarackdale_platform::Settings,
    tokio::sync::oneshot,
};

/// Fraction of the retry limits that the known gateways share. The rest is a reserve for gateways
/// that are not known yet.
const RETRY_FRACTION: f64 = 0.8;

/// A request in the queue.
pub(super) struct Waiter {
    pub(super) request: PlacementRequest,
    /// Predicted time for which it occupies its slot.
    pub(super) slot_time: Duration,
    /// Until when it waits.
    pub(super) wait_until: Timestamp,
    pub(super) reply: oneshot::Sender<Choice>,
}

/// Time from the start of a gateway, and from its first reading of the registrations, within which it
/// is expected to hear its peers: after that, one that was not heard counts as unreachable.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(1_200);

/// A request that waits to be charged to its organisation's quota.
pub(super) struct QuotaWaiter {
    pub(super) organisation: Arc<Organisation>,
    pub(super) claim: Claim,
    pub(super) reply: oneshot::Sender<()>,
}

/// A request that asks for a start at a limited backend server, and so does not wait in the queue.
#[derive(Clone, Debug)]
struct Question {
    service: String,
    key: SchedulingKey,
    /// When it has ended, also if its caller has left meanwhile.
    end: Timestamp,
}

pub(super) struct State {
    pub(super) fleet: Fleet,
    pub(super) ledger: Ledger,
    /// Requests that go on with streams and wait for free units, and others that wait until this
    /// gateway, which has just started, has heard its peers.
    pub(super) quota_queue: WaitQueue<QuotaWaiter>,
    /// Shed floors by service.
    pub(super) shed_floors: HashMap<String, Floor>,
    /// Retry budgets by service.
    pub(super) retry_budgets: HashMap<String, Budget>,
    /// Admission control by service; `None` if the configuration does not call for it.
    pub(super) admissions: Option<HashMap<String, Admission>>,
    /// The work of which peers are told, and what they told that is invalid.
    pub(super) work_exchange: WorkExchange,
    /// Requests that wait for a slot at a backend server.
    pub(super) queue: WaitQueue<Waiter>,
    /// Questions for starts by backend server; one is open at each at a time.
    questions: HashMap<String, Question>,
    /// Urgency of the most urgent request that waits at each peer of the same cell, by service.
    pub(super) peer_waiting: HashMap<u64, Vec<(String, Urgency)>>,
    /// Finds parts of prompts that crash backend servers.
    pub(super) poison: Detector,
    pub(super) random: SmallRng,
    /// Random number that identifies this start of the process.
    pub(super) boot: u64,
    pub(super) data_centre: String,
    /// Connected gateways inside and outside this gateway's data centre.
    pub(super) layout: Layout,
    /// Number of known gateways, including this one.
    pub(super) known_gateways: usize,
    /// Fraction of the known gateways that are connected, including this one.
    pub(super) visible_fraction: f64,
    pub(super) retry_ratio: f64,
    pub(super) retry_extra: f64,
    /// Whether the settings ask for the ejection of failing backend servers.
    pub(super) is_ejection_requested: bool,
    /// Peers whose reports of failures were logged as invalid.
    pub(super) peers_with_invalid_reports: HashSet<u64>,
    /// Versions of the services, and the rollouts among them.
    pub(super) rollouts: rollout::Table,
    /// Number of peers' counts that were ignored, and the peers.
    pub(super) invalid_rollout_reports: u64,
    pub(super) invalid_rollout_peers: HashSet<u64>,
}

impl State {
    pub(super) fn new(boot: u64, settings: &Settings, now: Timestamp) -> Self {
        let mut state = Self {
            boot,
            fleet: Fleet::new(),
            ledger: Ledger::new(settings.bounds.quota)
                .with_unknown_peers(Timestamp::START.plus(SETTLING_TIME)),
            quota_queue: WaitQueue::new(),
            shed_floors: HashMap::new(),
            retry_budgets: HashMap::new(),
            admissions: None,
            work_exchange: WorkExchange::default(),
            queue: WaitQueue::new(),
            questions: HashMap::new(),
            peer_waiting: HashMap::new(),
            poison: Detector::new(),
            random: SmallRng::from_os_rng(),
            data_centre: settings.data_centre.clone(),
            layout: Layout::default(),
            known_gateways: 0,
            visible_fraction: 1.0,
            retry_ratio: settings.bounds.retry_ratio * RETRY_FRACTION,
            retry_extra: settings.bounds.retry_extra * RETRY_FRACTION,
            is_ejection_requested: false,
            peers_with_invalid_reports: HashSet::new(),
            rollouts: rollout::Table::new(settings.rollout),
            invalid_rollout_reports: 0,
            invalid_rollout_peers: HashSet::new(),
        };
        state.update_containment(settings, now);
        state
    }

    pub(super) fn update_settings(&mut self, settings: &Settings, now: Timestamp) {
        self.update_containment(settings, now);
        self.ledger.update_settings(settings.bounds.quota);
        self.rollouts.update_settings(settings.rollout);
        self.data_centre = settings.data_centre.clone();
        self.retry_ratio = settings.bounds.retry_ratio * RETRY_FRACTION;
        self.retry_extra = settings.bounds.retry_extra * RETRY_FRACTION;
        self.update_retry_budgets();
    }

    /// Applies this gateway's current share to each retry budget, which also caps saved retries.
    pub(super) fn update_retry_budgets(&mut self) {
        let settings = self.retry_settings();
        for budget in self.retry_budgets.values_mut() {
            budget.update_settings(settings);
        }
    }

    pub(super) fn shed_floor(&mut self, service: &str) -> &mut Floor {
        if !self.shed_floors.contains_key(service) {
            let floor = Floor::new(floor::Settings {
                hold: wait_policy::FLOOR_HOLD,
                is_enabled: true,
            });
            self.shed_floors.insert(service.to_owned(), floor);
        }
        self.shed_floors
            .get_mut(service)
            .expect("the floor was inserted above")
    }

    pub(super) fn retry_settings(&self) -> retry::Settings {
        retry::Settings {
            ratio: self.retry_ratio,
            burst: self.retry_extra / self.known_gateways.max(1) as f64,
        }
    }

    pub(super) fn retry_budget(&mut self, service: &str) -> &mut Budget {
        if !self.retry_budgets.contains_key(service) {
            let budget = Budget::new(self.retry_settings());
            self.retry_budgets.insert(service.to_owned(), budget);
        }
        self.retry_budgets
            .get_mut(service)
            .expect("the budget was inserted above")
    }

    pub(super) fn choose(
        &mut self,
        request: &PlacementRequest,
        only: Option<&str>,
        now: Timestamp,
    ) -> Result<Choice, Shortage> {
        let choice = match self.choose_version(request, request.pick, only, now) {
            Err(_) if self.may_fall_back(request, now) => {
                self.choose_version(request, Pick::Old, only, now)
            }
            choice => choice,
        }?;
        if choice.limit.is_none() || self.questions.is_empty() {
            return Ok(choice);
        }
        let urgency = self.scheduling_key(request, now).urgency(now);
        // A more urgent one that is refused its start must find that of another server.
        match self.has_more_urgent_question(&request.service, urgency, now) {
            true => Err(Shortage::Full(Duration::ZERO)),
            false => Ok(choice),
        }
    }

    fn choose_version(
        &mut self,
        request: &PlacementRequest,
        pick: Pick,
        only: Option<&str>,
        now: Timestamp,
    ) -> Result<Choice, Shortage> {
        let barred = self.barred(request, pick, now);
        let demand = Demand {
            barred_versions: &barred,
            ..demand(request, only, &self.data_centre, self.layout, now)
        };
        self.fleet.choose(&demand, now, &mut self.random)
    }

    /// Versions that a request must not be sent to.
    fn barred(&self, request: &PlacementRequest, pick: Pick, now: Timestamp) -> Vec<String> {
        let is_bound = request.version.is_some();
        self.rollouts.barred(&request.service, pick, is_bound, now)
    }

    /// Whether a request that was picked for a new version may go to the old one.
    fn may_fall_back(&self, request: &PlacementRequest, now: Timestamp) -> bool {
        let is_picked = request.pick == Pick::New && request.version.is_none();
        is_picked && self.rollouts.may_fall_back(&request.service, now)
    }

    /// Chooses a backend server with a free slot, of any data centre, for a request that would
    /// otherwise be shed. The starts at limited servers are left to more urgent requests that wait,
    /// here or at a peer.
    pub(super) fn choose_free(
        &mut self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Option<Choice> {
        let urgency = self.scheduling_key(request, now).urgency(now);
        let is_first = !self.has_more_urgent(&request.service, urgency, now);
        let pick = match self.may_fall_back(request, now) {
            true => Pick::Old,
            false => request.pick,
        };
        let barred = self.barred(request, pick, now);
        let demand = Demand {
            max_wait: Duration::ZERO,
            max_remote: None,
            barred_versions: &barred,
            ..demand(request, None, &self.data_centre, self.layout, now)
        };
        let choice = self.fleet.choose(&demand, now, &mut self.random).ok();
        choice.filter(|choice| is_first || choice.limit.is_none())
    }

    /// Whether a more urgent request of the service asks for a start.
    fn has_more_urgent_question(&self, service: &str, urgency: Urgency, now: Timestamp) -> bool {
        let mut questions = self.open_questions(now);
        questions.any(|question| question.service == service && question.key.urgency(now) < urgency)
    }

    fn open_questions(&self, now: Timestamp) -> impl Iterator<Item = &Question> {
        let questions = self.questions.values();
        questions.filter(move |question| question.end > now)
    }

    /// Records that the request that asked for a start at a backend server has its answer.
    pub(super) fn end_question(&mut self, id: &str) {
        self.questions.remove(id);
    }

    /// Whether a more urgent request of the service waits, or asks for a start, here or at a peer.
    fn has_more_urgent(&self, service: &str, urgency: Urgency, now: Timestamp) -> bool {
        let mut waiting_here = self.queue.iter();
        let mut waiting_at_peers = self.peer_waiting.values().flatten();
        waiting_here
            .any(|(key, waiter)| waiter.request.service == service && key.urgency(now) < urgency)
            || waiting_at_peers.any(|(known, waiting)| known == service && *waiting < urgency)
            || self.has_more_urgent_question(service, urgency, now)
    }

    /// Reserves capacity for a request that is about to be sent, so that the next one does not get
    /// the same slot.
    pub(super) fn reserve(&mut self, choice: &Choice, request: &PlacementRequest, now: Timestamp) {
        let request_load = choice.request_load(request.prompt);
        self.fleet.reserve(&choice.member.id, request_load, now);
        if let Some(admission) = self.admission(&request.service) {
            admission.record_start(request.subject, choice.estimate.slot_time(), now);
        }
        self.log_containment_events();
        if choice.limit.is_some() {
            let question = Question {
                service: request.service.clone(),
                key: self.scheduling_key(request, now),
                end: now.plus(limit::ASK_TIMEOUT),
            };
            self.questions.insert(choice.member.id.clone(), question);
        }
    }

    /// Number of requests of the same service that wait here with the same or a more urgent rank.
    pub(super) fn count_ahead(&self, request: &PlacementRequest) -> usize {
        let waiting = self.queue.iter();
        let ahead = waiting.filter(|(key, waiter)| {
            key.rank <= request.rank && waiter.request.competes_with(request)
        });
        ahead.count()
    }

    /// Number of requests of the service that wait here.
    pub(super) fn waiting_for(&self, service: &str) -> usize {
        let waiting = self.queue.iter();
        waiting
            .filter(|(_, waiter)| waiter.request.service == service)
            .count()
    }

    /// Whether a request waits here that is at least as urgent as a new one and may need its slot.
    pub(super) fn is_behind_waiting(
        &self,
        request: &PlacementRequest,
        urgency: Urgency,
        now: Timestamp,
    ) -> bool {
        self.queue.iter().any(|(key, waiter)| {
            waiter.request.competes_with(request) && key.urgency(now) <= urgency
        })
    }

    /// Whether the free slots are left to more urgent requests that wait at peers.
    pub(super) fn yields_to_peers(&self, service: &str, urgency: Urgency, now: Timestamp) -> bool {
        let waiting_at_peers = self.peer_waiting.values().flatten();
        let more_urgent = waiting_at_peers
            .filter(|(known, waiting)| known == service && *waiting < urgency)
            .count();
        more_urgent > 0 && wait_policy::yields_to_peers(self.free_slots(service, now), more_urgent)
    }

    /// Number of free slots for which the gateways of this cell compete.
    fn free_slots(&self, service: &str, now: Timestamp) -> usize {
        let data_centre = match self.layout.is_single_cell() {
            true => None,
            false => Some(self.data_centre.as_str()),
        };
        self.fleet.free_slots(service, data_centre, now)
    }

    /// Urgency of the most urgent request that waits here, by service.
    pub(super) fn most_urgent_waiting(&self, now: Timestamp) -> Vec<(String, Urgency)> {
        most_urgent(self.waiting(now))
    }

    /// The same with those that ask for a start, for peers: their less urgent requests come after both.
    pub(super) fn most_urgent_unserved(&self, now: Timestamp) -> Vec<(String, Urgency)> {
        let asking = self.open_questions(now);
        let asking = asking.map(|question| (question.service.as_str(), question.key.urgency(now)));
        most_urgent(self.waiting(now).chain(asking))
    }

    fn waiting(&self, now: Timestamp) -> impl Iterator<Item = (&str, Urgency)> {
        let waiting = self.queue.iter();
        waiting.map(move |(key, waiter)| (waiter.request.service.as_str(), key.urgency(now)))
    }

    /// Key that determines the position of a request in the queue.
    pub(super) fn scheduling_key(
        &self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> SchedulingKey {
        let demand = demand(request, None, &self.data_centre, self.layout, now);
        let first = self
            .fleet
            .min_first_token_time(&demand, now)
            .unwrap_or_default();
        SchedulingKey {
            rank: request.rank,
            is_resumed: request.version.is_some(),
            is_retry: request.is_retry,
            on_time_until: wait_policy::on_time_until(request.accepted, request.objective, first),
        }
    }

    /// Charges waiting requests to the quotas of their organisations, the most urgent first, as far as
    /// they fit.
    pub(super) fn admit_waiting(&mut self, now: Timestamp) {
        let mut full: Vec<String> = Vec::new();
        for number in self.quota_queue.order(now) {
            let Some((_, waiter)) = self.quota_queue.get(number) else {
                continue;
            };
            let organisation = Arc::clone(&waiter.organisation);
            let claim = waiter.claim;
            if full.contains(&organisation.name) {
                continue;
            }
            let random = self.random.random();
            let admitted = self.ledger.admit_part(&organisation, claim, random, now);
            if admitted.is_err() {
                full.push(organisation.name.clone());
                continue;
            }
            let waiter = self.quota_queue.remove(number);
            if waiter.is_none_or(|waiter| waiter.reply.send(()).is_err()) {
                self.ledger.refund(&organisation.name, claim.cost, now);
            }
        }
    }

    /// Whether a request of the organisation waits for its quota that is at least as urgent.
    pub(super) fn is_behind_quota_queue(
        &self,
        organisation: &Organisation,
        urgency: Urgency,
        now: Timestamp,
    ) -> bool {
        self.quota_queue.iter().any(|(key, waiter)| {
            waiter.organisation.name == organisation.name && key.urgency(now) <= urgency
        })
    }

    /// Number of requests of the organisation that wait for its quota, of the same or a more urgent rank.
    pub(super) fn quota_waiters(&self, organisation: &Organisation, rank: Rank) -> usize {
        let waiting = self.quota_queue.iter();
        waiting
            .filter(|(key, waiter)| {
                key.rank <= rank && waiter.organisation.name == organisation.name
            })
            .count()
    }

    /// Adds a request to the queue. Returns its number and the receiver of its placement.
    pub(super) fn enqueue(
        &mut self,
        key: SchedulingKey,
        request: PlacementRequest,
        slot_time: Duration,
        wait_until: Timestamp,
    ) -> (u64, oneshot::Receiver<Choice>) {
        let (reply, receiver) = oneshot::channel();
        let waiter = Waiter {
            slot_time,
            wait_until,
            request,
            reply,
        };
        let number = self.queue.insert(key, waiter);
        (number, receiver)
    }

    /// Raises the shed floor to the rank of a request that is shed: for a while, less urgent
    /// requests are refused.
    pub(super) fn record_shed(&mut self, request: &PlacementRequest, now: Timestamp) {
        // One that is bound to a version lacks a slot there only.
        if request.is_optional || request.version.is_some() {
            return;
        }
        if self
            .shed_floor(&request.service)
            .raise_own(request.rank, now)
        {
            log::info!(
                service = request.service.as_str(),
                rank = request.rank.0;
                "shed floor raised"
            );
        }
    }

    /// Peers where a request of the service waits that is exactly as urgent.
    fn competing_peers(&self, service: &str, urgency: Urgency) -> impl Iterator<Item = u64> {
        let peers = self.peer_waiting.iter();
        peers
            .filter(move |(_, waiting)| {
                let mut waiting = waiting.iter();
                waiting.any(|(known, at_peer)| known == service && *at_peer == urgency)
            })
            .map(|(peer, _)| *peer)
    }

    /// Places waiting requests at free slots that no gateway claimed when they were freed. If there
    /// are not enough for all competing gateways, it does so with a probability at which, on
    /// average, one of them claims a slot.
    pub(super) fn claim_unused_capacity(&mut self, now: Timestamp) {
        for (service, urgency) in self.most_urgent_waiting(now) {
            let competitors = self.competing_peers(&service, urgency).count();
            let is_enough = self.free_slots(&service, now) > competitors;
            let probability = wait_policy::claim_probability(competitors);
            if is_enough || self.random.random::<f64>() < probability {
                self.place_waiting(None, now);
                return;
            }
        }
    }

    /// Places waiting requests in the capacity that a peer has freed at backend server `id`, if
    /// this gateway wins the rendezvous hashing among the competing ones. All gateways get the same
    /// summary from the peer and so agree on the winner.
    pub(super) fn claim_freed_capacity(&mut self, peer: u64, id: &str, load: Load, now: Timestamp) {
        if self.queue.is_empty() {
            return;
        }
        let Some(member) = self.fleet.member(id) else {
            return;
        };
        // Each cell chooses its winner by itself, so only the cell of the backend server does.
        if !self.layout.is_single_cell() && member.data_centre != self.data_centre {
            return;
        }
        let service = member.service.clone();
        let mut most_urgent = self.most_urgent_waiting(now).into_iter();
        let Some((_, urgency)) = most_urgent.find(|(known, _)| *known == service) else {
            return;
        };
        // The peer that freed the capacity has already placed its own waiting requests.
        let mut competitors = self
            .competing_peers(&service, urgency)
            .filter(|competitor| *competitor != peer);
        let key = format!("{id} {peer} {} {}", load.requests, load.prompt_tokens);
        if rendezvous::ranks_highest(&key, self.boot, &mut competitors) {
            drop(competitors);
            self.place_waiting(Some(id), now);
        }
    }

    /// Places waiting requests in queue order at free capacity of any backend server, or of `only`.
    /// A request never overtakes a more urgent one of its service for which there is no capacity.
    pub(super) fn place_waiting(&mut self, only: Option<&str>, now: Timestamp) {
        self.place_waiting_before(None, only, now);
    }

    /// Like [`Self::place_waiting`], without those that must not overtake a `next` request, which is not
    /// in the queue.
    pub(super) fn place_waiting_before(
        &mut self,
        next: Option<(&PlacementRequest, Urgency)>,
        only: Option<&str>,
        now: Timestamp,
    ) {
        if self.queue.is_empty() {
            return;
        }
        let mut unplaced: Vec<PlacementRequest> = Vec::new();
        for number in self.waiting_order(now) {
            let Some((key, waiter)) = self.queue.get(number) else {
                continue;
            };
            let urgency = key.urgency(now);
            let request = waiter.request.clone();
            let is_behind_next =
                next.is_some_and(|(next, most)| most < urgency && next.competes_with(&request));
            if is_behind_next || unplaced.iter().any(|other| other.competes_with(&request)) {
                continue;
            }
            let choice = match self.yields_to_peers(&request.service, urgency, now) {
                true => None,
                false => self.choose(&request, only, now).ok(),
            };
            let Some(choice) = choice else {
                unplaced.push(request);
                continue;
            };
            let waiter = self.queue.remove(number);
            if waiter.is_some_and(|waiter| waiter.reply.send(choice.clone()).is_ok()) {
                self.reserve(&choice, &request, now);
            }
        }
    }
}

/// The most urgent of each service.
fn most_urgent<'a>(requests: impl Iterator<Item = (&'a str, Urgency)>) -> Vec<(String, Urgency)> {
    let mut found: Vec<(String, Urgency)> = Vec::new();
    for (service, urgency) in requests {
        match found.iter_mut().find(|(known, _)| known == service) {
            Some((_, most)) => *most = urgency.min(*most),
            None => found.push((service.to_owned(), urgency)),
        }
    }
    found
}

pub(super) fn demand<'a>(
    request: &'a PlacementRequest,
    only: Option<&'a str>,
    data_centre: &'a str,
    layout: Layout,
    now: Timestamp,
) -> Demand<'a> {
    Demand {
        service: &request.service,
        prompt_tokens: request.prompt,
        output_tokens: request.output,
        excluded: &request.excluded,
        required_version: request.version.as_deref(),
        begins_stream: request.begins_stream,
        max_wait: wait_policy::max_engine_wait(request.objective),
        time_left: request.deadline.since(now),
        prefix: request.prefix,
        data_centre,
        max_remote: layout.max_remote_candidates(),
        required_server: only,
        trial_use: request.trial_use,
        barred_versions: &[],
    }
}
