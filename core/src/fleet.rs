//! The backend servers that a router sends to itself: what each can do, what it is doing for all
//! routers together, and which one should take the next request.

pub mod health;
pub mod load;
pub mod speed;

pub use {
    health::Health,
    load::{Load, RequestLoad},
    speed::Speed,
};

use {
    crate::time::Timestamp,
    rand::{Rng, RngCore},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Random spread of predictions while the fleet is idle; about the error of a prediction.
const IDLE_JITTER: f64 = 0.1;

/// Random spread of predictions while the fleet is full: routers that see the same last free slots
/// must not all choose the same one.
const FULL_JITTER: f64 = 1.0;

/// Time after which room that was given and not used counts as free again.
const RESERVATION: Duration = Duration::from_millis(100);

/// Time that a lost request costs its caller, weighed by the chance that it is lost.
const LOSS_S: f64 = 3.0;

/// A backend server, as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Identifier, new with most starts.
    pub id: String,
    /// Start of the process, in Unix milliseconds: tells apart two starts under one identifier.
    pub started_at_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: String,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub is_leaving: bool,
}

/// All known backend servers by identifier.
pub type Members = BTreeMap<String, Member>;

/// A backend server with all that is known of it.
#[derive(Debug)]
struct Server {
    member: Member,
    own: Load,
    reserved: Vec<(RequestLoad, Timestamp)>,
    peers: HashMap<u64, Load>,
    /// What all peers have there together.
    peers_total: Load,
    speed: Speed,
    health: Health,
    /// When this router last got a whole answer from it.
    answered: Option<Timestamp>,
}

/// What a request asks of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Service.
    pub service: &'a str,
    /// Prompt tokens; zero at a plain service.
    pub prompt_tokens: u32,
    /// Expected output tokens; zero at a plain service.
    pub output_tokens: u32,
    /// Identifiers of backend servers that it must not be sent to again.
    pub excluded: &'a [String],
    /// Longest wait for a slot that is acceptable.
    pub max_wait: Duration,
    /// Time left until the whole answer must be there.
    pub time_left: Duration,
    /// Data centre of the router.
    pub data_centre: &'a str,
    /// The only backend server that is considered; any if none is named.
    pub required_server: Option<&'a str>,
}

/// A prediction for one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time until a slot is free.
    pub wait: Duration,
    /// Time until the first token, or the answer of a plain service.
    pub first_token: Duration,
    /// Time until the whole answer.
    pub total: Duration,
}

/// The backend server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Who.
    pub member: Member,
    /// What is predicted.
    pub estimate: Estimate,
    /// What all routers have there.
    pub load: Load,
    /// What has been learnt of it.
    pub speed: Speed,
}

/// Why no backend server can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// None of the service is known and in health.
    NoServer,
    /// All are full; the time until a slot may be free.
    Full(Duration),
}

/// The fleet as one router knows it.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<String, Server>,
}

impl Choice {
    /// What the request adds to the load.
    pub fn request_load(&self, prompt: u32) -> RequestLoad {
        let has_slot = self.load.requests < self.member.slots;
        RequestLoad {
            prompt_tokens: prompt,
            prompt_tokens_ahead: has_slot.then_some(self.load.prompt_tokens),
        }
    }
}

impl Fleet {
    /// A fleet of which nobody is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over who is registered. What was learnt of those that stay is kept.
    pub fn update_members(&mut self, roster: &Members) {
        self.servers.retain(|id, server| {
            roster
                .get(id)
                .is_some_and(|member| member.started_at_ms == server.member.started_at_ms)
        });
        for member in roster.values() {
            match self.servers.get_mut(&member.id) {
                Some(server) => server.member = member.clone(),
                None => {
                    self.servers
                        .insert(member.id.clone(), Server::new(member.clone()));
                }
            }
        }
    }

    /// Whether any backend server takes new work.
    pub fn has_servers(&self) -> bool {
        self.servers
            .values()
            .any(|server| !server.member.is_leaving)
    }

    /// The service of a backend server that is known.
    pub fn service_of(&self, id: &str) -> Option<&str> {
        let server = self.servers.get(id)?;
        Some(&server.member.service)
    }

