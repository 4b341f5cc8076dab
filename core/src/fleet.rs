//! The backend servers that a router sends requests to directly: their speed and health, their load
//! from all routers, and the choice of one for the next request.

pub mod containment;
pub mod contribution;
mod ejection;
pub mod health;
pub mod limit;
pub mod load;
pub mod pause;
pub mod speed;
pub mod statement;

pub use {
    containment::{Containment, Outcome, TrialUse},
    contribution::Contribution,
    health::Health,
    limit::Limit,
    load::{Load, RequestLoad},
    pause::Pause,
    speed::Speed,
    statement::Statements,
};

use {
    crate::{
        origin::Origin,
        rendezvous,
        time::{self, Timestamp},
    },
    rand::{Rng, RngCore, seq::IteratorRandom as _},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Relative jitter of predictions while the fleet is idle: about the error of a prediction.
const IDLE_JITTER: f64 = 0.1;

/// Relative jitter of predictions while the fleet is full, so that routers that see the same last
/// free slots do not all choose the same one.
const FULL_JITTER: f64 = 1.0;

/// Time after which a reservation that was not used expires.
const RESERVATION_TTL: Duration = Duration::from_millis(100);

/// Time that a lost request costs its caller. It is weighted with the probability of the loss.
const LOST_REQUEST_COST_S: f64 = 3.0;

/// Time after which a start at a backend server that the keeper does not know is asked for again. Its
/// registration reaches all routers within about as long.
const UNKNOWN_SERVER_DELAY: Duration = Duration::from_millis(200);

/// Registration of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Identifier, which usually changes with each start of the process.
    pub id: String,
    /// Start time of the process, in Unix milliseconds. It distinguishes two starts with the same
    /// identifier.
    pub started_at_ms: u64,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Service that it serves.
    pub service: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Version of its software; empty if it states none.
    pub version: String,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub is_leaving: bool,
}

impl Member {
    /// Where streams begin that this backend server runs.
    pub fn origin(&self) -> Origin {
        Origin {
            service: self.service.clone(),
            version: self.version.clone(),
        }
    }
}

/// All registered backend servers by identifier.
pub type Members = BTreeMap<String, Member>;

/// State of one backend server.
#[derive(Debug)]
struct Server {
    member: Member,
    /// What it has said of itself in its responses.
    statements: Statements,
    /// Load from this router.
    own: Load,
    /// Requests that have been assigned and not sent yet, each with the end of its reservation.
    reserved: Vec<(RequestLoad, Timestamp)>,
    peers: HashMap<u64, Load>,
    /// Sum of the loads in `peers`.
    peers_total: Load,
    speed: Speed,
    health: Health,
    /// When this router may ask for a start, if the server is limited.
    turn: limit::Turn,
    /// Starts that this router hands out as the keeper, if the server is limited.
    pacer: Option<limit::Pacer>,
    /// Number of measurements of the speed by this router.
    measurements: u64,
    /// When this router last received a complete response from it.
    last_response: Option<Timestamp>,
}

/// The part of a prompt that other requests share, and that an engine may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash that identifies it.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Requirements of a request for which a backend server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Service.
    pub service: &'a str,
    /// Prompt tokens; zero for a plain service, which generates no tokens.
    pub prompt_tokens: u32,
    /// Expected output tokens; zero for a plain service.
    pub output_tokens: u32,
    /// Identifiers of backend servers that must not be chosen again.
    pub excluded: &'a [String],
    /// The only version of the software that may be chosen; `None` allows any.
    pub required_version: Option<&'a str>,
    /// Whether the request begins a stream that callers may take up elsewhere, which must not begin at
    /// a version that is held back.
    pub begins_stream: bool,
    /// Longest acceptable wait for a slot.
    pub max_wait: Duration,
    /// Time left until the response must be complete.
    pub time_left: Duration,
    /// The part of the prompt that other requests share, if any.
    pub prefix: Option<SharedPrefix>,
    /// Data centre of the router.
    pub data_centre: &'a str,
    /// Maximum number of backend servers of other data centres that are considered, drawn at
    /// random; `None` considers all. With a limit, they get only requests for which they have a
    /// free slot: their load is known late, and many routers would otherwise choose the same ones.
    pub max_remote: Option<usize>,
    /// The only backend server that may be chosen; `None` allows any.
    pub required_server: Option<&'a str>,
    /// How well it is suited as a trial of an ejected backend server.
    pub trial_use: TrialUse,
    /// Versions of the software that must not be chosen now.
    pub barred_versions: &'a [String],
}

