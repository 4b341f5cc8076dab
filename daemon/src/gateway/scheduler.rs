//! Decides where and when requests run, from what all gateways have at each backend server.

use {
    crate::uptime::Clock,
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        directory::{Directory, Organisation},
        fleet::{self, Choice, Demand, Fleet, Roster, Share, Shortage},
        floor::{self, Floor},
        line::{Line, Place},
        patience,
        quota::{Kept, Ledger},
        retry::{self, Budget},
        summary::{Entry, Summary},
        tier::Rank,
        time::Timestamp,
    },
    tamarackdale_platform::Settings,
    tokio::{sync::oneshot, time::timeout},
};

/// Part of the retry allowance that is used; the rest is for routers that are not known yet.
const RETRY_PART: f64 = 0.8;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Service.
    pub service: String,
    /// Rank among all requests.
    pub rank: Rank,
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
    /// Backend servers that it was sent to already.
    pub excluded: Vec<String>,
    /// When it was accepted.
    pub accepted: Timestamp,
    /// Time from acceptance within which the answer should begin.
    pub objective: Duration,
    /// When the whole answer must be there.
    pub deadline: Timestamp,
    /// Whether the caller seems to come back after a refusal.
    pub is_returning: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No backend server of the service is known and in health.
    Nobody,
    /// All are full, and the request has waited for as long as is worth waiting.
    Overload,
    /// A more urgent rank was shed of late.
    Floor,
}

struct Waiter {
    ask: Ask,
    reply: oneshot::Sender<Choice>,
}

struct State {
    fleet: Fleet,
    ledger: Ledger,
    floors: HashMap<String, Floor>,
    budgets: HashMap<String, Budget>,
    line: Line<Waiter>,
    /// Most urgent rank that waits at each peer, by service.
    peer_waits: HashMap<u64, Vec<(String, Rank)>>,
    random: SmallRng,
    data_centre: String,
    peers: usize,
    retry_ratio: f64,
    retry_extra: f64,
}

/// Shared by all requests of a gateway. The lock is held for microseconds and never over a wait.
pub struct Scheduler {
    clock: Clock,
    state: Mutex<State>,
}

