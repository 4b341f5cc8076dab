//! Decides when each request is sent and to which backend server, based on the load that all
//! gateways report for each backend server.

mod admission;
mod ejection;
mod in_flight;
mod placement_request;
mod retry;
mod rollouts;
mod state;

pub use {
    in_flight::InFlightRequest,
    placement_request::PlacementRequest,
    retry::Retry,
    rollouts::{CountedAnswer, RolloutFigures},
};

use {
    self::state::{QuotaWaiter, State},
    crate::{clock::Clock, quarantine},
    rand::Rng as _,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        admission::{Factor, Return},
        cell::Layout,
        fleet::{
            Choice, Limit, Member, Members, RequestLoad, Shortage, limit,
            statement::{Notice, Report},
        },
        load_throttle::LoadThrottle,
        origin::Origin,
        poison::Fingerprint,
        quota::{Claim, QuotaExceeded, UsageHistory},
        rollout::Visibility,
        routing_config::{Organisation, RoutingConfig},
        summary::Summary,
        time::Timestamp,
        wait_policy,
        wait_queue::SchedulingKey,
    },
    tamarackdale_platform::Settings,
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
};

/// Why the scheduler cannot place a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No healthy backend server of the service is known.
    NoBackendServer,
    /// All backend servers are full, and the queue is too long or the wait for a slot timed out.
    Overload,
    /// The shed floor is raised: a more urgent rank was shed recently.
    Floor,
}

/// The scheduler that all requests of a gateway share. Its lock is held for microseconds and never
/// across an await point.
pub struct Scheduler {
    clock: Clock,
    /// Notified when the summary for peers changes.
    changed: Notify,
    state: Mutex<State>,
}

impl Scheduler {
    /// Creates a scheduler without backend servers or peers.
    pub fn new(clock: Clock, boot: u64, settings: &Settings) -> Self {
        Self {
            clock,
            changed: Notify::new(),
            state: Mutex::new(State::new(boot, settings, clock.now())),
        }
    }

    /// Waits until the summary for peers changes.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Applies changed settings.
    pub fn update_settings(&self, settings: &Settings) {
        let now = self.clock.now();
        self.lock().update_settings(settings, now);
    }

    /// Enables or disables admission control between requests of the same urgency.
    pub fn set_admission_control(&self, is_enabled: bool) {
        self.lock().set_admission_control(is_enabled);
    }

    /// Replaces the set of registered backend servers, and that of the versions at which no stream may
    /// begin yet. Called at least every second, which also bounds how long outdated observations of
    /// prompts are kept.
    pub fn update_servers(&self, members: &Members, held_back: HashSet<Origin>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.fleet.hold_back(held_back);
        // A version that is not checked must be known before its servers are.
        state.rollouts.observe_servers(members, now);
        state.fleet.update_members(members, now);
        state.poison.prune(now);
    }

    /// Replaces the versions at which no stream may begin yet, and places the requests that have waited
    /// for them.
    pub fn hold_back(&self, versions: HashSet<Origin>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.fleet.hold_back(versions);
        state.place_waiting(None, now);
    }

    /// Numbers of quarantines in force and of limited backend servers.
    pub fn protection(&self) -> (usize, usize) {
        let now = self.clock.now();
        let state = self.lock();
        (
            state.poison.quarantines(now),
            state.fleet.limited_servers(now),
        )
    }

    /// Whether any backend server accepts requests.
    pub fn has_servers(&self) -> bool {
        let now = self.clock.now();
        self.lock().fleet.has_servers(now)
    }

    /// Fraction of a service's slots that are in use by all gateways, or `None` if no backend
    /// server of the service is known.
    pub fn utilisation(&self, service: &str) -> Option<f64> {
        let now = self.clock.now();
        self.lock().fleet.utilisation(service, now)
    }