/// Predicted times of a request at one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time until a slot is free.
    pub wait: Duration,
    /// Time until the first token, or until the response of a plain service.
    pub first_token: Duration,
    /// Time until the response is complete.
    pub total: Duration,
}

/// The chosen backend server with the state on which the choice was based.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The backend server.
    pub member: Member,
    /// Predicted times of the request.
    pub estimate: Estimate,
    /// Load from all routers.
    pub load: Load,
    /// Measured speed.
    pub speed: Speed,
    /// Limit that it has named.
    pub limit: Option<Limit>,
}

/// Why no backend server can accept a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No backend server of the service is registered and healthy.
    NoServer,
    /// All are full; holds the predicted time until a slot is free.
    Full(Duration),
}

/// The backend servers known to one router.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<String, Server>,
    /// Versions at which no stream may begin yet.
    held_back: HashSet<Origin>,
    /// What backend servers without a registration have said of themselves.
    unregistered: statement::Unregistered,
    /// Failures of backend servers, if they are ejected for these.
    containment: Option<Containment>,
}

impl Estimate {
    /// Time for which the request occupies its slot.
    pub fn slot_time(&self) -> Duration {
        self.total.saturating_sub(self.wait)
    }
}

/// Order in which backend servers are chosen: trials, free slots, servers that have not just started, those
/// whose start is overdue, the least cost.
type Preference = (bool, bool, containment::Eligibility, bool, f64);

impl Choice {
    /// The load that the request adds to the chosen backend server.
    pub fn request_load(&self, prompt: u32) -> RequestLoad {
        let has_slot = self.load.requests < self.member.slots;
        RequestLoad {
            prompt_tokens: prompt,
            prompt_tokens_ahead: has_slot.then_some(self.load.prompt_tokens),
        }
    }
}

impl Fleet {
    /// Creates a fleet without backend servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the set of registered backend servers. The state of those that are still registered
    /// with the same start time is kept.
    pub fn update_members(&mut self, members: &Members, now: Timestamp) {
        self.unregistered.prune(now);
        if let Some(containment) = &mut self.containment {
            containment.update_members(members, now);
        }
        let ended = self.servers.extract_if(.., |id, server| {
            members
                .get(id)
                .is_none_or(|member| member.started_at_ms != server.member.started_at_ms)
        });
        for (id, server) in ended {
            let started_at_ms = server.member.started_at_ms;
            self.unregistered
                .insert(id, started_at_ms, server.statements, now);
        }
        for member in members.values() {
            match self.servers.get_mut(&member.id) {
                Some(server) => server.member = member.clone(),
                None => {
                    let statements = self.unregistered.take(&member.id, member.started_at_ms);
                    let server = Server::new(member.clone(), statements);
                    self.servers.insert(member.id.clone(), server);
                }
            }
        }
    }

    /// Replaces the versions at which no stream may begin yet. Takes effect before servers of them are
    /// known, if it is called before [`Self::update_members`].
    pub fn hold_back(&mut self, versions: HashSet<Origin>) {
        self.held_back = versions;
    }