impl Scheduler {
    /// A scheduler that knows of nobody.
    pub fn new(clock: Clock, settings: &Settings) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                fleet: Fleet::new(),
                ledger: Ledger::new(settings.bounds.quota),
                floors: HashMap::new(),
                budgets: HashMap::new(),
                line: Line::new(),
                peer_waits: HashMap::new(),
                random: SmallRng::from_os_rng(),
                data_centre: settings.data_centre.clone(),
                peers: 0,
                retry_ratio: settings.bounds.retry_ratio * RETRY_PART,
                retry_extra: settings.bounds.retry_extra * RETRY_PART,
            }),
        }
    }

    /// Takes over who is registered.
    pub fn adopt(&self, roster: &Roster) {
        self.lock().fleet.adopt(roster);
    }

    /// Whether any backend server takes work.
    pub fn has_servers(&self) -> bool {
        self.lock().fleet.has_servers()
    }

    /// Takes a request into its organisation's quota, or says when there is room.
    pub fn admit(&self, organisation: &Organisation, cost: f64) -> Result<(), Duration> {
        let now = self.clock.now();
        self.lock().ledger.admit(organisation, cost, now)
    }

    /// Takes in the use of quotas before this start.
    pub fn remember(&self, used: HashMap<String, Kept>) {
        let now = self.clock.now();
        self.lock().ledger.remember(used, now);
    }

    /// Use of quotas that must outlast a start of all gateways.
    pub fn quota_use(&self, directory: &Directory) -> HashMap<String, Kept> {
        let now = self.clock.now();
        let organisations = directory.organisations().iter().map(AsRef::as_ref);
        self.lock().ledger.to_keep(organisations, now)
    }

    /// Gives back the quota of a request that did not run.
    pub fn refund(&self, organisation: &str, cost: f64) {
        let now = self.clock.now();
        self.lock().ledger.refund(organisation, cost, now);
    }

    /// Notes that a caller's request for a service was accepted.
    pub fn count_request(&self, service: &str) {
        self.lock().budget(service).first_attempt();
    }

    /// Takes one repetition from the budget that all gateways share.
    pub fn may_repeat(&self, service: &str) -> bool {
        self.lock().budget(service).retry()
    }

    /// Finds a backend server for the request, which waits for one as long as that can help.
    pub async fn place(&self, ask: Ask) -> Result<Choice, Refusal> {
        let (number, reply, wait) = {
            let mut state = self.lock();
            let now = self.clock.now();
            if !state.floor(&ask.service).serves(ask.rank, now) {
                return Err(Refusal::Floor);
            }
            if state.ahead(&ask) == 0 && !state.is_behind_peers(&ask) {
                match state.choose(&ask, None, now) {
                    Ok(choice) => {
                        state.reserve(&choice, &ask, now);
                        return Ok(choice);
                    }
                    Err(Shortage::Nobody) => return Err(Refusal::Nobody),
                    Err(Shortage::Full(_)) => {}
                }
            }
            let until = patience::line_end(ask.accepted, ask.deadline);
            if until <= now || state.ahead(&ask) >= patience::MAX_LINE {
                state.shed(&ask, now);
                return Err(Refusal::Overload);
            }
            let (number, reply) = state.join(ask.clone());
            (number, reply, until.since(now))
        };
        // The place is left when the caller goes away as well.
        let _leave = Leave {
            scheduler: self,
            number,
        };
        match timeout(wait, reply).await {
            Ok(Ok(choice)) => Ok(choice),
            _ => {
                let now = self.clock.now();
                self.lock().shed(&ask, now);
                Err(Refusal::Overload)
            }
        }
    }

    /// Notes that a request is sent to a backend server.
    pub fn start(self: &Arc<Self>, id: &str, share: Share) -> Occupation {
        self.lock().fleet.start(id, share);
        Occupation {
            scheduler: Arc::clone(self),
            id: id.to_owned(),
            share,
            started: self.clock.now(),
            first: None,
        }
    }

    /// Whether a backend server may still get new work.
    pub fn takes_work(&self, id: &str) -> bool {
        self.lock().fleet.takes_work(id)
    }

    /// Notes what went wrong at a backend server.
    pub fn fail(&self, id: &str, failure: fleet::health::Failure) {
        let now = self.clock.now();
        if self.lock().fleet.fail(id, failure, now) {
            log::warn!(backend_server = id; "backend server ejected: {failure:?}");
        }
    }

    /// Takes in what a peer told.
    pub fn merge(&self, peer: u64, summary: &Summary) {
        let now = self.clock.now();
        let mut state = self.lock();
        for entry in &summary.entries {
            state.fleet.merge(peer, &entry.id, entry.load);
            if let Some(speed) = &entry.speed {
                state.fleet.merge_speed(&entry.id, speed);
            }
        }
        for usage in &summary.usages {
            state.ledger.merge(peer, usage, now);
        }
        // A peer's first summary has all its counts, and any later one comes after it.
        if summary.is_complete {
            state.ledger.complete();
        }
        state.peer_waits.insert(peer, summary.waits.clone());
        for (service, rank) in &summary.floors {
            state.floor(service).raise(*rank, now);
        }
    }

    /// Forgets the work of a peer that is no longer heard.
    pub fn forget(&self, peer: u64) {
        let mut state = self.lock();
        state.fleet.forget(peer);
        state.ledger.forget(peer);
        state.peer_waits.remove(&peer);
    }

    /// Takes over how many of the known gateways are heard, this one included in both.
    pub fn set_peers(&self, visible: usize, known: usize) {
        let mut state = self.lock();
        state.ledger.set_share(visible, known);
        if state.peers != known {
            state.peers = known;
            // Budgets begin again with the new share, empty.
            let settings = state.retry_settings();
            for budget in state.budgets.values_mut() {
                budget.adopt(settings);
            }
        }
    }

    /// What this gateway has at each backend server, what it used, and what it shed; all that it
    /// knows of quotas for a peer that hears it for the first time.
    pub fn summary(&self, is_first: bool) -> Summary {
        let now = self.clock.now();
        let state = self.lock();
        let entries = state.fleet.own().map(|(id, load, speed)| Entry {
            id: id.to_owned(),
            load,
            speed: Some(*speed),
        });
        let floors = state.floors.iter().filter_map(|(service, floor)| {
            let rank = floor.own(now)?;
            Some((service.clone(), rank))
        });
        Summary {
            entries: entries.collect(),
            usages: state.ledger.usages(is_first, now).collect(),
            is_complete: state.ledger.is_complete(now),
            waits: state.waits(),
            floors: floors.collect(),
        }
    }

    /// A number from zero up to one.
    pub fn random(&self) -> f64 {
        self.lock().random.random()
    }

    /// Offers room that peers have freed to those who wait here; called in regular rounds.
    pub fn pump(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.line.is_empty() {
            return;
        }
        let chance = patience::take_chance(state.waiting_peers());
        if state.random.random::<f64>() < chance {
            state.pump(None, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn floor(&mut self, service: &str) -> &mut Floor {
        if !self.floors.contains_key(service) {
            let floor = Floor::new(floor::Settings {
                hold: patience::FLOOR_HOLD,
                is_enabled: true,
            });
            self.floors.insert(service.to_owned(), floor);
        }
        self.floors
            .get_mut(service)
            .expect("the floor was inserted above")
    }

    fn retry_settings(&self) -> retry::Settings {
        retry::Settings {
            ratio: self.retry_ratio,
            burst: (self.retry_extra / self.peers.max(1) as f64).max(1.0),
        }
    }

    fn budget(&mut self, service: &str) -> &mut Budget {
        if !self.budgets.contains_key(service) {
            let budget = Budget::new(self.retry_settings());
            self.budgets.insert(service.to_owned(), budget);
        }
        self.budgets
            .get_mut(service)
            .expect("the budget was inserted above")
    }

    fn choose(
        &mut self,
        ask: &Ask,
        only: Option<&str>,
        now: Timestamp,
    ) -> Result<Choice, Shortage> {
        let demand = Demand {
            service: &ask.service,
            prompt: ask.prompt,
            output: ask.output,
            excluded: &ask.excluded,
            patience: patience::engine_wait(ask.objective),
            deadline: ask.deadline.since(now),
            data_centre: &self.data_centre,
            only,
        };
        self.fleet.choose(&demand, now, &mut self.random)
    }

    /// Counts a request that is about to be sent, or else the next one would get the same slot.
    fn reserve(&mut self, choice: &Choice, ask: &Ask, now: Timestamp) {
        let share = choice.share(ask.prompt);
        self.fleet.reserve(&choice.member.id, share, now);
    }

    /// Requests that wait here and whose turn comes before this one.
    fn ahead(&self, ask: &Ask) -> usize {
        let waiting = self.line.iter();
        let ahead = waiting
            .filter(|(place, waiter)| place.rank <= ask.rank && waiter.ask.service == ask.service);
        ahead.count()
    }

    /// Whether a more urgent request waits at a peer: what becomes free is for that one.
    fn is_behind_peers(&self, ask: &Ask) -> bool {
        let waits = self.peer_waits.values().flatten();
        waits
            .filter(|(service, _)| *service == ask.service)
            .any(|(_, rank)| rank.is_above(ask.rank))
    }

    /// Most urgent rank that waits here, by service.
    fn waits(&self) -> Vec<(String, Rank)> {
        let mut waits: Vec<(String, Rank)> = Vec::new();
        for (place, waiter) in self.line.iter() {
            let service = &waiter.ask.service;
            match waits.iter_mut().find(|(known, _)| known == service) {
                Some((_, rank)) => *rank = place.rank.min(*rank),
                None => waits.push((service.clone(), place.rank)),
            }
        }
        waits
    }

    fn join(&mut self, ask: Ask) -> (u64, oneshot::Receiver<Choice>) {
        let place = Place {
            rank: ask.rank,
            is_returning: ask.is_returning,
            on_time_until: patience::on_time_until(ask.accepted, ask.objective),
        };
        let (reply, answer) = oneshot::channel();
        let number = self.line.insert(place, Waiter { ask, reply });
        (number, answer)
    }

    /// Notes that a request is shed: less urgent ones are not served for a while.
    fn shed(&mut self, ask: &Ask, now: Timestamp) {
        if self.floor(&ask.service).raise_own(ask.rank, now) {
            log::info!(service = ask.service.as_str(), rank = ask.rank.0; "shed floor raised");
        }
    }

    /// Peers at which requests wait that can be on time.
    fn waiting_peers(&self) -> usize {
        let peers = self.peer_waits.values();
        peers.filter(|waits| !waits.is_empty()).count()
    }

    /// Gives what is free, at one backend server or at any, to those who wait, in their order. A
    /// less urgent request never passes one for which there is no room.
    fn pump(&mut self, only: Option<&str>, now: Timestamp) {
        if self.line.is_empty() {
            return;
        }
        let mut full: Vec<String> = Vec::new();
        for number in self.line.order(now) {
            let Some(waiter) = self.line.get(number) else {
                continue;
            };
            let ask = waiter.ask.clone();
            if full.contains(&ask.service) {
                continue;
            }
            let choice = match self.is_behind_peers(&ask) {
                true => None,
                false => self.choose(&ask, only, now).ok(),
            };
            let Some(choice) = choice else {
                full.push(ask.service);
                continue;
            };
            let waiter = self.line.remove(number);
            if waiter.is_some_and(|waiter| waiter.reply.send(choice.clone()).is_ok()) {
                self.reserve(&choice, &ask, now);
            }
        }
    }
}

/// Takes a request out of the line when it is dropped.
struct Leave<'a> {
    scheduler: &'a Scheduler,
    number: u64,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.scheduler.lock().line.remove(self.number);
    }
}

