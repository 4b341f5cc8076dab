//! The scheduler's part of rollouts: which version a request runs at, and the counts of its answers.

use {
    super::{InFlightRequest, Scheduler, state::State},
    rand::Rng as _,
    std::time::Duration,
    tamarackdale_core::{
        fleet::{Member, RequestLoad},
        rendezvous,
        revision::Revision,
        rollout::{Event, Key, Observation, Outcome, Pick, Side, Work, statistics::millis},
        summary::Summary,
        time::Timestamp,
    },
};

/// Figures of a rollout, for metrics.
pub struct RolloutFigures {
    /// Service.
    pub service: String,
    /// Version that the order names.
    pub to: String,
    /// Its share at this gateway.
    pub share: f64,
    /// Requests, answers and bad answers of the old and the new version at this gateway.
    pub totals: [(f64, f64, f64); 2],
}

/// An answer that counts in the statistics of a rollout.
#[derive(Debug)]
pub struct CountedAnswer {
    service: String,
    key: Key,
    /// Order for which it counts.
    revision: Option<Revision>,
    sent: Timestamp,
}

impl Scheduler {
    /// Decides at which version a new request with an output of `tokens` runs.
    pub fn pick_version(&self, service: &str, route: &str, tokens: u32) -> Pick {
        let mut state = self.lock();
        if !state.rollouts.is_active() {
            return Pick::Any;
        }
        let now = self.clock.now();
        state
            .rollouts
            .pick(service, route_number(route), tokens, now)
    }

    /// Whether no request may be sent to the version of a backend server, also if it was placed there.
    pub fn is_version_stopped(&self, member: &Member) -> bool {
        let state = self.lock();
        if !state.rollouts.is_active() {
            return false;
        }
        let now = self.clock.now();
        state
            .rollouts
            .is_stopped(&member.service, &member.version, now)
    }

    /// Counts a request that is sent, if its service has a rollout.
    pub fn count_sent(&self, member: &Member, route: &str, pick: Pick) -> Option<CountedAnswer> {
        let mut state = self.lock();
        if !state.rollouts.is_active() {
            return None;
        }
        let sent = self.clock.now();
        let route = route_number(route);
        let (service, version) = (member.service.as_str(), member.version.as_str());
        let (key, revision) = state.rollouts.record_sent(service, version, route, pick)?;
        Some(CountedAnswer {
            service: service.to_owned(),
            key,
            revision,
            sent,
        })
    }

    fn record_outcome(&self, answer: &CountedAnswer, outcome: Outcome) {
        let mut state = self.lock();
        let rollouts = &mut state.rollouts;
        rollouts.record(&answer.service, answer.revision, answer.key, outcome);
    }

