//! Decides where and when requests run, from what all gateways have at each backend server.

mod ask;
mod occupation;
mod state;

pub use {ask::Ask, occupation::Occupation};

use {
    self::state::State,
    crate::clock::Clock,
    rand::Rng as _,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        directory::{Directory, Organisation},
        fleet::{self, Choice, Roster, Share, Shortage},
        patience,
        quota::{Excess, Kept},
        summary::{Entry, Summary},
        time::Timestamp,
    },
    tamarackdale_platform::Settings,
    tokio::{sync::Notify, time::timeout},
};

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

/// Shared by all requests of a gateway. The lock is held for microseconds and never over a wait.
pub struct Scheduler {
    clock: Clock,
    /// Told when there is something that peers should hear.
    changed: Notify,
    state: Mutex<State>,
}

impl Scheduler {
    /// A scheduler that knows of nobody.
    pub fn new(clock: Clock, boot: u64, settings: &Settings) -> Self {
        Self {
            clock,
            changed: Notify::new(),
            state: Mutex::new(State::new(boot, settings)),
        }
    }

    /// Waits until there is something new that peers should hear.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes over changed settings.
    pub fn adopt_settings(&self, settings: &Settings) {
        self.lock().adopt_settings(settings);
    }

    /// Takes over who is registered.
    pub fn adopt(&self, roster: &Roster) {
        self.lock().fleet.adopt(roster);
    }

    /// Whether any backend server takes work.
    pub fn has_servers(&self) -> bool {
        self.lock().fleet.has_servers()
    }

    /// Part of a service's slots that are taken, over all gateways; none if nobody is known.
    pub fn utilisation(&self, service: &str) -> Option<f64> {
        let now = self.clock.now();
        self.lock().fleet.utilisation(service, now)
    }

    /// Takes a request into its organisation's quota, or says what does not fit.
    pub fn admit(&self, organisation: &Organisation, cost: f64) -> Result<(), Excess> {
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

    /// Gives back the quota of a request that was admitted at `admitted` and did not run.
    pub fn refund(&self, organisation: &str, cost: f64, admitted: Timestamp) {
        self.lock().ledger.refund(organisation, cost, admitted);
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
            let place = state.place_of(&ask, now);
            let urgency = place.urgency(now);
            let is_behind = state.is_behind(&ask.service, urgency, now)
                || state.is_behind_peers(&ask.service, urgency);
            if !is_behind {
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
                self.changed.notify_one();
                return Err(Refusal::Overload);
            }
            let (number, reply) = state.join(place, ask.clone());
            self.changed.notify_one();
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
                self.changed.notify_one();
                Err(Refusal::Overload)
            }
        }
    }

    /// Notes that a request is sent to a backend server.
    pub fn start(self: &Arc<Self>, id: &str, share: Share) -> Occupation {
        self.lock().fleet.start(id, share);
        self.changed.notify_one();
        Occupation::new(self, id, share)
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
        let mut freed = Vec::new();
        for entry in &summary.entries {
            if state.fleet.merge(peer, &entry.id, entry.load) {
                freed.push(entry);
            }
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
        for entry in freed {
            state.take_freed(peer, &entry.id, entry.load, now);
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
    /// Summaries come after `lag`.
    pub fn set_peers(&self, visible: usize, known: usize, lag: Duration) {
        let mut state = self.lock();
        state.ledger.set_share(visible, known, lag);
        if state.peers != known {
            state.peers = known;
            state.share_budgets();
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
            waits: state.waits(now),
            floors: floors.collect(),
        }
    }

    /// A number from zero up to one.
    pub fn random(&self) -> f64 {
        self.lock().random.random()
    }

    /// Offers room to those who wait here that nobody took when it was freed; called in regular
    /// rounds.
    pub fn pump(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.take_left(now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a request out of the line when it is dropped.
struct Leave<'a> {
    scheduler: &'a Scheduler,
    number: u64,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        if self.scheduler.lock().line.remove(self.number).is_some() {
            self.scheduler.changed.notify_one();
        }
    }
}