/// A request's place at a backend server; given up when dropped.
pub struct Occupation {
    scheduler: Arc<Scheduler>,
    id: String,
    share: Share,
    started: Timestamp,
    first: Option<Timestamp>,
}

impl Occupation {
    /// The scheduler that counts it.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// The backend server's identifier.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Notes the first event or the answer.
    pub fn begin(&mut self) {
        if self.first.is_some() {
            return;
        }
        let now = self.scheduler.clock.now();
        self.first = Some(now);
        let elapsed = now.since(self.started);
        let mut state = self.scheduler.lock();
        state.fleet.progress(&self.id, self.share, elapsed);
    }

    /// Time from the sending to the first event.
    pub fn first(&self) -> Option<Duration> {
        self.first.map(|first| first.since(self.started))
    }

    /// Notes the whole answer, with `tokens` of output after the first event.
    pub fn finish(&mut self, tokens: u32) {
        let now = self.scheduler.clock.now();
        let decoding = self.first.map_or(Duration::ZERO, |first| now.since(first));
        let stay = now.since(self.started);
        let mut state = self.scheduler.lock();
        state.fleet.learn(&self.id, tokens, decoding, stay);
    }
}

impl Drop for Occupation {
    fn drop(&mut self) {
        let now = self.scheduler.clock.now();
        let mut state = self.scheduler.lock();
        state.fleet.end(&self.id, self.share, self.first.is_some());
        // Nobody else knows yet that there is room.
        state.pump(Some(&self.id), now);
    }
}
