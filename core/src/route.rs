//! A router's table of sidecars, and the placement of requests on them.
//!
//! For each sidecar, the completion time of the request is predicted from the sidecar's last
//! report, this router's own dispatches that the report does not include yet, and the prompt
//! prefixes that its backend server has probably cached. One of the best candidates is drawn at
//! random, so that routers with the same stale reports do not all choose the same sidecar.

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

/// Maximum number of best candidates from which one is drawn.
const MAX_DRAWN: usize = 3;

/// Maximum number of candidates reported with a choice.
const REPORTED_CANDIDATES: usize = 4;

/// Maximum difference of a drawn candidate's predicted completion from the earliest one, as a
/// fraction of the latter.
const NEAR_BEST_MARGIN: f64 = 0.1;

/// Delay before a retry when no sidecar is known.
const NO_SIDECAR_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A candidate with its predicted times.
struct Scored {
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
    /// The highest rates ever reported: an estimate for the fastest backend server while idle.
    idle_rates: Option<Rates>,
    round_robin: usize,
}

impl Table {
    /// Creates an empty table for the router with the given boot.
    pub fn new(policy: Policy, router: Boot) -> Self {
        Self {
            policy,
            router,
            slots: Vec::new(),
            by_instance: HashMap::new(),
            by_attempt: HashMap::new(),
            affinity: PrefixHistory::default(),
            idle_rates: None,
            round_robin: 0,
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

    /// Updates the table with a sidecar's report. A report from another boot replaces the known
    /// one.
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
        self.idle_rates = Some(
            self.idle_rates
                .map_or(report.rates, |known| known.max(report.rates)),
        );
        let router = self.router;
        match self.sidecar_mut(&instance) {
            Some(sidecar) => sidecar.update(report, router, now),
            None => self.insert(Sidecar::new(report, now)),
        }
    }

    /// Records that a request was offered to a sidecar.
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
        sidecar.record_dispatch(Dispatch {
            attempt,
            rank,
            prefill_tokens: cost.uncached_tokens(cached),
            decode_tokens: cost.decode_tokens,
        });
        self.affinity.record_dispatch(&cost.prefixes, slot, now);
        self.by_attempt.insert(attempt, slot);
    }

    /// Records that an offered request has ended, with whatever outcome.
    pub fn record_completion(&mut self, attempt: Attempt) {
        let Some(slot) = self.by_attempt.remove(&attempt) else {
            return;
        };
        if let Some(sidecar) = self.slots[slot].as_mut() {
            sidecar.record_completion(attempt);
        }
    }

    /// Records that an instance accepts no new requests.
    pub fn mark_leaving(&mut self, instance: &Instance) {
        if let Some(sidecar) = self.sidecar_mut(instance) {
            sidecar.mark_leaving();
        }
    }

    /// Whether an instance is known, also one that accepts no new requests.
    pub fn contains(&self, instance: &Instance) -> bool {
        self.by_instance.contains_key(instance)
    }

    /// Removes an instance.
    pub fn remove(&mut self, instance: &Instance) {
        let Some(slot) = self.by_instance.remove(instance) else {
            return;
        };
        self.slots[slot] = None;
        self.affinity.clear_slot(slot);
        self.by_attempt.retain(|_, used| *used != slot);
    }

