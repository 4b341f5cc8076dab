//! Ejection of backend servers that fail more often than the others of their service, agreed upon by
//! all gateways from their own outcomes and the reports of their peers.
//!
//! A server that is ejected gets no requests. It returns by trials: one request at a time, then as many
//! at once as it has answered since.

mod guard;
pub mod report;
mod tally;

pub use report::Report;

use {
    self::{
        guard::{Guard, Phase, Sources},
        tally::Counts,
    },
    super::Members,
    crate::{rendezvous, time::Timestamp},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Failures in a row, over all gateways, that eject a server.
const MAX_FAILURES_IN_A_ROW: u32 = 3;

/// Connection failures in a row that eject a server.
const MAX_UNREACHABLE_IN_A_ROW: u32 = 2;

/// Failures of one gateway that need no confirmation by a second one.
const MIN_FAILURES_OF_ONE: u32 = 3;

/// Fewest outcomes from which a share of failures is judged.
const MIN_OUTCOMES: u32 = 5;

/// Share of failures above that of the other servers of the service that ejects a server.
const SHARE_MARGIN: f64 = 0.3;

/// Largest probability, with the usual share of failures, of as many failures as eject a server. A
/// service that answers 14 % of its requests with errors has five in a row once in 20,000 requests.
const MAX_CHANCE: f64 = 1e-7;

/// Least share of failures that counts as usual: one error among many outcomes is no exception.
const MIN_USUAL_SHARE: f64 = 0.02;

/// Weight of the newest outcome in a service's usual share of errors.
const USUAL_SHARE_WEIGHT: f64 = 0.01;

/// Usual share of errors from which one error of a server is not worth a report.
const MIN_COMMON_SHARE: f64 = 0.05;

/// Errors in a row that are reported even where errors are usual.
const MIN_REPORTED_ERRORS: u32 = 2;

/// Shortest and longest ejection.
const EJECTION: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(8)];

/// Time without a failure after which the next ejection is a first one.
const FORGIVENESS: Duration = Duration::from_secs(10);

/// Longest time until an ejected server is tried with a request that may be repeated, which is not lost
/// there: a server that is well must not wait for the end of a long ejection.
const REPEATABLE_TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a trial waits for a better suited request, and for the next gateway.
const TURN: Duration = Duration::from_millis(250);

/// Turns after which any request may be a trial, if a service has no others.
const TURNS_OF_SUITED_REQUESTS: u32 = 4;

/// Time after which a trial without an outcome does not prevent the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Concurrent requests, over all gateways, at a server that has been ejected repeatedly and may be
/// about to fail again.
const PROBATION_REQUESTS: u32 = 2;

/// Longest time for which [`PROBATION_REQUESTS`] holds; at most as long as the last ejection. Servers
/// were seen to go down and up every 1.4 s.
const MAX_PROBATION: Duration = Duration::from_secs(2);

/// Concurrent requests of each gateway at a server that has just started.
const FIRST_REQUESTS: u32 = 2;

/// Ejections from which the next process at the same address begins with a trial. A process that follows a
/// first crash is usually well, and begins slowly.
const MIN_INHERITED: u32 = 2;

/// Shortest and longest pause after a refusal.
const REFUSAL_PAUSE: [Duration; 2] = [Duration::from_millis(30), Duration::from_secs(1)];

/// Time for which a server with an unexplained failure comes after the others.
const SUSPICION: Duration = Duration::from_secs(1);

/// Time after which the report of a peer does not count any more.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Time for which sums over all servers are kept. When servers crash, hundreds of reports arrive within a
/// tenth of a second, and the weakest gateways have a sixteenth of a core.
const SUMS_TTL: Duration = Duration::from_millis(100);

/// Outcome of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered completely.
    Answered,
    /// The first event or the head of the response has arrived.
    Begun,
    /// It was answered with an error, which some services do to valid requests.
    Error,
    /// The connection broke, or the response was invalid or did not come while others did not either.
    Broken,
    /// The connection could not be established.
    Unreachable,
    /// It was refused.
    Refused {
        /// Whether the server had a free slot by the counts of this gateway.
        has_free_slot: bool,
    },
}