    /// Charges a request to its organisation's quota. Fails if the quota is exceeded. One that goes on
    /// with a stream waits until `wait_until` for free units, in order of `key` and before new ones. While
    /// this gateway has just started and has not heard its peers, all wait so for more than the
    /// gateway's own part.
    pub async fn admit(
        &self,
        organisation: &Arc<Organisation>,
        cost: f64,
        key: SchedulingKey,
        wait_until: Timestamp,
    ) -> Result<(), QuotaExceeded> {
        let (number, reply, wait, exceeded) = {
            let mut state = self.lock();
            let now = self.clock.now();
            // Those that wait and fit by now go first.
            state.admit_waiting(now);
            let random = state.random.random();
            let is_take_up = key.is_resumed;
            let claim = Claim { cost, is_take_up };
            let exceeded = match state.is_behind_quota_queue(organisation, key.urgency(now), now) {
                true => state.ledger.exceeded(organisation, claim, now),
                false => state.ledger.admit(organisation, claim, random, now).err(),
            };
            let Some(exceeded) = exceeded else {
                return Ok(());
            };
            let has_place = state.quota_waiters(organisation, key.rank) < wait_policy::MAX_WAITING;
            let may_wait = is_take_up || state.ledger.is_settling(now);
            if !may_wait || wait_until <= now || !has_place {
                return Err(exceeded);
            }
            let (sender, reply) = oneshot::channel();
            let waiter = QuotaWaiter {
                organisation: Arc::clone(organisation),
                claim,
                reply: sender,
            };
            let number = state.quota_queue.insert(key, waiter);
            (number, reply, wait_until.since(now), exceeded)
        };
        // Dropped, and so removed from the queue, also when the caller disconnects.
        let mut queued = QuotaGuard {
            scheduler: self,
            number,
            organisation,
            cost,
            reply,
        };
        match timeout(wait, &mut queued.reply).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(exceeded),
        }
    }

    /// Charges requests that wait for their quotas, as far as they fit. Called periodically.
    pub fn admit_waiting(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.quota_queue.is_empty() {
            state.admit_waiting(now);
        }
    }

    /// Records that the other gateways are known from now on, which are then expected to be heard.
    pub fn expect_peers(&self) {
        let until = self.clock.now().plus(state::SETTLING_TIME);
        self.lock().ledger.expect_peers(until);
    }

    /// Restores the quota use that was saved before this start.
    pub fn restore_quota_use(&self, used: HashMap<String, UsageHistory>) {
        let now = self.clock.now();
        self.lock().ledger.restore(used, now);
    }

    /// Quota use that must be saved in case all gateways restart.
    pub fn quota_use_to_save(
        &self,
        routing_config: &RoutingConfig,
    ) -> HashMap<String, UsageHistory> {
        let now = self.clock.now();
        let organisations = routing_config.organisations().iter().map(AsRef::as_ref);
        self.lock().ledger.usage_to_persist(organisations, now)
    }

    /// Refunds the quota of a request that was admitted at `admitted` and did not run.
    pub fn refund(&self, organisation: &str, cost: f64, admitted: Timestamp) {
        self.lock().ledger.refund(organisation, cost, admitted);
    }

    /// Counts a caller's request to a service, which adds to the service's retry budget.
    pub fn count_request(&self, service: &str) {
        self.lock().retry_budget(service).record_first_attempt();
    }

    /// Takes one retry from this gateway's part of the shared retry budget. Returns whether there
    /// was one left.
    fn take_retry(&self, service: &str) -> bool {
        let mut state = self.lock();
        let random = state.random.random();
        let budget = state.retry_budget(service);
        budget.try_retry() || budget.try_fraction(random)
    }

    /// Returns a retry that was taken and not used.
    fn return_retry(&self, service: &str) {
        self.lock().retry_budget(service).return_retry();
    }

    /// Chooses a backend server for the request. If all are full, the request waits in the queue as
    /// long as it can still be answered in time.
    pub async fn place(&self, request: PlacementRequest) -> Result<Choice, PlacementError> {
        let (number, reply, wait) = {
            let mut state = self.lock();
            let now = self.clock.now();
            if !state.shed_floor(&request.service).serves(request.rank, now) {
                return Err(PlacementError::Floor);
            }
            let slot_time = state.record_arrival(&request, now);
            let key = state.scheduling_key(&request, now);
            let urgency = key.urgency(now);
            // Requests that wait although a slot is free go before new ones, unless they are less urgent:
            // this one may just have been refused a start.
            state.place_waiting_before(Some((&request, urgency)), None, now);
            let must_wait = state.is_behind_waiting(&request, urgency, now)
                || state.yields_to_peers(&request.service, urgency, now);
            if !must_wait {
                match state.choose(&request, None, now) {
                    Ok(choice) => {
                        state.reserve(&choice, &request, now);
                        return Ok(choice);
                    }
                    Err(Shortage::NoServer) => return Err(PlacementError::NoBackendServer),
                    Err(Shortage::Full(_)) => {}
                }
            }
            if state.count_ahead(&request) >= wait_policy::MAX_WAITING {
                state.record_shed(&request, now);
                self.changed.notify_one();
                return Err(PlacementError::Overload);
            }
            let wait_until = wait_policy::wait_deadline(request.waiting_since, request.deadline);
            if wait_until <= now {
                drop(state);
                return self.place_or_shed(&request);
            }
            let (number, reply) = state.enqueue(key, request.clone(), slot_time, wait_until);
            self.changed.notify_one();
            (number, reply, wait_until.since(now))
        };
        // Dropped, and so removed from the queue, also when the caller disconnects.
        let _queued = QueueGuard {
            scheduler: self,
            number,
        };
        match timeout(wait, reply).await {
            Ok(Ok(choice)) => Ok(choice),
            _ => self.place_or_shed(&request),
        }
    }

    /// Places a request that cannot wait any longer at a slot that is free nevertheless, or sheds
    /// it: peers with more urgent requests may not have used the slot, or it is in a data centre
    /// whose backend servers were not considered.
    fn place_or_shed(&self, request: &PlacementRequest) -> Result<Choice, PlacementError> {
        let now = self.clock.now();
        let mut state = self.lock();
        match state.choose_free(request, now) {
            Some(choice) => {
                state.reserve(&choice, request, now);
                Ok(choice)
            }
            None => {
                state.record_shed(request, now);
                drop(state);
                self.changed.notify_one();
                Err(PlacementError::Overload)
            }
        }
    }

    /// Counts a request that is sent to a backend server.
    pub fn start_request(self: &Arc<Self>, id: &str, load: RequestLoad) -> InFlightRequest {
        self.lock().fleet.record_start(id, load);
        self.changed.notify_one();
        InFlightRequest::new(self, id, load)
    }

    /// Whether a backend server still accepts requests.
    pub fn accepts_requests(&self, id: &str) -> bool {
        let now = self.clock.now();
        self.lock().fleet.accepts_requests(id, now)
    }

    /// Whether a backend server is leaving, or is not registered any more.
    pub fn is_leaving(&self, id: &str) -> bool {
        let now = self.clock.now();
        self.lock().fleet.is_leaving(id, now)
    }

    /// Records what the response to a request that was sent at `sent` says of its backend server.
    pub fn record_notice(&self, member: &Member, notice: &Notice, sent: Timestamp) {
        let now = self.clock.now();
        let mut state = self.lock();
        let news = state
            .fleet
            .record_notice(&member.id, member.started_at_ms, notice, sent, now);
        let limit = state.fleet.limit(&member.id, now);
        drop(state);
        let (backend_server, service) = (member.id.as_str(), member.service.as_str());
        if let Some(pause) = notice.pause {
            let pause_ms = pause.as_millis() as u64;
            log::info!(backend_server, service, pause_ms; "backend server wants a pause");
        }
        if news.is_leaving {
            log::info!(backend_server, service; "backend server says that it is leaving");
            self.changed.notify_one();
        }
        if news.has_other_limit {
            self.changed.notify_one();
            match notice.limit {
                limit::Notice::Limited(_) => {
                    let per_second = limit.map(Limit::per_second);
                    log::info!(backend_server, service, per_second; "backend server names a limit");
                }
                _ => log::info!(backend_server, service; "backend server names no limit any more"),
            }
        }
    }

    /// Time after which another request to a service has a chance, if all its backend servers pause or
    /// are limited.
    pub fn return_delay(&self, service: &str) -> Option<Duration> {
        let now = self.clock.now();
        let state = self.lock();
        let pause = state.fleet.min_pause(service, now);
        let interval = state.fleet.start_interval(service, now);
        // Each gateway gets about the same part of the starts, and those that wait here go first.
        let line = state.waiting_for(service) + 1;
        let ahead = u32::try_from(line * state.known_gateways.max(1)).unwrap_or(u32::MAX);
        let turn = interval.map(|interval| interval.saturating_mul(ahead));
        pause.into_iter().chain(turn).max()
    }

    /// What is known about the limit of a backend server, if there is one.
    pub fn limit_report(&self, id: &str) -> Option<Report> {
        let now = self.clock.now();
        self.lock().fleet.limit_report(id, now)
    }

    /// Takes one start at a backend server whose starts this gateway hands out. `report` is what is
    /// known about its limit where the start is needed. Fails with the time until the next one.
    pub fn take_start(&self, report: &Report) -> Result<(), Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.fleet.merge_report(report, now);
        let share = state.visible_fraction;
        state
            .fleet
            .take_start(&report.id, report.started_at_ms, share, now)
    }

    /// Records that this gateway got a start at a limited backend server.
    pub fn record_start_granted(&self, id: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.end_question(id);
        state.fleet.record_start_granted(id, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Records that this gateway got no start at a limited backend server, where the next one is in
    /// `next`. Returns the time after which it asks again.
    pub fn record_start_refused(&self, id: &str, load: RequestLoad, next: Duration) -> Duration {
        let now = self.clock.now();
        let mut state = self.lock();
        let random = state.random.random();
        let delay = limit::ask_delay(next, state.known_gateways, random);
        state.end_question(id);
        state.fleet.record_start_refused(id, load, delay, now);
        delay
    }

    /// Whether requests must be checked, because servers have crashed lately.
    pub fn is_alert(&self) -> bool {
        self.lock().poison.is_alert()
    }

    /// Records that a request was lost when a backend server crashed. Returns the number of crashes at
    /// which this request was lost without an answer since.
    pub fn record_crash(&self, fingerprint: &Fingerprint, member: &Member) -> usize {
        let now = self.clock.now();
        let server = format!("{} {}", member.id, member.started_at_ms);
        let mut state = self.lock();
        state.poison.record_crash(fingerprint, &server, now);
        let crashes = fingerprint
            .request
            .map_or(0, |request| state.poison.crashes(request));
        drop(state);
        self.changed.notify_one();
        crashes
    }

    /// Records that a request was answered.
    pub fn record_answer(&self, fingerprint: &Fingerprint) {
        let now = self.clock.now();
        self.lock().poison.record_answer(fingerprint, now);
        self.changed.notify_one();
    }

    /// Time for which a request is refused, because it or a part of its prompt crashes backend
    /// servers.
    pub fn quarantine(&self, fingerprint: &Fingerprint) -> Option<Duration> {
        self.judge_crashes();
        let now = self.clock.now();
        let state = self.lock();
        let quarantine = state.poison.quarantine(fingerprint, now)?;
        Some(quarantine.until.since(now))
    }

    /// Judges which requests and parts of prompts crash backend servers. Called periodically, since
    /// the losses at a crash become known one after the other.
    pub fn judge_crashes(&self) {
        let now = self.clock.now();
        let begun = self.lock().poison.judge(now);
        if begun.is_empty() {
            return;
        }
        begun.iter().for_each(quarantine::log);
        self.changed.notify_one();
    }

    /// Merges a summary that a peer sent.
    pub fn merge_summary(&self, peer: u64, summary: &Summary) {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut freed_entries = Vec::new();
        for entry in &summary.entries {
            if state.fleet.merge_load(peer, &entry.id, entry.load) {
                freed_entries.push(entry);
            }
            if let Some(speed) = &entry.speed {
                state.fleet.merge_speed(&entry.id, speed);
            }
        }
        for usage in &summary.usages {
            state.ledger.merge(peer, usage, summary.is_complete, now);
        }
        // A peer's first summary contains all its counts, and later ones build on it.
        if summary.is_complete {
            state.ledger.mark_complete();
        }
        state.peer_waiting.insert(peer, summary.waits.clone());
        state.merge_rollouts(peer, summary, now);
        for (service, notice) in &summary.floors {
            state.shed_floor(service).merge(*notice, now);
        }
        for report in &summary.statements {
            state.fleet.merge_report(report, now);
        }
        for notice in &summary.poison {
            state.poison.merge(notice, now);
        }
        state.merge_work(peer, &summary.work, now);
        state.merge_health(peer, &summary.health, now);
        for entry in freed_entries {
            state.claim_freed_capacity(peer, &entry.id, entry.load, now);
        }
    }

    /// Removes a peer that was last heard at `contact`. Its load and its waiting requests no longer count; the
    /// quota that it used stays counted until the window has passed.
    pub fn remove_peer(&self, peer: u64, contact: Timestamp) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.fleet.remove_peer(peer);
        state.remove_health(peer);
        state.ledger.remove_peer(peer, contact, now);
        state.peer_waiting.remove(&peer);
        state.rollouts.remove_peer(peer);
    }

    /// Number of reports of work by peers that were ignored because a value was out of range.
    pub fn invalid_work_reports(&self) -> u64 {
        self.lock().work_exchange.invalid
    }

    /// Sets the number of connected and of known gateways, both including this one, how the
    /// connected ones form cells, and the time `lag` after which a summary has reached all of them.
    pub fn set_gateways(&self, connected: usize, known: usize, layout: Layout, lag: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.ledger.set_share(connected, known, lag, now);
        state.visible_fraction = connected as f64 / known.max(connected).max(1) as f64;
        state.layout = layout;
        state.update_containment_of_layout(now);
        let visible = Visibility {
            connected: connected.saturating_sub(1),
            has_unreachable: known > connected,
        };
        state.rollouts.set_visibility(visible, known);
        if state.known_gateways != known {
            state.known_gateways = known;
            state.update_retry_budgets();
        }
    }

    /// How the connected gateways form cells.
    pub fn layout(&self) -> Layout {
        self.lock().layout
    }

    /// This gateway's load at each backend server, its quota use, its waiting requests and its shed
    /// floors. With `is_first`, also all that it knows of quota use, for a newly connected peer.
    pub fn summary(&self, is_first: bool) -> Summary {
        let now = self.clock.now();
        let mut state = self.lock();
        state.update_told_work(now);
        let rollouts = state.rollouts.reports(now);
        let floors = state.shed_floors.iter().filter_map(|(service, floor)| {
            let notice = floor.own_notice(now)?;
            Some((service.clone(), notice))
        });
        Summary {
            entries: state.fleet.own_state().collect(),
            usages: state.ledger.usages(is_first, now).collect(),
            is_complete: state.ledger.is_complete(now),
            waits: state.most_urgent_unserved(now),
            floors: floors.collect(),
            poison: state.poison.own_notices(now).collect(),
            statements: state.fleet.own_reports().collect(),
            work: state.work_exchange.told.clone(),
            health: state.health_reports(now),
            rollouts,
            invalid_rollouts: 0,
        }
    }

    /// When the caller of a request that is refused because of overload returns if it has `time_left`,
    /// and whether a slot is predicted to be free then.
    pub fn assign_return(&self, request: &PlacementRequest, time_left: Duration) -> Return {
        let now = self.clock.now();
        self.lock().assign_return(request, time_left, now)
    }

    /// What decided the position of a request among those of its rank and stage, if it was decided by
    /// admission control.
    pub fn factor(&self, request: &PlacementRequest) -> Option<Factor> {
        let now = self.clock.now();
        self.lock().factor(request, now)
    }

    /// Replaces the loads of a summary that peers of other cells need not hear of yet.
    pub fn throttle_loads(&self, throttle: &mut LoadThrottle, summary: &mut Summary) {
        let now = self.clock.now();
        let state = self.lock();
        let free_fraction = |id: &str| state.fleet.free_fraction(id, now);
        throttle.apply(&mut summary.entries, free_fraction, now);
    }

    /// A random number in the range [0, 1).
    pub fn random(&self) -> f64 {
        self.lock().random.random()
    }

    /// Places waiting requests at free slots that no gateway claimed when they were freed. Called
    /// periodically.
    pub fn claim_unused_capacity(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.claim_unused_capacity(now);
        state.observe_slots(now);
        state.refuse_hopeless(now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request that waits for its quota from the queue when dropped. Refunds one that was charged
/// and has not gone on.
struct QuotaGuard<'a> {
    scheduler: &'a Scheduler,
    number: u64,
    organisation: &'a Organisation,
    cost: f64,
    reply: oneshot::Receiver<()>,
}

impl Drop for QuotaGuard<'_> {
    fn drop(&mut self) {
        let now = self.scheduler.clock.now();
        let mut state = self.scheduler.lock();
        state.quota_queue.remove(self.number);
        // Its caller has left after it was charged and before it went on.
        if self.reply.try_recv().is_ok() {
            let organisation = &self.organisation.name;
            state.ledger.refund(organisation, self.cost, now);
        }
    }
}

/// Removes a request from the queue when dropped.
struct QueueGuard<'a> {
    scheduler: &'a Scheduler,
    number: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.scheduler.lock().queue.remove(self.number).is_some() {
            self.scheduler.changed.notify_one();
        }
    }
}