    /// Whether a backend server may still get new work.
    pub fn accepts_requests(&self, id: &str) -> bool {
        self.servers
            .get(id)
            .is_some_and(|server| !server.member.is_leaving)
    }

    /// Chooses the backend server that is predicted to finish first among those that can start in
    /// time.
    pub fn choose(
        &self,
        demand: &Demand,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Result<Choice, Shortage> {
        let jitter = self.jitter(demand.service, now);
        let mut best: Option<((bool, f64), &Server, Estimate)> = None;
        let mut soonest: Option<Duration> = None;
        for server in self.candidates(demand, now) {
            let estimate = server.estimate(demand, now);
            soonest = Some(soonest.map_or(estimate.wait, |known| known.min(estimate.wait)));
            if estimate.wait > demand.max_wait {
                continue;
            }
            let cost =
                server.cost(&estimate, demand, now) * (1.0 + jitter * random.random::<f64>());
            // A free slot goes before the queue of a faster engine, which adds no capacity.
            let rank = (!estimate.wait.is_zero(), cost);
            if best.as_ref().is_none_or(|(known, ..)| rank < *known) {
                best = Some((rank, server, estimate));
            }
        }
        match (best, soonest) {
            (Some((_, server, estimate)), _) => Ok(Choice {
                member: server.member.clone(),
                estimate,
                load: server.load(now),
                speed: server.speed,
            }),
            (None, Some(wait)) => Err(Shortage::Full(wait)),
            (None, None) => Err(Shortage::NoServer),
        }
    }

    fn jitter(&self, service: &str, now: Timestamp) -> f64 {
        let utilisation = self.utilisation(service, now).unwrap_or_default();
        IDLE_JITTER + (FULL_JITTER - IDLE_JITTER) * utilisation.powi(4)
    }

    fn candidates(&self, demand: &Demand, now: Timestamp) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |server| {
            server.member.service == demand.service
                && !server.member.is_leaving
                && !server.health.is_ejected(now)
                && !demand.excluded.contains(&server.member.id)
                && demand
                    .required_server
                    .is_none_or(|only| only == server.member.id)
        })
    }

    /// Time from a slot to the first event at the backend server that is soonest with it, in case
    /// it has one to give.
    pub fn min_first_token_time(&self, demand: &Demand, now: Timestamp) -> Option<Duration> {
        self.candidates(demand, now)
            .map(|server| {
                let estimate = server.estimate(demand, now);
                estimate.first_token.saturating_sub(estimate.wait)
            })
            .min()
    }

    /// Part of a service's slots that are taken, over all routers; none if nobody is known.
    pub fn utilisation(&self, service: &str, now: Timestamp) -> Option<f64> {
        let mut taken = 0;
        let mut slots = 0;
        for server in self.servers.values() {
            if server.member.service == service && !server.member.is_leaving {
                taken += server.load(now).requests.min(server.member.slots);
                slots += server.member.slots;
            }
        }
        (slots > 0).then(|| f64::from(taken) / f64::from(slots))
    }

    /// Notes that this router sends a request to `id`; a reservation for it is used up.
    pub fn record_start(&mut self, id: &str, share: RequestLoad) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reserved.pop();
            server.own.add_request(share);
        }
    }

    /// Counts a request that has been given room at `id` and will be sent in a moment.
    pub fn reserve(&mut self, id: &str, share: RequestLoad, now: Timestamp) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reserved.retain(|(_, end)| *end > now);
            server.reserved.push((share, now.plus(RESERVATION)));
        }
    }

    /// Notes the first event of a request's answer, `elapsed` after it was sent.
    pub fn record_first_token(&mut self, id: &str, share: RequestLoad, elapsed: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.finish_prefill(share);
            if let Some(ahead) = share
                .prompt_tokens_ahead
                .filter(|_| share.prompt_tokens > 0)
            {
                let tokens = ahead.saturating_add(share.prompt_tokens);
                server.speed.observe_first_token(tokens, elapsed);
            }
        }
    }

    /// Notes that a request no longer occupies `id`.
    pub fn record_end(&mut self, id: &str, share: RequestLoad, has_begun: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.remove_request(share, has_begun);
        }
    }

    /// Learns from a whole answer: `tokens` of output after the first event took `decoding`, and
    /// the request occupied its slot for `stay`.
    pub fn record_answer(
        &mut self,
        id: &str,
        tokens: u32,
        decoding: Duration,
        stay: Duration,
        now: Timestamp,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.answered = Some(now);
            server.speed.observe_decode(tokens, decoding);
            server.speed.observe_occupancy(stay);
            server.health.record_success();
        }
    }

    /// Notes a failure; returns whether the backend server is ejected by it.
    pub fn record_failure(&mut self, id: &str, failure: health::Failure, now: Timestamp) -> bool {
        match self.servers.get_mut(id) {
            Some(server) => server.health.record_failure(failure, now),
            None => false,
        }
    }

    /// Takes in what the peer numbered `peer` does at `id`; returns whether that has become less,
    /// so that there may be room.
    pub fn merge_load(&mut self, peer: u64, id: &str, load: Load) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let before = server.peers.insert(peer, load).unwrap_or_default();
        server.peers_total = server.peers_total.minus(before).plus(load);
        load.requests < before.requests
    }

    /// Takes in what a peer has learnt of the speed of `id`.
    pub fn merge_speed(&mut self, id: &str, speed: &Speed) {
        if let Some(server) = self.servers.get_mut(id) {
            server.speed.merge(speed);
        }
    }

    /// Forgets what a peer did.
    pub fn remove_peer(&mut self, peer: u64) {
        for server in self.servers.values_mut() {
            let before = server.peers.remove(&peer).unwrap_or_default();
            server.peers_total = server.peers_total.minus(before);
        }
    }

    /// What this router does at each backend server, and what it has learnt.
    pub fn own_state(&self) -> impl Iterator<Item = (&str, Load, &Speed)> {
        self.servers
            .iter()
            .map(|(id, server)| (id.as_str(), server.own, &server.speed))
    }
}