    /// Records what a response says of the process of a backend server that started at
    /// `started_at_ms`, whatever registrations say later. The request was sent at `sent`. Returns
    /// what is news.
    pub fn record_notice(
        &mut self,
        id: &str,
        started_at_ms: u64,
        notice: &statement::Notice,
        sent: Timestamp,
        now: Timestamp,
    ) -> statement::News {
        match self.statements_mut(id, started_at_ms, now) {
            Some(statements) => statements.record(notice, sent, now),
            None => statement::News::default(),
        }
    }

    /// What a process has said, or `None` if a later one of the same server is known.
    fn statements_mut(
        &mut self,
        id: &str,
        started_at_ms: u64,
        now: Timestamp,
    ) -> Option<&mut Statements> {
        match self.servers.get_mut(id) {
            Some(server) if server.member.started_at_ms == started_at_ms => {
                Some(&mut server.statements)
            }
            Some(server) if server.member.started_at_ms > started_at_ms => None,
            _ => self.unregistered.get_mut(id, started_at_ms, now),
        }
    }

    /// Whether a backend server of the service is registered.
    pub fn has_service(&self, service: &str) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| server.member.service == service)
    }

    /// Whether any backend server accepts new requests.
    pub fn has_servers(&self, now: Timestamp) -> bool {
        self.servers.values().any(|server| !server.is_leaving(now))
    }

    /// The registration of a backend server.
    pub fn member(&self, id: &str) -> Option<&Member> {
        let server = self.servers.get(id)?;
        Some(&server.member)
    }

    /// Whether a backend server is registered and accepts new requests now.
    pub fn accepts_requests(&self, id: &str, now: Timestamp) -> bool {
        self.servers.get(id).is_some_and(|server| {
            !server.is_leaving(now) && !server.statements.pause.is_pausing(now)
        })
    }

    /// Whether a backend server is leaving, or is not registered any more.
    pub fn is_leaving(&self, id: &str, now: Timestamp) -> bool {
        let server = self.servers.get(id);
        server.is_none_or(|server| server.is_leaving(now))
    }

    /// Number of registered backend servers with a limit.
    pub fn limited_servers(&self, now: Timestamp) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.limit(now).is_some()).count()
    }

    /// Merges what a backend server has said to a peer.
    pub fn merge_report(&mut self, report: &statement::Report, now: Timestamp) {
        if let Some(statements) = self.statements_mut(&report.id, report.started_at_ms, now) {
            statements.merge(report);
        }
    }

    /// What registered backend servers have said to this router, for its peers.
    pub fn own_reports(&self) -> impl Iterator<Item = statement::Report> {
        self.servers.iter().filter_map(|(id, server)| {
            let started_at_ms = server.member.started_at_ms;
            server.statements.report(id, started_at_ms)
        })
    }

    /// Limit of a registered backend server.
    pub fn limit(&self, id: &str, now: Timestamp) -> Option<Limit> {
        self.servers.get(id)?.limit(now)
    }

    /// What is known about the limit of a backend server, if there is one, as a start at it is asked
    /// for.
    pub fn limit_report(&self, id: &str, now: Timestamp) -> Option<statement::Report> {
        let server = self.servers.get(id)?;
        server.limit(now)?;
        Some(statement::Report {
            id: id.to_owned(),
            started_at_ms: server.member.started_at_ms,
            leaving_since: None,
            limit: server.statements.limit.last,
        })
    }

    /// Takes one start at a backend server, as its keeper, for this router or for a peer. The
    /// fraction `share` of the limit is available. Fails with the time until the next start.
    pub fn take_start(
        &mut self,
        id: &str,
        started_at_ms: u64,
        share: f64,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let server = self.servers.get_mut(id);
        let Some(server) = server.filter(|server| server.member.started_at_ms == started_at_ms)
        else {
            return Err(UNKNOWN_SERVER_DELAY);
        };
        let Some(limit) = server.limit(now) else {
            server.pacer = None;
            return Ok(());
        };
        let pacer = server
            .pacer
            .get_or_insert_with(|| limit::Pacer::new(limit, share, now));
        pacer.take(limit, share, now)
    }

    /// Records that this router got a start at a limited backend server.
    pub fn record_start_granted(&mut self, id: &str, now: Timestamp) {
        if let Some(server) = self.servers.get_mut(id) {
            server.turn.record_grant(now);
        }
    }

    /// Records that this router got no start at a limited backend server. Requests go elsewhere for
    /// `delay`.
    pub fn record_start_refused(
        &mut self,
        id: &str,
        request: RequestLoad,
        delay: Duration,
        now: Timestamp,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.remove_reservation(request);
            server.turn.record_refusal(delay, now);
        }
    }

    /// Mean time between two starts at a service from all routers, if all its backend servers that
    /// are healthy and not leaving are limited.
    pub fn start_interval(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let servers = self.servers.values().filter(|server| {
            server.member.service == service
                && !server.is_leaving(now)
                && !self.is_ejected(server, now)
        });
        let limits: Option<Vec<f64>> = servers
            .map(|server| server.limit(now).map(Limit::per_second))
            .collect();
        let per_second: f64 = limits?.iter().sum();
        (per_second > 0.0).then(|| time::seconds(1.0 / per_second))
    }

    /// Time until the first backend server of a service ends its pause, if all that are healthy and
    /// not leaving pause.
    pub fn min_pause(&self, service: &str, now: Timestamp) -> Option<Duration> {
        let servers = self.servers.values().filter(|server| {
            server.member.service == service
                && !server.is_leaving(now)
                && (server.statements.pause.is_pausing(now) || !self.is_ejected(server, now))
        });
        let remaining = servers
            .map(|server| server.statements.pause.remaining(now))
            .min();
        remaining.filter(|remaining| !remaining.is_zero())
    }

    /// Chooses the backend server with the earliest predicted completion among those where the wait
    /// for a slot is acceptable.
    pub fn choose(
        &self,
        demand: &Demand,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Result<Choice, Shortage> {
        let jitter = self.jitter(demand.service, now);
        let considered = self.considered(demand, now, random);
        let homes = homes(&considered, demand);
        let mut best: Option<(Preference, &Server, Estimate)> = None;
        let mut min_wait: Option<Duration> = None;
        for server in considered {
            let estimate = server.estimate(demand, now);
            min_wait = Some(min_wait.map_or(estimate.wait, |known| known.min(estimate.wait)));
            let has_stale_load = demand.max_remote.is_some() && server.is_remote(demand);
            let max_wait = match has_stale_load {
                true => Duration::ZERO,
                false => demand.max_wait,
            };
            if estimate.wait > max_wait {
                continue;
            }
            let is_home = homes.contains(&server.member.id.as_str());
            let risk = self.risk(server, now);
            let cost = server.cost(&estimate, demand, is_home, risk, now)
                * (1.0 + jitter * random.random::<f64>());
            // A free slot is preferred to queueing at a faster engine, which adds no capacity.
            let is_overdue = server.limit(now).is_some() && server.turn.is_overdue(now);
            let eligibility = self.eligibility(server, demand, now);
            let rank = (
                eligibility != containment::Eligibility::Trial,
                !estimate.wait.is_zero(),
                eligibility,
                !is_overdue,
                cost,
            );
            if best.as_ref().is_none_or(|(known, ..)| rank < *known) {
                best = Some((rank, server, estimate));
            }
        }
        match (best, min_wait) {
            (Some((_, server, estimate)), _) => Ok(Choice {
                member: server.member.clone(),
                estimate,
                load: server.load(now),
                speed: server.speed,
                limit: server.limit(now),
            }),
            (None, Some(wait)) => Err(Shortage::Full(wait)),
            (None, None) if self.has_candidate_later(demand, now) => {
                let pause = self.min_pause(demand.service, now);
                Err(Shortage::Full(pause.unwrap_or_default()))
            }
            (None, None) => Err(Shortage::NoServer),
        }
    }

    fn jitter(&self, service: &str, now: Timestamp) -> f64 {
        let utilisation = self.utilisation(service, now).unwrap_or_default();
        IDLE_JITTER + (FULL_JITTER - IDLE_JITTER) * utilisation.powi(4)
    }

    /// The candidates of the router's own data centre, and as many of the others as the demand
    /// allows.
    fn considered(
        &self,
        demand: &Demand,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Vec<&Server> {
        let Some(max_remote) = demand.max_remote else {
            return self.candidates(demand, now).collect();
        };
        let (remote, mut considered): (Vec<&Server>, Vec<&Server>) = self
            .candidates(demand, now)
            .partition(|server| server.is_remote(demand));
        considered.extend(remote.into_iter().choose_multiple(random, max_remote));
        considered
    }

    fn candidates(&self, demand: &Demand, now: Timestamp) -> impl Iterator<Item = &Server> {
        self.candidates_with_held_back(demand, now)
            .filter(move |server| {
                server.admits(now)
                    && !self.is_held_back(server, demand)
                    && !server.is_barred(demand)
                    && self.eligibility(server, demand, now) != containment::Eligibility::Blocked
            })
    }

    fn is_held_back(&self, server: &Server, demand: &Demand) -> bool {
        demand.begins_stream
            && !self.held_back.is_empty()
            && self.held_back.contains(&server.member.origin())
    }

    /// Whether a backend server lacks nothing but the end of its pause, a start within its limit, the
    /// save of its version, the permission to use its version, or its return after failures.
    fn has_candidate_later(&self, demand: &Demand, now: Timestamp) -> bool {
        self.candidates_with_held_back(demand, now).any(|server| {
            // The version that began a stream gets nothing any more once it is barred.
            let is_barred = server.is_barred(demand);
            match demand.required_version {
                Some(_) if is_barred => false,
                _ => {
                    is_barred
                        || !server.admits(now)
                        || self.is_held_back(server, demand)
                        || self.eligibility(server, demand, now)
                            == containment::Eligibility::Blocked
                }
            }
        })
    }

    fn candidates_with_held_back(
        &self,
        demand: &Demand,
        now: Timestamp,
    ) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |server| {
            server.member.service == demand.service
                && !server.is_leaving(now)
                && (self.containment.is_some() || !server.health.is_ejected(now))
                && !demand.excluded.contains(&server.member.id)
                && demand
                    .required_version
                    .is_none_or(|only| only == server.member.version)
                && demand
                    .required_server
                    .is_none_or(|only| only == server.member.id)
        })
    }

    /// Shortest predicted time from getting a slot to the first token, over all candidates. `None`
    /// if there is no candidate.
    pub fn min_first_token_time(&self, demand: &Demand, now: Timestamp) -> Option<Duration> {
        self.candidates(demand, now)
            .map(|server| {
                let estimate = server.estimate(demand, now);
                estimate.first_token.saturating_sub(estimate.wait)
            })
            .min()
    }

    /// Shortest predicted time for which the request occupies a slot, over all candidates. `None` if
    /// there is no candidate.
    pub fn min_slot_time(&self, demand: &Demand, now: Timestamp) -> Option<Duration> {
        self.candidates(demand, now)
            .map(|server| server.estimate(demand, now).slot_time())
            .min()
    }

    /// Fraction of a service's slots that are in use by all routers; `None` if it has no slots.
    pub fn utilisation(&self, service: &str, now: Timestamp) -> Option<f64> {
        let mut used = 0;
        let mut slots = 0;
        for server in self.servers.values() {
            if server.member.service == service && !server.is_leaving(now) {
                used += u64::from(server.load(now).requests.min(server.member.slots));
                slots += u64::from(server.member.slots);
            }
        }
        (slots > 0).then(|| used as f64 / slots as f64)
    }

    /// Number of slots of a service's backend servers, without those that are leaving or ejected, in
    /// the part that this router has of the running requests; `None` while none run.
    pub fn own_slots(&self, service: &str, now: Timestamp) -> Option<f64> {
        let (mut slots, mut own, mut all) = (0, 0, 0);
        for server in self.servers.values() {
            let is_usable = !server.is_leaving(now) && !self.is_ejected(server, now);
            if server.member.service == service && is_usable {
                slots += u64::from(server.member.slots);
                own += u64::from(server.own.requests);
                all += u64::from(server.own.plus(server.peers_total).requests);
            }
        }
        (all > 0).then(|| slots as f64 * own as f64 / all as f64)
    }

    /// Fraction of a backend server's slots that no router uses, or `None` if it is not registered.
    pub fn free_fraction(&self, id: &str, now: Timestamp) -> Option<f64> {
        let server = self.servers.get(id)?;
        let slots = server.member.slots;
        let free = slots.saturating_sub(server.load(now).requests);
        Some(f64::from(free) / f64::from(slots.max(1)))
    }

    /// Number of free slots of a service's backend servers, in one data centre or, with `None`, in
    /// all. Those of ejected backend servers do not count, nor those of limited ones: the next start
    /// there is for the most urgent request that waits at any router.
    pub fn free_slots(&self, service: &str, data_centre: Option<&str>, now: Timestamp) -> usize {
        let servers = self.servers.values().filter(|server| {
            server.member.service == service
                && !server.is_leaving(now)
                && !self.is_ejected(server, now)
                && server.statements.pause.admits(now)
                && server.limit(now).is_none()
                && data_centre.is_none_or(|only| only == server.member.data_centre)
        });
        servers
            .map(|server| {
                let slots = server.member.slots;
                slots.saturating_sub(server.load(now).requests) as usize
            })
            .sum()
    }

    /// Number of requests of this router that run at servers of other versions of a service.
    pub fn own_requests_elsewhere(&self, service: &str, version: &str) -> u32 {
        let servers = self
            .servers
            .values()
            .filter(|server| server.member.service == service && server.member.version != version);
        servers.map(|server| server.own.requests).sum()
    }

    /// Records that this router sends a request to `id`, and removes the request's reservation.
    pub fn record_start(&mut self, id: &str, request: RequestLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.remove_reservation(request);
            server.own.add_request(request);
        }
    }

    /// Reserves a slot at `id` for a request that is about to be sent.
    pub fn reserve(&mut self, id: &str, request: RequestLoad, now: Timestamp) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reserved.retain(|(_, end)| *end > now);
            server.reserved.push((request, now.plus(RESERVATION_TTL)));
            server.statements.pause.record_request(now);
            if let Some(containment) = &mut self.containment {
                containment.record_request(id, now);
            }
            if server.limit(now).is_some() {
                server.turn.begin(now);
            }
        }
    }

    /// Records the first event of a response, which arrived `elapsed` after the request was sent.
    pub fn record_first_token(&mut self, id: &str, request: RequestLoad, elapsed: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.finish_prefill(request);
            if let Some(ahead) = request
                .prompt_tokens_ahead
                .filter(|_| request.prompt_tokens > 0)
            {
                let tokens = ahead.saturating_add(request.prompt_tokens);
                server.speed.observe_first_token(tokens, elapsed);
                server.measurements += 1;
            }
        }
    }

    /// Records that a request no longer occupies a slot at `id`.
    pub fn record_end(&mut self, id: &str, request: RequestLoad, is_prefilled: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.remove_request(request, is_prefilled);
        }
    }

    /// Records a complete response. `tokens` output tokens were generated within `decoding` after
    /// the first event, and the request occupied its slot for `occupancy`.
    pub fn record_answer(
        &mut self,
        id: &str,
        tokens: u32,
        decoding: Duration,
        occupancy: Duration,
        now: Timestamp,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.last_response = Some(now);
            server.speed.observe_decode(tokens, decoding);
            server.speed.observe_occupancy(occupancy);
            server.measurements += 1;
            server.health.record_success();
            server.statements.pause.record_answer(now);
        }
    }

    /// Records a failed request. Returns whether it caused the ejection of the backend server.
    pub fn record_failure(&mut self, id: &str, failure: health::Failure, now: Timestamp) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        if let Some(containment) = &mut self.containment {
            // The failed request still counts.
            let has_free_slot = server.load(now).requests <= server.member.slots;
            containment.record(id, failure.outcome(has_free_slot), now);
        }
        server.health.record_failure(failure, now) && self.containment.is_none()
    }

    /// Replaces the load of the peer router `peer` at `id`. Returns whether its number of requests
    /// has decreased, so that a slot may be free.
    pub fn merge_load(&mut self, peer: u64, id: &str, load: Load) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let before = server.peers.insert(peer, load).unwrap_or_default();
        server.peers_total = server.peers_total.minus(before).plus(load);
        load.requests < before.requests
    }

    /// Merges a peer's measurements of the speed of `id`.
    pub fn merge_speed(&mut self, id: &str, speed: &Speed) {
        if let Some(server) = self.servers.get_mut(id) {
            server.speed.merge(speed);
        }
    }

    /// Removes the load of a peer from all backend servers.
    pub fn remove_peer(&mut self, peer: u64) {
        for server in self.servers.values_mut() {
            let before = server.peers.remove(&peer).unwrap_or_default();
            server.peers_total = server.peers_total.minus(before);
        }
    }

    /// This router's own load at each backend server, and the measured speed. Sorted by identifier.
    pub fn own_state(&self) -> impl Iterator<Item = Contribution> {
        self.servers.iter().map(|(id, server)| Contribution {
            id: id.clone(),
            load: server.own,
            speed: (server.measurements > 0).then_some(server.speed),
            measurements: server.measurements,
        })
    }
}

