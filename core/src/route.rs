//! A router's table of sidecars, and the choice of one for a request.
//!
//! For each sidecar the completion of the request is predicted from the sidecar's last report,
//! the router's own dispatches that the report does not know of, and the prefixes that its
//! backend server's cache is likely to hold. One of the few best is drawn, so that routers with
//! the same stale reports do not all choose the same.

mod choice;
mod policy;
mod prediction;
mod sidecar;

pub use {
    choice::{Basis, Candidate, Choice, Request},
    policy::{Placement, Policy},
    prediction::Prediction,
};

use {
    crate::{
        cost::{self, Cost, Rates},
        failure::{Failure, Reason},
        id::{Attempt, Boot, Incarnation, Instance},
        prefix_history::PrefixHistory,
        report::Report,
        tier::Rank,
        time::Timestamp,
    },
    rand::Rng,
    sidecar::{Dispatch, Sidecar},
    std::{collections::HashMap, time::Duration},
};

/// Candidates of which one is drawn.
const BEST_FEW: usize = 3;

/// Candidates that are reported with a choice.
const WEIGHED_CANDIDATES: usize = 4;

/// Drawn candidates are at most this much slower than the best, in parts of its prediction.
const BEST_MARGIN: f64 = 0.1;

/// Delay before a retry when no sidecar is known.
const NO_SIDECAR_RETRY_AFTER: Duration = Duration::from_secs(1);

struct Weighed {
    slot: usize,
    cached_tokens: u32,
    prediction: Prediction,
}

/// A router's table of the sidecars of one service.
pub struct Table {
    policy: Policy,
    router: Boot,
    slots: Vec<Option<Sidecar>>,
    by_instance: HashMap<Instance, usize>,
    by_attempt: HashMap<Attempt, usize>,
    affinity: PrefixHistory,
    /// The highest rates ever reported: those of the fastest backend server when idle.
    fastest: Option<Rates>,
    turn: usize,
}

impl Table {
    /// An empty table of the router with the given boot.
    pub fn new(policy: Policy, router: Boot) -> Self {
        Self {
            policy,
            router,
            slots: Vec::new(),
            by_instance: HashMap::new(),
            by_attempt: HashMap::new(),
            affinity: PrefixHistory::default(),
            fastest: None,
            turn: 0,
        }
    }

    /// Number of sidecars known.
    pub fn len(&self) -> usize {
        self.by_instance.len()
    }

    /// Whether no sidecar is known.
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Takes in a sidecar's report. Another boot than the known one replaces it.
    pub fn update(&mut self, report: Report, now: Timestamp) {
        let instance = report.incarnation.instance.clone();
        let slot = self.by_instance.get(&instance).copied();
        let known = slot.and_then(|slot| self.slots[slot].as_ref());
        if known.is_some_and(|known| known.boot() != report.incarnation.boot) {
            self.remove(&instance);
        }
        for prefix in &report.evicted_prefixes {
            if let Some(slot) = slot {
                self.affinity.record_eviction(*prefix, slot);
            }
        }
        self.fastest = Some(
            self.fastest
                .map_or(report.rates, |known| known.max(report.rates)),
        );
        let router = self.router;
        match self.sidecar_mut(&instance) {
            Some(sidecar) => sidecar.update(report, router, now),
            None => self.insert(Sidecar::new(report, now)),
        }
    }

    /// Notes that a request was offered to a sidecar.
    pub fn record_dispatch(
        &mut self,
        instance: &Instance,
        attempt: Attempt,
        rank: Rank,
        cost: &Cost,
        now: Timestamp,
    ) {
        let Some(slot) = self.by_instance.get(instance).copied() else {
            return;
        };
        let Some(sidecar) = self.slots[slot].as_mut() else {
            return;
        };
        let cached = self.affinity.blocks_at(&cost.prefixes, slot);
        sidecar.dispatched(Dispatch {
            attempt,
            rank,
            prefill_tokens: cost.uncached_tokens(cached),
            decode_tokens: cost.decode_tokens,
        });
        self.affinity.record_dispatch(&cost.prefixes, slot, now);
        self.by_attempt.insert(attempt, slot);
    }

