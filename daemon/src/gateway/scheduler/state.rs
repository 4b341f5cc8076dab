//! What the scheduler knows, and its decisions; used under its lock.

use {
    super::PlacementRequest,
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::collections::HashMap,
    tamarackdale_core::{
        fleet::{Choice, Demand, Fleet, Load, Shortage},
        floor::{self, Floor},
        line::{Line, Place, Urgency},
        patience,
        quota::Ledger,
        rendezvous,
        retry::{self, Budget},
        time::Timestamp,
    },
    tamarackdale_platform::Settings,
    tokio::sync::oneshot,
};

/// Part of the retry allowance that is used; the rest is for routers that are not known yet.
const RETRY_PART: f64 = 0.8;

pub(super) struct Waiter {
    pub(super) request: PlacementRequest,
    pub(super) reply: oneshot::Sender<Choice>,
}

pub(super) struct State {
    pub(super) fleet: Fleet,
    pub(super) ledger: Ledger,
    pub(super) floors: HashMap<String, Floor>,
    pub(super) budgets: HashMap<String, Budget>,
    pub(super) line: Line<Waiter>,
    /// Most urgent request that waits at each peer, by service.
    pub(super) peer_waits: HashMap<u64, Vec<(String, Urgency)>>,
    pub(super) random: SmallRng,
    /// Random number of this start.
    boot: u64,
    pub(super) data_centre: String,
    pub(super) peers: usize,
    pub(super) retry_ratio: f64,
    pub(super) retry_extra: f64,
}

impl State {
    pub(super) fn new(boot: u64, settings: &Settings) -> Self {
        Self {
            boot,
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
        }
    }

    pub(super) fn adopt_settings(&mut self, settings: &Settings) {
        self.ledger.adopt(settings.bounds.quota);
        self.data_centre = settings.data_centre.clone();
        self.retry_ratio = settings.bounds.retry_ratio * RETRY_PART;
        self.retry_extra = settings.bounds.retry_extra * RETRY_PART;
        self.share_budgets();
    }

    /// Gives each budget this router's present share; what was saved is cut to it.
    pub(super) fn share_budgets(&mut self) {
        let settings = self.retry_settings();
        for budget in self.budgets.values_mut() {
            budget.adopt(settings);
        }
    }