impl Server {
    fn new(member: Member, statements: Statements) -> Self {
        Self {
            member,
            statements,
            own: Load::default(),
            reserved: Vec::new(),
            peers: HashMap::new(),
            peers_total: Load::default(),
            speed: Speed::new(),
            health: Health::new(),
            turn: limit::Turn::default(),
            pacer: None,
            measurements: 0,
            last_response: None,
        }
    }

    /// Whether it gets no new requests because it is leaving, by its registration or its responses.
    fn is_leaving(&self, now: Timestamp) -> bool {
        self.member.is_leaving || self.statements.is_leaving(now)
    }

    fn remove_reservation(&mut self, request: RequestLoad) {
        let mut reserved = self.reserved.iter();
        if let Some(index) = reserved.position(|(reserved, _)| *reserved == request) {
            self.reserved.remove(index);
        }
    }

    /// Limit that it has named.
    fn limit(&self, now: Timestamp) -> Option<Limit> {
        self.statements.limit.limit(now)
    }

    /// Whether it may get another request now: it does not pause, and a start may be asked for if it
    /// is limited.
    fn admits(&self, now: Timestamp) -> bool {
        self.statements.pause.admits(now) && (self.turn.is_due(now) || self.limit(now).is_none())
    }

    fn is_barred(&self, demand: &Demand) -> bool {
        demand.barred_versions.contains(&self.member.version)
    }