    /// Notes that an offered request has ended, whichever way.
    pub fn record_completion(&mut self, attempt: Attempt) {
        let Some(slot) = self.by_attempt.remove(&attempt) else {
            return;
        };
        if let Some(sidecar) = self.slots[slot].as_mut() {
            sidecar.finished(attempt);
        }
    }

    /// Notes that an instance takes no new work.
    pub fn mark_leaving(&mut self, instance: &Instance) {
        if let Some(sidecar) = self.sidecar_mut(instance) {
            sidecar.leave();
        }
    }

    /// Forgets an instance.
    pub fn remove(&mut self, instance: &Instance) {
        let Some(slot) = self.by_instance.remove(instance) else {
            return;
        };
        self.slots[slot] = None;
        self.affinity.clear_slot(slot);
        self.by_attempt.retain(|_, used| *used != slot);
    }

    /// Chooses a sidecar for a request, other than the excluded ones.
    ///
    /// Fails with [`Reason::NoBackendServer`] if there is none, with [`Reason::Infeasible`] if
    /// not even an idle one could meet the deadline, and with [`Reason::Overload`] if all are
    /// too loaded to meet it.
    pub fn choose(
        &mut self,
        request: &Request,
        excluded: &[Instance],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<Choice, Failure> {
        let mut weighed = self.weigh(request, excluded, now);
        if weighed.is_empty() {
            return Err(
                Failure::not_run(Reason::NoBackendServer).with_retry_after(NO_SIDECAR_RETRY_AFTER)
            );
        }
        if self.policy.checks_feasibility && !request.may_be_late {
            self.check_feasible(request, &weighed, now)?;
        }
        let (chosen, basis) = self.select(&mut weighed, rng);
        Ok(self.choice(&weighed, chosen, basis))
    }

    fn weigh(&mut self, request: &Request, excluded: &[Instance], now: Timestamp) -> Vec<Weighed> {
        let cached = match self.policy.uses_affinity {
            true => self
                .affinity
                .blocks(&request.cost.prefixes, self.slots.len(), now),
            false => Vec::new(),
        };
        let mut weighed = Vec::with_capacity(self.by_instance.len());
        for (slot, sidecar) in self.slots.iter().enumerate() {
            let Some(sidecar) = sidecar.as_ref().filter(|sidecar| sidecar.takes_work()) else {
                continue;
            };
            if excluded.contains(&sidecar.incarnation().instance) {
                continue;
            }
            let blocks = cached.get(slot).copied().unwrap_or(0);
            let uncached = request.cost.uncached_tokens(blocks);
            weighed.push(Weighed {
                slot,
                cached_tokens: request.cost.prefill_tokens - uncached,
                prediction: sidecar.predict(request, uncached, self.policy.corrects_reports, now),
            });
        }
        weighed
    }

    /// Fails if no candidate can meet the deadline, with the time after which the load ahead of
    /// the request will have gone down enough.
    fn check_feasible(
        &self,
        request: &Request,
        weighed: &[Weighed],
        now: Timestamp,
    ) -> Result<(), Failure> {
        let remaining = request.deadline.since(now);
        let completions = weighed
            .iter()
            .map(|candidate| candidate.prediction.completion());
        let best = completions.min().map(cost::min_time);
        let Some(excess) = best.and_then(|best| best.checked_sub(remaining)) else {
            return Ok(());
        };
        let idle = self.fastest.map_or(Duration::ZERO, |rates| {
            let cached = weighed
                .iter()
                .map(|candidate| candidate.cached_tokens)
                .max();
            let uncached = request.cost.prefill_tokens - cached.unwrap_or(0);
            rates.service_time(uncached, request.cost.decode_tokens)
        });
        let reason = match cost::min_time(idle) < remaining {
            true => Reason::Overload,
            false => Reason::Infeasible,
        };
        Err(Failure::not_run(reason).with_retry_after(excess.max(MIN_RETRY_AFTER)))
    }

    /// Index of the chosen candidate, and why it was chosen. Sorts the best to the front.
    fn select(&mut self, weighed: &mut [Weighed], rng: &mut impl Rng) -> (usize, Basis) {
        match self.policy.placement {
            Placement::Random => (rng.random_range(0..weighed.len()), Basis::Random),
            Placement::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                (self.turn % weighed.len(), Basis::RoundRobin)
            }
            Placement::LeastOutstanding => (
                self.least_outstanding(weighed, rng),
                Basis::LeastOutstanding,
            ),
            Placement::Predicted => draw(weighed, rng),
        }
    }