/// How well a request is suited as a trial of an ejected server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrialUse {
    /// It may be repeated, so it is not lost.
    Preferred,
    /// It may run only once.
    #[default]
    Allowed,
    /// It may run only once and is of the most urgent rank.
    Avoided,
}

/// Whether a request may be sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// It is the trial that an ejected server needs.
    Trial,
    /// Yes.
    Free,
    /// Only if no other server has a free slot.
    Cautious,
    /// No.
    Blocked,
}

/// A change that operators are told of.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Identifier of the backend server.
    pub id: String,
    /// Its service.
    pub service: String,
    /// What has changed.
    pub kind: EventKind,
}

/// Kind of an [`Event`].
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// The server was ejected.
    Ejected {
        /// Failures and outcomes within the window, of all gateways.
        failures: u32,
        /// Outcomes within the window, of all gateways.
        outcomes: u32,
        /// Gateways that had failures.
        gateways: u32,
        /// Time until a request that runs only once may be the trial.
        length: Duration,
    },
    /// This gateway sends it a trial.
    OnTrial,
    /// A trial succeeded.
    Returned,
}

/// State of the backend servers with respect to failures, at one gateway.
#[derive(Debug)]
pub struct Containment {
    own_boot: u64,
    guards: BTreeMap<String, Guard>,
    /// Connected gateways.
    peers: BTreeSet<u64>,
    /// Usual share of errors by service, a moving average.
    usual_shares: BTreeMap<String, f64>,
    events: Vec<Event>,
    /// Until when a server may be restricted, so that most choices need not look.
    restless_until: Timestamp,
    invalid_reports: u64,
    sums: Sums,
}

/// Sums over all servers, with the time of each.
#[derive(Debug, Default)]
struct Sums {
    /// Outcomes at the servers that had any, by service and server.
    counts: RefCell<BTreeMap<String, (Timestamp, ServiceCounts)>>,
    /// Whether the fault is probably that of this gateway.
    local_fault: Cell<Option<(Timestamp, bool)>>,
}

/// Identifiers of servers, and the outcomes there.
type ServiceCounts = Vec<(String, Counts)>;

impl Containment {
    /// Creates the state of the gateway with the boot identifier `own_boot`.
    pub fn new(own_boot: u64) -> Self {
        Self {
            own_boot,
            guards: BTreeMap::new(),
            peers: BTreeSet::new(),
            usual_shares: BTreeMap::new(),
            events: Vec::new(),
            restless_until: Timestamp::START,
            invalid_reports: 0,
            sums: Sums::default(),
        }
    }

    /// Replaces the set of registered servers. Servers that join others of their service start slowly.
    pub fn update_members(&mut self, members: &Members, now: Timestamp) {
        let known: BTreeSet<String> = self.guards.values().map(|it| it.service.clone()).collect();
        let removed = self.guards.extract_if(.., |id, guard| {
            let member = members.get(id);
            member.is_none_or(|member| member.started_at_ms != guard.started_at_ms)
        });
        // A process that follows another at its address inherits its ejections: one that crashes at each
        // start must not be new each time.
        let predecessors: Vec<Guard> = removed.map(|(_, guard)| guard).collect();
        for (id, member) in members {
            if let Some(guard) = self.guards.get_mut(id) {
                guard.update(member);
                continue;
            }
            let mut guard = Guard::new(member);
            if known.contains(&member.service) {
                guard.phase = Phase::Starting {
                    allowed: FIRST_REQUESTS,
                };
            }
            let mut predecessors = predecessors.iter();
            let before = predecessors.find(|it| it.address == member.address);
            if before.is_some_and(|before| guard.inherit(before, now)) {
                guard.turn = turn(self.own_boot, &self.peers, id, &guard);
            }
            self.guards.insert(id.clone(), guard);
        }
        if self.guards.values().any(|it| it.phase != Phase::Normal) {
            self.restless_until = now.plus(FORGIVENESS);
        }
        let services: BTreeSet<&str> = members.values().map(|it| it.service.as_str()).collect();
        self.usual_shares
            .retain(|service, _| services.contains(service.as_str()));
        for service in services {
            self.enforce_bound(service, now);
        }
    }