    /// Chooses a sidecar for a request, except for the excluded ones.
    ///
    /// Fails with [`Reason::NoBackendServer`] if there is none, with [`Reason::Infeasible`] if not
    /// even an idle one could meet the deadline, and with [`Reason::Overload`] if all are too
    /// loaded to meet it.
    pub fn choose(
        &mut self,
        request: &Request,
        excluded: &[Instance],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<Choice, Failure> {
        let mut scored = self.score(request, excluded, now);
        if scored.is_empty() {
            return Err(
                Failure::not_run(Reason::NoBackendServer).with_retry_after(NO_SIDECAR_RETRY_AFTER)
            );
        }
        if self.policy.checks_feasibility && !request.may_be_late {
            self.check_feasible(request, &scored, now)?;
        }
        let (chosen, basis) = self.select(&mut scored, rng);
        Ok(self.choice(&scored, chosen, basis))
    }

    fn score(&mut self, request: &Request, excluded: &[Instance], now: Timestamp) -> Vec<Scored> {
        let cached = match self.policy.uses_affinity {
            true => self
                .affinity
                .blocks(&request.cost.prefixes, self.slots.len(), now),
            false => Vec::new(),
        };
        let mut scored = Vec::with_capacity(self.by_instance.len());
        for (slot, sidecar) in self.slots.iter().enumerate() {
            let Some(sidecar) = sidecar
                .as_ref()
                .filter(|sidecar| sidecar.accepts_requests())
            else {
                continue;
            };
            if excluded.contains(&sidecar.incarnation().instance) {
                continue;
            }
            let blocks = cached.get(slot).copied().unwrap_or(0);
            let uncached = request.cost.uncached_tokens(blocks);
            scored.push(Scored {
                slot,
                cached_tokens: request.cost.prefill_tokens - uncached,
                prediction: sidecar.predict(request, uncached, self.policy.corrects_reports, now),
            });
        }
        scored
    }

    /// Fails if no candidate can meet the deadline. The retry delay is the time by which the lower
    /// bound of the earliest completion misses the deadline: after that time, the load ahead of the
    /// request has decreased enough.
    fn check_feasible(
        &self,
        request: &Request,
        scored: &[Scored],
        now: Timestamp,
    ) -> Result<(), Failure> {
        let remaining = request.deadline.since(now);
        let completions = scored
            .iter()
            .map(|candidate| candidate.prediction.completion());
        let best = completions.min().map(cost::min_time);
        let Some(excess) = best.and_then(|best| best.checked_sub(remaining)) else {
            return Ok(());
        };
        let idle = self.idle_rates.map_or(Duration::ZERO, |rates| {
            let cached = scored.iter().map(|candidate| candidate.cached_tokens).max();
            let uncached = request.cost.prefill_tokens - cached.unwrap_or(0);
            rates.service_time(uncached, request.cost.decode_tokens)
        });
        let reason = match cost::min_time(idle) < remaining {
            true => Reason::Overload,
            false => Reason::Infeasible,
        };
        Err(Failure::not_run(reason).with_retry_after(excess.max(MIN_RETRY_AFTER)))
    }

    /// Index of the chosen candidate, and why it was chosen. Placement by prediction sorts the best
    /// candidates to the front.
    fn select(&mut self, scored: &mut [Scored], rng: &mut impl Rng) -> (usize, Basis) {
        match self.policy.placement {
            Placement::Random => (rng.random_range(0..scored.len()), Basis::Random),
            Placement::RoundRobin => {
                self.round_robin = self.round_robin.wrapping_add(1);
                (self.round_robin % scored.len(), Basis::RoundRobin)
            }
            Placement::LeastOutstanding => {
                (self.least_outstanding(scored, rng), Basis::LeastOutstanding)
            }
            Placement::Predicted => draw(scored, rng),
        }
    }

    fn least_outstanding(&self, scored: &[Scored], rng: &mut impl Rng) -> usize {
        let outstanding = |candidate: &Scored| {
            let sidecar = self.slots[candidate.slot].as_ref();
            sidecar.map_or(0, Sidecar::outstanding)
        };
        let least = scored.iter().map(outstanding).min().unwrap_or(0);
        let ties = || {
            let all = scored.iter().enumerate();
            all.filter(|(_, candidate)| outstanding(candidate) == least)
        };
        let drawn = rng.random_range(0..ties().count().max(1));
        ties().nth(drawn).map_or(0, |(index, _)| index)
    }

    fn choice(&self, scored: &[Scored], chosen: usize, basis: Basis) -> Choice {
        let mut candidates: Vec<Candidate> = Vec::with_capacity(REPORTED_CANDIDATES);
        candidates.push(self.candidate(&scored[chosen]));
        let others = scored.iter().enumerate();
        for (_, other) in others
            .filter(|(index, _)| *index != chosen)
            .take(REPORTED_CANDIDATES - 1)
        {
            candidates.push(self.candidate(other));
        }
        Choice {
            incarnation: candidates[0].incarnation.clone(),
            predicted: scored[chosen].prediction.completion(),
            service: scored[chosen].prediction.service,
            candidates,
            basis,
        }
    }

    fn candidate(&self, scored: &Scored) -> Candidate {
        let sidecar = self.slots[scored.slot]
            .as_ref()
            .expect("a scored slot is in use");
        Candidate {
            incarnation: sidecar.incarnation().clone(),
            predicted: scored.prediction.completion(),
            cached_tokens: scored.cached_tokens,
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

    /// Incarnations that accept new requests, in no particular order.
    pub fn incarnations(&self) -> impl Iterator<Item = &Incarnation> {
        let sidecars = self.slots.iter().flatten();
        sidecars
            .filter(|sidecar| sidecar.accepts_requests())
            .map(Sidecar::incarnation)
    }
}

const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Draws one of the best candidates, which are sorted to the front. The best are those with the
/// most cached prompt tokens among the candidates whose completion is near the earliest.
fn draw(scored: &mut [Scored], rng: &mut impl Rng) -> (usize, Basis) {
    let completion = |candidate: &Scored| candidate.prediction.completion();
    let earliest = scored.iter().map(completion).min().unwrap_or_default();
    let bound = earliest.mul_f64(1.0 + NEAR_BEST_MARGIN);
    let order = |candidate: &Scored| {
        let completion = completion(candidate);
        let is_slow = completion > bound;
        let uncached = u32::MAX - candidate.cached_tokens;
        (is_slow, if is_slow { 0 } else { uncached }, completion)
    };
    let count = MAX_DRAWN.min(scored.len());
    if count < scored.len() {
        scored.select_nth_unstable_by_key(count, order);
    }
    scored[..count].sort_by_key(order);
    let (cached_tokens, best) = (scored[0].cached_tokens, order(&scored[0]));
    let is_equal = |candidate: &&Scored| {
        let (is_slow, uncached, _) = order(candidate);
        (is_slow, uncached) == (best.0, best.1)
    };
    let equals = scored[..count].iter().take_while(is_equal).count();
    let chosen = rng.random_range(0..equals.max(1));
    let basis = match cached_tokens {
        0 => Basis::Fastest,
        _ => Basis::FastestWithPrefix,
    };
    (chosen, basis)
}