    /// Records what the store has for a service.
    pub fn observe_rollout(&self, observation: &Observation) {
        let now = self.clock.now();
        let mut state = self.lock();
        let random = state.random.random();
        let event = state.rollouts.observe(observation, random, now);
        if let Some(event) = event {
            log_event(&state, &observation.service, &event, now);
        }
        if let Some(order) = &observation.order
            && let Err(invalid) = &order.target
        {
            log::warn!(
                service = observation.service.as_str(),
                to = invalid.to.as_str(),
                revision:% = order.revision,
                reason = invalid.reason.as_str();
                "rollout order cannot be carried out"
            );
        }
        state.place_waiting(None, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Judges the answers of rollouts and follows their schedules. Called several times a second.
    pub fn update_rollouts(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.rollouts.is_active() {
            return;
        }
        let random = state.random.random();
        let State {
            rollouts, fleet, ..
        } = &mut *state;
        let events = rollouts.update(
            |service, to| fleet.own_requests_elsewhere(service, to),
            random,
            now,
        );
        for (service, event) in &events {
            log_event(&state, service, event, now);
        }
        state.place_waiting(None, now);
        drop(state);
        if !events.is_empty() {
            self.changed.notify_one();
        }
    }

    /// What the store is to be asked and told about rollouts.
    pub fn rollout_work(&self, is_lowest: bool) -> Work {
        let now = self.clock.now();
        self.lock().rollouts.work(is_lowest, now)
    }

    /// Figures of all rollouts.
    pub fn rollout_figures(&self) -> Vec<RolloutFigures> {
        let now = self.clock.now();
        let state = self.lock();
        let settings = state.rollouts.settings();
        let rollouts = state.rollouts.rollouts();
        rollouts
            .map(|(service, rollout)| RolloutFigures {
                service: service.to_owned(),
                to: rollout.target.to.clone(),
                share: rollout.share(&settings, now),
                totals: [rollout.totals(Side::Old), rollout.totals(Side::New)],
            })
            .collect()
    }

    /// Number of peers' counts that were ignored because they are out of range.
    pub fn invalid_rollout_reports(&self) -> u64 {
        self.lock().invalid_rollout_reports
    }
}

impl State {
    /// Merges the rollouts of a peer.
    pub(super) fn merge_rollouts(&mut self, peer: u64, summary: &Summary, now: Timestamp) {
        if summary.invalid_rollouts > 0 {
            self.invalid_rollout_reports += summary.invalid_rollouts as u64;
            if self.invalid_rollout_peers.insert(peer) {
                log::warn!(boot = peer; "ignoring a peer's counts of a rollout that are out of range");
            }
        }
        for report in &summary.rollouts {
            let random = self.random.random();
            let events = self.rollouts.merge(peer, report, random, now);
            for event in events {
                log_event(self, &report.service, &event, now);
            }
        }
    }
}

impl InFlightRequest {
    /// Counts the answer to the request, which is sent now, in the statistics of a rollout.
    pub fn count_answer(&mut self, answer: Option<CountedAnswer>) {
        self.answer.replace(answer);
    }

    /// Records that the answer failed.
    pub fn record_failed_answer(&self) {
        if let Some(answer) = self.answer.take() {
            let outcome = Outcome {
                has_failed: true,
                ..Outcome::default()
            };
            self.scheduler.record_outcome(&answer, outcome);
        }
    }

    /// Records that the request was refused, which is a failure if the backend server had a free slot.
    pub fn record_refusal(&self) {
        match self.load.prompt_tokens_ahead {
            Some(_) => self.record_failed_answer(),
            None => drop(self.answer.take()),
        }
    }

    /// Records a complete answer with `tokens` output tokens after the first event.
    pub(super) fn record_good_answer(&self, tokens: u32, now: Timestamp) {
        if let Some(answer) = self.answer.take() {
            let outcome = outcome(self.load, answer.sent, self.first_event, tokens, now);
            self.scheduler.record_outcome(&answer, outcome);
        }
    }
}

fn outcome(
    load: RequestLoad,
    sent: Timestamp,
    first_event: Option<Timestamp>,
    tokens: u32,
    now: Timestamp,
) -> Outcome {
    let first = first_event.unwrap_or(now);
    let is_plain = load.prompt_tokens == 0;
    let part = |time: Duration, parts: u32| millis(time) / f64::from(parts.max(1));
    // A request that waits for others tells little of the version.
    let pending = load.prompt_tokens_ahead.filter(|_| !is_plain);
    let pending = pending.map(|ahead| ahead.saturating_add(load.prompt_tokens));
    Outcome {
        has_failed: false,
        first_ms: pending.map(|tokens| part(first.since(sent), tokens)),
        event_ms: (!is_plain && tokens > 0).then(|| part(now.since(first), tokens)),
        occupancy_ms: is_plain.then(|| millis(now.since(sent))),
    }
}

fn route_number(route: &str) -> u32 {
    rendezvous::hash(route) as u32
}

fn log_event(state: &State, service: &str, event: &Event, now: Timestamp) {
    let Some(rollout) = state.rollouts.rollout(service) else {
        return;
    };
    let share = rollout.share(&state.rollouts.settings(), now);
    let (_, old_answers, old_bad) = rollout.totals(Side::Old);
    let (_, new_answers, new_bad) = rollout.totals(Side::New);
    let old = rollout.statistics.total(Side::Old);
    let new = rollout.statistics.total(Side::New);
    let (message, reason) = match event {
        Event::Started => ("rollout started", None),
        Event::Raised => ("rollout share raised", None),
        Event::RolledBack(reason) => ("rollout rolled back", Some(reason.as_str())),
        Event::Completed => ("rollout completed", None),
    };
    log::info!(
        service,
        to = rollout.target.to.as_str(),
        revision = rollout.revision.map(|revision| revision.to_string()),
        ramp_ms = u64::try_from(rollout.target.ramp.as_millis()).unwrap_or(u64::MAX),
        elapsed_ms = rollout.age(now).as_millis() as u64,
        share,
        reason,
        old_sent = old.sent,
        old_answers = old.answers,
        old_bad = old.bad,
        new_sent = new.sent,
        new_answers = new.answers,
        new_bad = new.bad,
        own_old_answers = old_answers,
        own_old_bad = old_bad,
        own_new_answers = new_answers,
        own_new_bad = new_bad;
        "{message}"
    );
}