    /// Records that a peer is connected.
    pub fn add_peer(&mut self, peer: u64) {
        self.peers.insert(peer);
    }

    /// Forgets a peer and its reports.
    pub fn remove_peer(&mut self, peer: u64) {
        self.peers.remove(&peer);
        for guard in self.guards.values_mut() {
            guard.reports.remove(&peer);
        }
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Number of reports that were ignored because their counts cannot be true.
    pub fn invalid_reports(&self) -> u64 {
        self.invalid_reports
    }

    /// Number of ejected servers by service.
    pub fn ejected(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        for guard in self.guards.values() {
            *counts.entry(guard.service.as_str()).or_default() += u64::from(guard.is_ejected());
        }
        counts
    }

    /// Records the outcome of a request of this gateway.
    pub fn record(&mut self, id: &str, outcome: Outcome, now: Timestamp) {
        let Some(guard) = self.guards.get_mut(id) else {
            return;
        };
        guard.trial = None;
        if !matches!(outcome, Outcome::Answered | Outcome::Begun) {
            self.restless_until = now.plus(FORGIVENESS);
        }
        // The errors of one server that fails each time are not usual in its service, however many.
        let is_counted = guard.own.failures_in_row < MIN_REPORTED_ERRORS;
        if is_counted && matches!(outcome, Outcome::Answered | Outcome::Error) {
            let share = self.usual_shares.entry(guard.service.clone()).or_default();
            let error = f64::from(u8::from(outcome == Outcome::Error));
            *share += (error - *share) * USUAL_SHARE_WEIGHT;
        }
        match outcome {
            Outcome::Refused { has_free_slot } => guard.pause(has_free_slot, now),
            Outcome::Answered | Outcome::Begun => {
                if guard.record_success(outcome == Outcome::Answered, now) {
                    self.add_event(id, EventKind::Returned);
                }
            }
            Outcome::Error | Outcome::Broken | Outcome::Unreachable => {
                guard.record_failure(outcome, now);
                let is_usual =
                    outcome == Outcome::Error && self.usual_share(id, now) >= MIN_COMMON_SHARE;
                self.judge_failure(id, is_usual, now);
            }
        }
    }

    /// Merges the report of a peer.
    pub fn merge(&mut self, peer: u64, report: &Report, now: Timestamp) {
        let Some(guard) = self.guards.get_mut(&report.id) else {
            return;
        };
        if guard.started_at_ms != report.started_at_ms {
            return;
        }
        if !report.is_valid() {
            self.invalid_reports += 1;
            return;
        }
        self.restless_until = now.plus(FORGIVENESS);
        let is_new = guard.merge(peer, report, now);
        if let Some(ejection) = report.ejection
            && guard.adopt(ejection, now)
        {
            self.begin_ejection(&report.id, now);
            return;
        }
        if guard.has_success_since_ejection(report) && guard.record_return(report.success, 0, now) {
            self.add_event(&report.id, EventKind::Returned);
        }
        if is_new {
            let is_usual =
                report.broken == 0 && self.usual_share(&report.id, now) >= MIN_COMMON_SHARE;
            self.judge_failure(&report.id, is_usual, now);
        }
    }

    /// What this gateway tells its peers about servers with recent failures. Nothing if the fault is
    /// probably its own.
    pub fn reports(&self, now: Timestamp) -> Vec<Report> {
        // Most of the time there is nothing to report.
        let mut guards = self
            .guards
            .iter()
            .filter(|(_, it)| it.has_news(now))
            .peekable();
        if guards.peek().is_none() || self.has_local_fault(now) {
            return Vec::new();
        }
        let reports = guards.filter_map(|(id, guard)| {
            let share = self.usual_shares.get(&guard.service).copied();
            let is_common = share.unwrap_or_default() >= MIN_COMMON_SHARE;
            guard.report(id, is_common, self.has_success_elsewhere(id, guard), now)
        });
        reports.collect()
    }

    /// Whether a request may be sent to a server at which this gateway has `own_requests`, and all gateways
    /// together `all_requests`.
    pub fn eligibility(
        &self,
        id: &str,
        own_requests: u32,
        all_requests: u32,
        trial_use: TrialUse,
        now: Timestamp,
    ) -> Eligibility {
        if self.restless_until <= now {
            return Eligibility::Free;
        }
        let Some(guard) = self.guards.get(id) else {
            return Eligibility::Free;
        };
        if guard.paused_until > now {
            return Eligibility::Blocked;
        }
        match guard.phase {
            Phase::Ejected { .. } => match self.is_trial_due(guard, trial_use, now) {
                true => Eligibility::Trial,
                false => Eligibility::Blocked,
            },
            // Not divided among the gateways: in a large fleet few of them have a request for it.
            Phase::Returning { .. } if all_requests < guard.allowance(now) => Eligibility::Free,
            Phase::Returning { .. } => Eligibility::Blocked,
            Phase::Starting { allowed } if own_requests >= allowed => Eligibility::Cautious,
            _ => Eligibility::Free,
        }
    }

    /// Whether the last request to a server got no response, at any gateway, and none has since.
    pub fn is_suspect(&self, id: &str, now: Timestamp) -> bool {
        self.restless_until > now && self.guards.get(id).is_some_and(|it| it.is_suspect(now))
    }

    /// Whether a server gets no requests now, or only trials.
    pub fn is_ejected(&self, id: &str, now: Timestamp) -> bool {
        let guard = self.guards.get(id);
        guard.is_some_and(|guard| guard.is_ejected() || guard.paused_until > now)
    }

    /// Whether a server has responded to any gateway since `sent`, as far as this one knows.
    pub fn has_responded(&self, id: &str, sent: Timestamp, now: Timestamp) -> bool {
        let guard = self.guards.get(id);
        guard.is_none_or(|guard| guard.last_success(now).is_some_and(|at| at >= sent))
    }

    /// Whether this gateway has had a failure at a server lately. An older one says little, and the server
    /// would never be used again if it counted.
    pub fn has_recent_failure(&self, id: &str, now: Timestamp) -> bool {
        let last_failure = self.guards.get(id).and_then(|it| it.own.last_failure);
        last_failure.is_some_and(|at| now.since(at) < REPORT_TTL)
    }

    /// Records that a request is about to be sent.
    pub fn record_request(&mut self, id: &str, now: Timestamp) {
        let Some(guard) = self.guards.get_mut(id) else {
            return;
        };
        if guard.is_ejected() {
            guard.trial = Some(now);
            self.add_event(id, EventKind::OnTrial);
        }
    }

    fn is_trial_due(&self, guard: &Guard, trial_use: TrialUse, now: Timestamp) -> bool {
        let Phase::Ejected { until, trial_from } = guard.phase else {
            return false;
        };
        if guard.is_tried(now) {
            return false;
        }
        let from = match trial_use {
            TrialUse::Preferred => trial_from,
            TrialUse::Allowed => until.plus(TURN),
            TrialUse::Avoided => until.plus(TURN * TURNS_OF_SUITED_REQUESTS),
        };
        // In a large fleet few gateways have a request for the server, so that turns are shorter: all
        // gateways have had theirs after a second.
        let gateways = self.peers.len() as u32 + 1;
        let turn = TURN.min(TURN * TURNS_OF_SUITED_REQUESTS / gateways);
        from.plus(turn * guard.turn) <= now
    }

    /// Judges a server after a failure. An error where errors are usual ends a trial, but not the return
    /// that follows it.
    fn judge_failure(&mut self, id: &str, is_usual: bool, now: Timestamp) {
        let Some(guard) = self.guards.get(id) else {
            return;
        };
        match guard.phase {
            Phase::Ejected { until, .. } => {
                let has_failed = guard.last_failure(now).is_some_and(|at| at > guard.since);
                if !has_failed {
                    return;
                }
                match now < until {
                    true => self.delay_trial(id, now),
                    false => self.eject(id, now),
                }
                return;
            }
            Phase::Returning { .. } if !is_usual => {
                if guard.last_failure(now).is_some_and(|at| at > guard.since) {
                    self.eject(id, now);
                }
                return;
            }
            _ => {}
        }
        let sources = guard.sources(self.own_certainty(id, now), now);
        if sources.is_corroborated()
            && (sources.failures_in_row >= MAX_FAILURES_IN_A_ROW
                || sources.unreachable_in_row >= MAX_UNREACHABLE_IN_A_ROW
                || self.is_outlier(id, &sources, now))
        {
            self.eject(id, now);
        }
    }

    fn delay_trial(&mut self, id: &str, now: Timestamp) {
        if let Some(guard) = self.guards.get_mut(id)
            && let Phase::Ejected { trial_from, .. } = &mut guard.phase
        {
            *trial_from = now.plus(REPEATABLE_TRIAL_INTERVAL);
            guard.since = now;
        }
    }

    fn eject(&mut self, id: &str, now: Timestamp) {
        let own_certainty = self.own_certainty(id, now);
        let Some(guard) = self.guards.get_mut(id) else {
            return;
        };
        let sources = guard.sources(own_certainty, now);
        let was_ejected = guard.is_ejected();
        let length = guard.eject(sources.counts.share(), now);
        self.begin_ejection(id, now);
        if !was_ejected && self.guards.get(id).is_some_and(Guard::is_ejected) {
            let kind = EventKind::Ejected {
                failures: sources.counts.failures(),
                outcomes: sources.counts.outcomes(),
                gateways: sources.gateways,
                length,
            };
            self.add_event(id, kind);
        }
    }

    /// Determines who tries an ejected server, and applies the bound of its service.
    fn begin_ejection(&mut self, id: &str, now: Timestamp) {
        let Some(guard) = self.guards.get_mut(id) else {
            return;
        };
        guard.turn = turn(self.own_boot, &self.peers, id, guard);
        let service = guard.service.clone();
        self.enforce_bound(&service, now);
    }

    /// Lets those of a service's ejected servers serve that have failed least, as long as they are more
    /// than half.
    fn enforce_bound(&mut self, service: &str, now: Timestamp) {
        let of_service = self.guards.values().filter(|it| it.service == service);
        let count = of_service.filter(|it| !it.is_leaving).count();
        loop {
            let guards = self.guards.iter_mut();
            let ejected =
                guards.filter(|(_, it)| it.service == service && !it.is_leaving && it.is_ejected());
            let mut ejected: Vec<_> = ejected.map(|(_, guard)| guard).collect();
            if ejected.len() <= count / 2 {
                return;
            }
            ejected.sort_by(|one, other| one.share.total_cmp(&other.share));
            if let Some(least) = ejected.first_mut() {
                least.release(now);
            }
        }
    }

    /// Whether the failures are far more than is usual in the service, in the window or in a row: among the
    /// answers of the last seconds, a few failures are a small share.
    fn is_outlier(&self, id: &str, sources: &Sources, now: Timestamp) -> bool {
        let counts = sources.counts;
        if counts.outcomes().max(sources.bad_in_row) < MIN_OUTCOMES {
            return false;
        }
        let usual = self.usual_share(id, now).max(MIN_USUAL_SHARE);
        // Where errors are common, answers between those of two gateways are not reported.
        let row = match usual >= MIN_COMMON_SHARE {
            true => sources.most_bad_in_row,
            false => sources.bad_in_row,
        };
        let is_unlikely = |failures: u32, outcomes: u32| {
            let share = f64::from(failures) / f64::from(outcomes.max(1));
            outcomes >= MIN_OUTCOMES
                && share >= usual + SHARE_MARGIN
                && tally::chance(failures, outcomes, usual) < MAX_CHANCE
        };
        is_unlikely(row, row) || is_unlikely(counts.failures(), counts.outcomes())
    }

    /// Share of failures that is usual in the service of a server: the median and the mean of the others in
    /// the window, or the long-term mean if that is more.
    fn usual_share(&self, id: &str, now: Timestamp) -> f64 {
        let Some(own) = self.guards.get(id) else {
            return 0.0;
        };
        let mut shares = Vec::new();
        let mut sum = Counts::default();
        let mut services = self.sums.counts.borrow_mut();
        let is_fresh = |at: Timestamp| now.since(at) < SUMS_TTL;
        if !services
            .get(&own.service)
            .is_some_and(|(at, _)| is_fresh(*at))
        {
            services.insert(
                own.service.clone(),
                (now, self.service_counts(&own.service, now)),
            );
        }
        let counts = services.get(&own.service).map(|(_, counts)| counts);
        for (_, counts) in counts
            .into_iter()
            .flatten()
            .filter(|(other, _)| other != id)
        {
            shares.push(counts.share());
            sum = sum.plus(*counts);
        }
        shares.sort_by(f64::total_cmp);
        let median = shares.get(shares.len() / 2).copied().unwrap_or_default();
        let long_term = self.usual_shares.get(&own.service).copied();
        median.max(sum.share()).max(long_term.unwrap_or_default())
    }

    /// Whether this gateway's own observations of a server suffice for an ejection; `None` if they do not
    /// count at all.
    fn own_certainty(&self, id: &str, now: Timestamp) -> Option<bool> {
        let guard = self.guards.get(id)?;
        let is_certain = self.has_success_elsewhere(id, guard);
        (!self.has_local_fault(now)).then_some(is_certain)
    }

    /// Outcomes at the servers of a service that had any.
    fn service_counts(&self, service: &str, now: Timestamp) -> ServiceCounts {
        let of_service = self.guards.iter().filter(|(_, it)| it.service == service);
        of_service
            .map(|(id, guard)| (id.clone(), guard.sources(Some(true), now).counts))
            .filter(|(_, counts)| counts.outcomes() > 0)
            .collect()
    }

    /// Whether more than half of the servers that this gateway used have failed here and nowhere else.
    /// Ejected servers do not count: their trials fail more often than those of others.
    fn has_local_fault(&self, now: Timestamp) -> bool {
        if let Some((at, is_local)) = self.sums.local_fault.get()
            && now.since(at) < SUMS_TTL
        {
            return is_local;
        }
        let is_local = self.find_local_fault(now);
        self.sums.local_fault.set(Some((now, is_local)));
        is_local
    }

    fn find_local_fault(&self, now: Timestamp) -> bool {
        let mut used = 0;
        let mut failed = 0;
        for guard in self.guards.values() {
            let is_restricted =
                guard.is_ejected() || matches!(guard.phase, Phase::Returning { .. });
            if is_restricted || guard.own.counts(now).outcomes() == 0 {
                continue;
            }
            used += 1;
            failed += u32::from(guard.own.is_failing(now) && !guard.is_failing_at_peers(now));
        }
        failed * 2 > used
    }

    /// Whether another server has responded to this gateway since the failures of this one began, so that
    /// the fault is not on this side.
    fn has_success_elsewhere(&self, id: &str, failing: &Guard) -> bool {
        let Some(begin) = failing.own.row_began else {
            return false;
        };
        let mut others = self.guards.iter().filter(|(other, _)| *other != id);
        others.any(|(_, guard)| guard.own.last_success.is_some_and(|at| at >= begin))
    }

    fn add_event(&mut self, id: &str, kind: EventKind) {
        if let Some(guard) = self.guards.get(id) {
            self.events.push(Event {
                id: id.to_owned(),
                service: guard.service.clone(),
                kind,
            });
        }
    }
}

/// Number of gateways that come before this one, in an order that differs for each ejection.
fn turn(own: u64, peers: &BTreeSet<u64>, id: &str, guard: &Guard) -> u32 {
    let key = format!("{id} {} {}", guard.started_at_ms, guard.ejections);
    let before = peers.iter().copied();
    let before = before.filter(|peer| !rendezvous::ranks_highest(&key, own, [*peer]));
    before.count() as u32
}