    fn is_remote(&self, demand: &Demand) -> bool {
        self.member.data_centre != demand.data_centre
    }

    fn load(&self, now: Timestamp) -> Load {
        let mut total = self.own.plus(self.peers_total);
        let reserved = self.reserved.iter().filter(|(_, end)| *end > now);
        for (request, _) in reserved {
            total.add_request(*request);
        }
        total
    }

    fn estimate(&self, demand: &Demand, now: Timestamp) -> Estimate {
        let load = self.load(now);
        let slots = self.member.slots.max(1);
        let wait = match load.requests.saturating_add(1).checked_sub(slots) {
            None | Some(0) => Duration::ZERO,
            Some(ahead) => self
                .speed
                .occupancy()
                .mul_f64(f64::from(ahead) / f64::from(slots)),
        };
        if demand.prompt_tokens == 0 && demand.output_tokens == 0 {
            let total = wait + self.speed.occupancy();
            return Estimate {
                wait,
                first_token: total,
                total,
            };
        }
        let pending = load.prompt_tokens.saturating_add(demand.prompt_tokens);
        let first = wait + self.speed.first_token(pending);
        Estimate {
            wait,
            first_token: first,
            total: first + self.speed.decode(demand.output_tokens),
        }
    }

    /// Predicted time in seconds, plus penalties for the risk of a lost or late request, for
    /// traffic between data centres and for a new connection.
    /// Less is better; `is_home` if the backend server is a home of the request's shared prefix,
    /// `risk` is the probability of a loss.
    fn cost(
        &self,
        estimate: &Estimate,
        demand: &Demand,
        is_home: bool,
        risk: f64,
        now: Timestamp,
    ) -> f64 {
        let mut seconds = estimate.total.as_secs_f64() + risk * LOST_REQUEST_COST_S;
        if let Some(prefix) = demand.prefix.filter(|_| !is_home) {
            seconds += self.speed.prefill_time(prefix.tokens).as_secs_f64() * PREFILL_COST_FACTOR;
        }
        let long = estimate.total.mul_f64(OUTPUT_LENGTH_FACTOR);
        let late = long.saturating_sub(demand.time_left);
        seconds += late.as_secs_f64() * LOST_REQUEST_COST_S;
        if self.is_remote(demand) {
            seconds += match demand.max_remote {
                None => CROSS_DATA_CENTRE_COST_S,
                Some(_) => CROSS_CELL_COST_S,
            };
        }
        let has_connection = self
            .last_response
            .is_some_and(|last_response| now.since(last_response) < KEEP_ALIVE);
        if !has_connection {
            seconds += NEW_CONNECTION_COST_S;
        }
        seconds
    }
}