    fn least_outstanding(&self, weighed: &[Weighed], rng: &mut impl Rng) -> usize {
        let outstanding = |candidate: &Weighed| {
            let sidecar = self.slots[candidate.slot].as_ref();
            sidecar.map_or(0, Sidecar::outstanding)
        };
        let least = weighed.iter().map(outstanding).min().unwrap_or(0);
        let ties = || {
            let all = weighed.iter().enumerate();
            all.filter(|(_, candidate)| outstanding(candidate) == least)
        };
        let drawn = rng.random_range(0..ties().count().max(1));
        ties().nth(drawn).map_or(0, |(index, _)| index)
    }

    fn choice(&self, weighed: &[Weighed], chosen: usize, basis: Basis) -> Choice {
        let mut candidates: Vec<Candidate> = Vec::with_capacity(WEIGHED_CANDIDATES);
        candidates.push(self.candidate(&weighed[chosen]));
        let others = weighed.iter().enumerate();
        for (_, other) in others
            .filter(|(index, _)| *index != chosen)
            .take(WEIGHED_CANDIDATES - 1)
        {
            candidates.push(self.candidate(other));
        }
        Choice {
            incarnation: candidates[0].incarnation.clone(),
            predicted: weighed[chosen].prediction.completion(),
            candidates,
            basis,
        }
    }

    fn candidate(&self, weighed: &Weighed) -> Candidate {
        let sidecar = self.slots[weighed.slot]
            .as_ref()
            .expect("a weighed slot is in use");
        Candidate {
            incarnation: sidecar.incarnation().clone(),
            predicted: weighed.prediction.completion(),
            cached_tokens: weighed.cached_tokens,
        }
    }

    fn sidecar_mut(&mut self, instance: &Instance) -> Option<&mut Sidecar> {
        let slot = *self.by_instance.get(instance)?;
        self.slots[slot].as_mut()
    }

    fn insert(&mut self, sidecar: Sidecar) {
        let instance = sidecar.incarnation().instance.clone();
        let free = self.slots.iter().position(Option::is_none);
        let slot = free.unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(sidecar);
        self.by_instance.insert(instance, slot);
    }

    /// Incarnations that take work, in no particular order.
    pub fn incarnations(&self) -> impl Iterator<Item = &Incarnation> {
        let sidecars = self.slots.iter().flatten();
        sidecars
            .filter(|sidecar| sidecar.takes_work())
            .map(Sidecar::incarnation)
    }
}

const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Draws one of the few best, which it sorts to the front: of those whose completion is near the
/// earliest, the ones that have most of the prompt cached.
fn draw(weighed: &mut [Weighed], rng: &mut impl Rng) -> (usize, Basis) {
    let completion = |candidate: &Weighed| candidate.prediction.completion();
    let earliest = weighed.iter().map(completion).min().unwrap_or_default();
    let bound = earliest.mul_f64(1.0 + BEST_MARGIN);
    let order = |candidate: &Weighed| {
        let completion = completion(candidate);
        let is_far = completion > bound;
        let uncached = u32::MAX - candidate.cached_tokens;
        (is_far, if is_far { 0 } else { uncached }, completion)
    };
    let few = BEST_FEW.min(weighed.len());
    if few < weighed.len() {
        weighed.select_nth_unstable_by_key(few, order);
    }
    weighed[..few].sort_by_key(order);
    let (cached_tokens, best) = (weighed[0].cached_tokens, order(&weighed[0]));
    let is_equal = |candidate: &&Weighed| {
        let (is_far, uncached, _) = order(candidate);
        (is_far, uncached) == (best.0, best.1)
    };
    let equals = weighed[..few].iter().take_while(is_equal).count();
    let chosen = rng.random_range(0..equals.max(1));
    let basis = match cached_tokens {
        0 => Basis::Fastest,
        _ => Basis::FastestWithPrefix,
    };
    (chosen, basis)
}