impl Server {
    fn new(member: Member) -> Self {
        Self {
            member,
            own: Load::default(),
            reserved: Vec::new(),
            peers: HashMap::new(),
            peers_total: Load::default(),
            speed: Speed::new(),
            health: Health::new(),
            answered: None,
        }
    }

    fn load(&self, now: Timestamp) -> Load {
        let mut total = self.own.plus(self.peers_total);
        let reserved = self.reserved.iter().filter(|(_, end)| *end > now);
        for (share, _) in reserved {
            total.add_request(*share);
        }
        total
    }

    fn estimate(&self, demand: &Demand, now: Timestamp) -> Estimate {
        let load = self.load(now);
        let slots = self.member.slots.max(1);
        let wait = match (load.requests + 1).checked_sub(slots) {
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

    /// Predicted time with what the risk of a lost request is worth.
    fn cost(&self, estimate: &Estimate, demand: &Demand, now: Timestamp) -> f64 {
        let risk = self.health.risk();
        let mut seconds = estimate.total.as_secs_f64() + risk * LOSS_S;
        let long = estimate.total.mul_f64(LENGTH_RISK);
        let late = long.saturating_sub(demand.time_left);
        seconds += late.as_secs_f64() * LOSS_S;
        if self.member.data_centre != demand.data_centre {
            seconds += CROSS_PENALTY_S;
        }
        let has_connection = self
            .answered
            .is_some_and(|answered| now.since(answered) < CONNECTION_KEPT);
        if !has_connection {
            seconds += NEW_CONNECTION_S;
        }
        seconds
    }
}

/// How much longer than expected an answer may well be: callers' guesses of the length are often
/// far off.
const LENGTH_RISK: f64 = 2.5;

/// Time after an answer for which a connection to the backend server is probably kept.
const CONNECTION_KEPT: Duration = Duration::from_secs(2);

/// Time by which a backend server without a kept connection must be better to be chosen; the price
/// of a new connection, in time.
const NEW_CONNECTION_S: f64 = 0.03;

/// Time by which a backend server in another data centre must be better to be chosen; the price
/// of traffic between data centres, in time.
const CROSS_PENALTY_S: f64 = 0.005;