    pub(super) fn floor(&mut self, service: &str) -> &mut Floor {
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

    pub(super) fn retry_settings(&self) -> retry::Settings {
        retry::Settings {
            ratio: self.retry_ratio,
            burst: (self.retry_extra / self.peers.max(1) as f64).max(1.0),
        }
    }

    pub(super) fn budget(&mut self, service: &str) -> &mut Budget {
        if !self.budgets.contains_key(service) {
            let budget = Budget::new(self.retry_settings());
            self.budgets.insert(service.to_owned(), budget);
        }
        self.budgets
            .get_mut(service)
            .expect("the budget was inserted above")
    }

    pub(super) fn choose(
        &mut self,
        request: &PlacementRequest,
        only: Option<&str>,
        now: Timestamp,
    ) -> Result<Choice, Shortage> {
        let demand = demand(request, only, &self.data_centre, now);
        self.fleet.choose(&demand, now, &mut self.random)
    }

    /// Counts a request that is about to be sent, or else the next one would get the same slot.
    pub(super) fn reserve(&mut self, choice: &Choice, request: &PlacementRequest, now: Timestamp) {
        let share = choice.share(request.prompt);
        self.fleet.reserve(&choice.member.id, share, now);
    }

    /// Requests of this rank or a more urgent one that wait here.
    pub(super) fn ahead(&self, request: &PlacementRequest) -> usize {
        let waiting = self.line.iter();
        let ahead = waiting.filter(|(place, waiter)| {
            place.rank <= request.rank && waiter.request.service == request.service
        });
        ahead.count()
    }

    /// Whether a request waits here whose turn comes before this new one.
    pub(super) fn is_behind(&self, service: &str, urgency: Urgency, now: Timestamp) -> bool {
        self.line.iter().any(|(place, waiter)| {
            waiter.request.service == service && place.urgency(now) <= urgency
        })
    }

    /// Whether a more urgent request waits at a peer: what becomes free is for that one.
    pub(super) fn is_behind_peers(&self, service: &str, urgency: Urgency) -> bool {
        let waits = self.peer_waits.values().flatten();
        waits
            .filter(|(known, _)| known == service)
            .any(|(_, waiting)| *waiting < urgency)
    }

    /// Most urgent request that waits here, by service.
    pub(super) fn waits(&self, now: Timestamp) -> Vec<(String, Urgency)> {
        let mut waits: Vec<(String, Urgency)> = Vec::new();
        for (place, waiter) in self.line.iter() {
            let service = &waiter.request.service;
            let urgency = place.urgency(now);
            match waits.iter_mut().find(|(known, _)| known == service) {
                Some((_, most)) => *most = urgency.min(*most),
                None => waits.push((service.clone(), urgency)),
            }
        }
        waits
    }

    /// The place that a request would have in the line.
    pub(super) fn place_of(&self, request: &PlacementRequest, now: Timestamp) -> Place {
        let demand = demand(request, None, &self.data_centre, now);
        let first = self.fleet.soonest_first(&demand, now).unwrap_or_default();
        Place {
            rank: request.rank,
            is_returning: request.is_returning,
            on_time_until: patience::on_time_until(request.accepted, request.objective, first),
        }
    }

    pub(super) fn join(
        &mut self,
        place: Place,
        request: PlacementRequest,
    ) -> (u64, oneshot::Receiver<Choice>) {
        let (reply, answer) = oneshot::channel();
        let number = self.line.insert(place, Waiter { request, reply });
        (number, answer)
    }

    /// Notes that a request is shed: less urgent ones are not served for a while.
    pub(super) fn shed(&mut self, request: &PlacementRequest, now: Timestamp) {
        if self.floor(&request.service).raise_own(request.rank, now) {
            log::info!(service = request.service.as_str(), rank = request.rank.0; "shed floor raised");
        }
    }

    /// Peers at which requests of a service wait that are as urgent as those here.
    fn rivals(&self, service: &str, urgency: Urgency) -> impl Iterator<Item = u64> {
        let peers = self.peer_waits.iter();
        peers
            .filter(move |(_, waits)| {
                let mut waits = waits.iter();
                waits.any(|(known, waiting)| known == service && *waiting == urgency)
            })
            .map(|(peer, _)| *peer)
    }

    /// Offers room to those who wait here that nobody took when it was freed, with the chance that
    /// lets one of all routers take it on average.
    pub(super) fn take_left(&mut self, now: Timestamp) {
        for (service, urgency) in self.waits(now) {
            let chance = patience::take_chance(self.rivals(&service, urgency).count());
            if self.random.random::<f64>() < chance {
                self.pump(None, now);
                return;
            }
        }
    }

    /// Gives room that a peer has freed at `id` to those who wait here, unless it is another
    /// router's turn. All routers hear the same of the peer and so agree whose turn it is.
    pub(super) fn take_freed(&mut self, peer: u64, id: &str, load: Load, now: Timestamp) {
        if self.line.is_empty() {
            return;
        }
        let Some(service) = self.fleet.service_of(id).map(str::to_owned) else {
            return;
        };
        let mut waits = self.waits(now).into_iter();
        let Some((_, urgency)) = waits.find(|(known, _)| *known == service) else {
            return;
        };
        // The peer that freed the room has had its own turn.
        let mut rivals = self
            .rivals(&service, urgency)
            .filter(|rival| *rival != peer);
        let key = format!("{id} {peer} {} {}", load.requests, load.prompt);
        if rendezvous::is_first(&key, self.boot, &mut rivals) {
            drop(rivals);
            self.pump(Some(id), now);
        }
    }

    /// Gives what is free, at one backend server or at any, to those who wait, in their order. A
    /// less urgent request never passes one for which there is no room.
    pub(super) fn pump(&mut self, only: Option<&str>, now: Timestamp) {
        if self.line.is_empty() {
            return;
        }
        let mut full: Vec<String> = Vec::new();
        for number in self.line.order(now) {
            let Some((place, waiter)) = self.line.get(number) else {
                continue;
            };
            let urgency = place.urgency(now);
            let request = waiter.request.clone();
            if full.contains(&request.service) {
                continue;
            }
            let choice = match self.is_behind_peers(&request.service, urgency) {
                true => None,
                false => self.choose(&request, only, now).ok(),
            };
            let Some(choice) = choice else {
                full.push(request.service);
                continue;
            };
            let waiter = self.line.remove(number);
            if waiter.is_some_and(|waiter| waiter.reply.send(choice.clone()).is_ok()) {
                self.reserve(&choice, &request, now);
            }
        }
    }
}

fn demand<'a>(
    request: &'a PlacementRequest,
    only: Option<&'a str>,
    data_centre: &'a str,
    now: Timestamp,
) -> Demand<'a> {
    Demand {
        service: &request.service,
        prompt: request.prompt,
        output: request.output,
        excluded: &request.excluded,
        patience: patience::engine_wait(request.objective),
        deadline: request.deadline.since(now),
        data_centre,
        only,
    }
}