/// Backend servers where requests with the same shared prefix are preferably run, so that it is
/// cached there: the first ones in the order of rendezvous hashing, which all routers of a data
/// centre compute alike.
fn homes<'a>(considered: &[&'a Server], demand: &Demand) -> Vec<&'a str> {
    let Some(prefix) = demand.prefix else {
        return Vec::new();
    };
    let local = considered.iter().filter(|server| !server.is_remote(demand));
    let ids = local.map(|server| server.member.id.as_str());
    rendezvous::choose(
        &prefix.hash.to_string(),
        &ids.collect::<Vec<_>>(),
        |id| id,
        HOMES,
    )
    .into_iter()
    .copied()
    .collect()
}

/// Number of homes of a shared prefix. With a second one, requests still find the prefix cached
/// while the first home is full or slow.
const HOMES: usize = 2;

/// Cost of prefilling a shared prefix away from its homes, in prefill times: the other requests of
/// the engine wait for it too.
const PREFILL_COST_FACTOR: f64 = 3.0;

/// Factor by which a response may take longer than predicted: callers' estimates of the output
/// length are often far off.
const OUTPUT_LENGTH_FACTOR: f64 = 2.5;

/// Time after a response for which the connection to the backend server is probably still open.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Cost of a new connection, in seconds: a backend server without an open connection must be faster
/// by this to be chosen.
const NEW_CONNECTION_COST_S: f64 = 0.03;

/// Cost of traffic between data centres, in seconds: a backend server in another data centre must
/// be faster by this to be chosen.
const CROSS_DATA_CENTRE_COST_S: f64 = 0.005;

/// Cost of sending a request to the data centre of another cell, in seconds: in addition to the
/// traffic, the predictions are less accurate, because the load there is known late.
const CROSS_CELL_COST_S: f64 = 0.05;
