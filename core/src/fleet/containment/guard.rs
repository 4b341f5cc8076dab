//! What a gateway knows of the failures of one backend server.

use {
    super::{
        EJECTION, FORGIVENESS, MAX_PROBATION, MAX_UNREACHABLE_IN_A_ROW, MIN_FAILURES_OF_ONE,
        MIN_INHERITED, MIN_REPORTED_ERRORS, Outcome, PROBATION_REQUESTS, REFUSAL_PAUSE,
        REPEATABLE_TRIAL_INTERVAL, REPORT_TTL, Report, SUSPICION, TRIAL_TIMEOUT,
        report::Ejection,
        tally::{Counts, Tally},
    },
    crate::{fleet::Member, time::Timestamp},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Difference between two arrivals of the same report: its times are sent as ages, so that they vary by
/// the delay of the message.
const REPORT_JITTER: Duration = Duration::from_millis(50);

/// How a server is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Without restriction.
    Normal,
    /// It has joined others and begins slowly; holds the concurrent requests of this gateway.
    Starting { allowed: u32 },
    /// It gets trials only.
    Ejected {
        /// When a request that runs only once may be the trial.
        until: Timestamp,
        /// When a repeatable request may be the trial.
        trial_from: Timestamp,
    },
    /// It gets as many concurrent requests as it has answered since; holds the number that this
    /// gateway had answered.
    Returning { answered: u32 },
}

/// Failures at a server, from all gateways whose observations count.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sources {
    pub(super) counts: Counts,
    pub(super) failures_in_row: u32,
    pub(super) unreachable_in_row: u32,
    /// Failures and errors in a row, of all gateways together.
    pub(super) bad_in_row: u32,
    /// The same at the one gateway that has most. It is exact also where the others do not report.
    pub(super) most_bad_in_row: u32,
    /// Gateways with failures.
    pub(super) gateways: u32,
    /// Whether one of them has enough failures, and answers of other servers meanwhile.
    has_certain: bool,
}

impl Sources {
    /// Whether the fault is that of the server, not of one gateway.
    pub(super) fn is_corroborated(&self) -> bool {
        self.gateways >= 2 || self.has_certain
    }
}

/// A report and when it arrived.
#[derive(Clone, Debug)]
pub(super) struct Received {
    report: Report,
    at: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct Guard {
    pub(super) started_at_ms: u64,
    pub(super) service: String,
    pub(super) address: SocketAddr,
    pub(super) is_leaving: bool,
    slots: u32,
    pub(super) phase: Phase,
    /// When the phase began, or its last failure. Earlier failures do not count.
    pub(super) since: Timestamp,
    pub(super) own: Tally,
    /// The newest report of each peer.
    pub(super) reports: BTreeMap<u64, Received>,
    /// Counts at the last failure here, or at `success`, for peers: a report changes only with these.
    told: Counts,
    /// First answer to this gateway after the last known failure.
    success: Option<Timestamp>,
    pub(super) ejections: u32,
    /// Whether this gateway has decided upon the last ejection by its own failures, and so tells all others of it.
    is_own_ejection: bool,
    /// When the last ejection began.
    ejection_at: Timestamp,
    /// Length of the last ejection.
    length: Duration,
    /// End of the last ejection, or the last failure that led to one.
    last_ejection: Timestamp,
    /// Share of failures at the last ejection.
    pub(super) share: f64,
    /// Number of gateways that come before this one for a trial.
    pub(super) turn: u32,
    /// When this gateway sent a trial that has no outcome yet.
    pub(super) trial: Option<Timestamp>,
    refusals: u32,
    pub(super) paused_until: Timestamp,
}

impl Guard {
    pub(super) fn new(member: &Member) -> Self {
        Self {
            started_at_ms: member.started_at_ms,
            service: member.service.clone(),
            address: member.address,
            is_leaving: member.is_leaving,
            slots: member.slots,
            phase: Phase::Normal,
            since: Timestamp::START,
            own: Tally::default(),
            reports: BTreeMap::new(),
            told: Counts::default(),
            success: None,
            ejections: 0,
            is_own_ejection: false,
            ejection_at: Timestamp::START,
            length: Duration::ZERO,
            last_ejection: Timestamp::START,
            share: 0.0,
            turn: 0,
            trial: None,
            refusals: 0,
            paused_until: Timestamp::START,
        }
    }

    pub(super) fn update(&mut self, member: &Member) {
        self.slots = member.slots;
        self.is_leaving = member.is_leaving;
        if self.service != member.service {
            self.service.clone_from(&member.service);
        }
    }

    /// Takes over the ejections of an earlier process. Returns whether it has any that still count.
    pub(super) fn inherit(&mut self, before: &Self, now: Timestamp) -> bool {
        if before.ejections < MIN_INHERITED || now.since(before.last_ejection) >= FORGIVENESS {
            return false;
        }
        self.ejections = before.ejections;
        self.length = before.length;
        self.last_ejection = now;
        self.share = before.share;
        self.since = now;
        self.ejection_at = now;
        self.phase = Phase::Ejected {
            until: now,
            trial_from: now,
        };
        true
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// Ejects the server. Returns for how long.
    pub(super) fn eject(&mut self, share: f64, now: Timestamp) -> Duration {
        if now.since(self.last_ejection) >= FORGIVENESS {
            self.ejections = 0;
        }
        let ejection = Ejection {
            number: self.ejections.saturating_add(1),
            at: now,
        };
        if !self.is_ejected() {
            self.share = share;
        }
        // Without own failures the decision follows from reports that all others have got too.
        let last_failure = self.own.last_failure;
        let has_failed = last_failure.is_some_and(|at| now.since(at) < REPORT_TTL);
        self.begin(ejection);
        self.is_own_ejection = has_failed;
        self.length
    }

    fn begin(&mut self, Ejection { number, at }: Ejection) {
        let [shortest, longest] = EJECTION;
        let doublings = number.saturating_sub(1).min(8);
        self.length = shortest.saturating_mul(1 << doublings).min(longest);
        self.ejections = number;
        self.last_ejection = at.plus(self.length);
        self.phase = Phase::Ejected {
            until: at.plus(self.length),
            trial_from: at.plus(self.length.min(REPEATABLE_TRIAL_INTERVAL)),
        };
        self.since = at;
        self.ejection_at = at;
        self.trial = None;
        self.told = Counts::default();
        self.own.clear();
    }

    /// Takes over the ejection of a peer if it is newer than what is known here, so that all gateways
    /// have the same one. Returns whether it did.
    pub(super) fn adopt(&mut self, ejection: Ejection, now: Timestamp) -> bool {
        let is_newer = match self.is_ejected() {
            true => ejection.number > self.ejections,
            false => {
                let success = self.last_success(now);
                let is_known =
                    self.since != Timestamp::START && ejection.at <= self.since.plus(REPORT_JITTER);
                !is_known && success.is_none_or(|success| ejection.at > success)
            }
        };
        if is_newer {
            let counts = self.own.counts(now);
            self.share = counts.share();
            self.begin(ejection);
            self.is_own_ejection = false;
        }
        is_newer
    }

    /// Ends the ejection without a trial.
    pub(super) fn release(&mut self, now: Timestamp) {
        self.phase = Phase::Normal;
        self.since = now;
    }

    /// Records a failure of a request of this gateway.
    pub(super) fn record_failure(&mut self, outcome: Outcome, now: Timestamp) {
        self.own.record_failure(outcome, now);
        self.told = self.own.counts(now);
    }

    /// Records that the server has responded to this gateway. Returns whether this ends an ejection.
    pub(super) fn record_success(&mut self, is_answer: bool, now: Timestamp) -> bool {
        // Peers need not hear of an answer after the last failure from each gateway.
        let last_failure = self.last_failure(now);
        if last_failure.is_some() && self.last_success(now) < last_failure {
            self.success = Some(now);
            self.told = self.own.counts(now);
        }
        self.own.record_success(now);
        self.refusals = 0;
        if is_answer {
            self.own.record_answer(now);
        }
        // A first event counts too: the rest of a stream may take seconds.
        match &mut self.phase {
            Phase::Starting { allowed } => *allowed = allowed.saturating_add(1),
            Phase::Returning { answered } => *answered = answered.saturating_add(1),
            Phase::Normal | Phase::Ejected { .. } => {}
        }
        let has_returned = self.record_return(Some(now), 1, now);
        self.complete_phase(now);
        has_returned
    }

    /// Records that the server has responded at `success`, to this gateway (`answered` is 1) or to another.
    /// Returns whether this ends an ejection.
    pub(super) fn record_return(
        &mut self,
        success: Option<Timestamp>,
        answered: u32,
        now: Timestamp,
    ) -> bool {
        let Phase::Ejected { trial_from, .. } = self.phase else {
            return false;
        };
        let is_trial = success.is_some_and(|at| at.plus(REPORT_JITTER) >= trial_from);
        if is_trial {
            self.phase = Phase::Returning { answered };
            self.since = now;
            self.trial = None;
            if answered > 0 {
                self.success = success;
            }
        }
        is_trial
    }

    /// Whether a report tells of an answer after the ejection.
    pub(super) fn has_success_since_ejection(&self, report: &Report) -> bool {
        let after = self.since.plus(REPORT_JITTER);
        self.is_ejected() && report.success.is_some_and(|at| at > after)
    }

    /// Concurrent requests that all gateways together may have at a server that returns.
    pub(super) fn allowance(&self, now: Timestamp) -> u32 {
        let Phase::Returning { answered } = self.phase else {
            return self.slots;
        };
        let at_peers = self.fresh(now).map(|it| it.report.answered_since_return);
        let answered = at_peers.fold(answered, u32::saturating_add);
        if now.since(self.since) >= MAX_PROBATION {
            return self.slots;
        }
        // The trial was answered somewhere.
        let allowance = answered.max(1).saturating_add(1);
        let is_on_probation =
            self.ejections > 1 && now.since(self.since) < self.length.min(MAX_PROBATION);
        match is_on_probation {
            true => allowance.min(PROBATION_REQUESTS),
            false => allowance,
        }
    }

    /// Lifts the restriction of a server that has answered enough.
    fn complete_phase(&mut self, now: Timestamp) {
        let is_complete = match self.phase {
            Phase::Starting { allowed } => allowed >= self.slots,
            Phase::Returning { .. } => self.allowance(now) >= self.slots,
            Phase::Normal | Phase::Ejected { .. } => false,
        };
        if is_complete {
            self.phase = Phase::Normal;
        }
    }

    /// Begins a pause after a refusal. It grows only if the server refuses although it has room.
    pub(super) fn pause(&mut self, has_free_slot: bool, now: Timestamp) {
        let [shortest, longest] = REFUSAL_PAUSE;
        let length = match has_free_slot {
            true => shortest.saturating_mul(1 << self.refusals.min(8)),
            false => shortest,
        };
        self.refusals = self.refusals.saturating_add(u32::from(has_free_slot));
        self.paused_until = self.paused_until.max(now.plus(length.min(longest)));
    }

    /// Keeps a peer's report. Returns whether it tells of a new failure.
    pub(super) fn merge(&mut self, peer: u64, report: &Report, now: Timestamp) -> bool {
        let longest = now.plus(REFUSAL_PAUSE[1]);
        if let Some(until) = report.paused_until {
            self.paused_until = self.paused_until.max(until.min(longest));
        }
        let received = Received {
            report: report.clone(),
            at: now,
        };
        let before = self.reports.insert(peer, received);
        let failures = |report: &Report| {
            let counts = [report.errors, report.broken];
            (counts, report.failures_in_row, report.unreachable_in_row)
        };
        let is_same = before.as_ref().is_some_and(|before| {
            failures(&before.report) == failures(report)
                && before.report.last_failure.map(|at| at.plus(REPORT_JITTER))
                    >= report.last_failure
        });
        self.complete_phase(now);
        report.last_failure.is_some() && !is_same
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Received> {
        let reports = self.reports.values();
        reports.filter(move |it| now.since(it.at) < REPORT_TTL)
    }

    /// Reports of failures that are no older than the phase.
    fn failing(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        let since = match self.since {
            Timestamp::START => Timestamp::START,
            since => since.plus(REPORT_JITTER),
        };
        let reports = self.fresh(now).map(|it| &it.report);
        reports.filter(move |it| {
            it.last_failure
                .is_some_and(|at| at > since && now.since(at) < REPORT_TTL)
        })
    }

    /// The last failure that counts, at any gateway.
    pub(super) fn last_failure(&self, now: Timestamp) -> Option<Timestamp> {
        let at_peers = self.failing(now).filter_map(|it| it.last_failure);
        let own = self.own.last_failure;
        let own = own.filter(|at| *at > self.since || self.since == Timestamp::START);
        own.into_iter().chain(at_peers).max()
    }

    /// Whether a peer knows of a failure without a later answer.
    pub(super) fn is_failing_at_peers(&self, now: Timestamp) -> bool {
        self.failing(now).any(|it| it.failures_in_row > 0)
    }

    pub(super) fn last_success(&self, now: Timestamp) -> Option<Timestamp> {
        let at_peers = self.fresh(now).filter_map(|it| it.report.success);
        self.own.last_success.into_iter().chain(at_peers).max()
    }

    /// Whether the last request, at any gateway, got no response and none has since.
    pub(super) fn is_suspect(&self, now: Timestamp) -> bool {
        if self.own.broken_in_row == 0 && self.reports.is_empty() {
            return false;
        }
        let own = self.own.last_failure.filter(|_| self.own.broken_in_row > 0);
        let at_peers = self.failing(now).filter(|it| it.failures_in_row > 0);
        let at_peers = at_peers.filter_map(|it| it.last_failure);
        let last_failure = own.into_iter().chain(at_peers).max();
        let is_recent = last_failure.is_some_and(|at| now.since(at) < SUSPICION);
        is_recent && self.last_success(now) < last_failure
    }

    /// The failures that count. `own_certainty` tells whether those of this gateway suffice alone, or is
    /// `None` if they do not count.
    pub(super) fn sources(&self, own_certainty: Option<bool>, now: Timestamp) -> Sources {
        let mut sources = Sources::default();
        let success = self.last_success(now);
        if let Some(is_certain) = own_certainty {
            let counts = self.own.counts(now);
            sources.counts = counts;
            sources.gateways = u32::from(counts.failures() > 0);
            let is_enough = counts.failures() >= MIN_FAILURES_OF_ONE
                || self.own.unreachable_in_row >= MAX_UNREACHABLE_IN_A_ROW;
            sources.has_certain = is_enough && is_certain;
            if self.own.last_failure > success {
                sources.failures_in_row = self.own.broken_in_row;
                sources.unreachable_in_row = self.own.unreachable_in_row;
                sources.bad_in_row = self.own.failures_in_row;
            }
            sources.most_bad_in_row = self.own.failures_in_row;
        }
        for report in self.failing(now) {
            sources.gateways += 1;
            sources.counts = sources.counts.plus(Counts {
                answered: 0,
                errors: report.errors,
                broken: report.broken,
            });
            sources.most_bad_in_row = sources.most_bad_in_row.max(report.bad_in_row);
            let failures = report.errors.saturating_add(report.broken);
            sources.has_certain |= failures >= MIN_FAILURES_OF_ONE && report.has_success_elsewhere;
            if report.last_failure > success {
                let (row, unreachable) = (report.failures_in_row, report.unreachable_in_row);
                sources.bad_in_row = sources.bad_in_row.saturating_add(report.bad_in_row);
                sources.failures_in_row = sources.failures_in_row.saturating_add(row);
                sources.unreachable_in_row = sources.unreachable_in_row.saturating_add(unreachable);
            }
        }
        for received in self.fresh(now) {
            sources.counts.answered = sources
                .counts
                .answered
                .saturating_add(received.report.answered);
        }
        sources
    }

    /// Whether a gateway waits for the outcome of a trial.
    pub(super) fn is_tried(&self, now: Timestamp) -> bool {
        let is_pending = |at: Timestamp| now.since(at) < TRIAL_TIMEOUT;
        let mut at_peers = self.reports.values();
        self.trial.is_some_and(is_pending)
            || at_peers.any(|it| it.report.is_trying && is_pending(it.at))
    }

    /// Whether there may be something for peers.
    pub(super) fn has_news(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.since(at) < REPORT_TTL;
        self.own.last_failure.is_some_and(is_recent)
            || self.success.is_some_and(is_recent)
            || self.trial.is_some()
            || self.is_ejected()
            || (self.refusals > 0 && self.paused_until > now)
            || matches!(self.phase, Phase::Returning { .. })
    }

    /// What peers are told. An error alone is not, where errors are common.
    pub(super) fn report(
        &self,
        id: &str,
        is_common: bool,
        has_success_elsewhere: bool,
        now: Timestamp,
    ) -> Option<Report> {
        let counts = self.told;
        let is_ordinary = is_common
            && counts.broken == 0
            && self.own.failures_in_row < MIN_REPORTED_ERRORS
            && self.phase == Phase::Normal;
        let last_failure = self
            .own
            .last_failure
            .filter(|at| now.since(*at) < REPORT_TTL && !is_ordinary);
        let success = self.success.filter(|at| now.since(*at) < REPORT_TTL);
        let is_trying = self.trial.is_some_and(|at| now.since(at) < TRIAL_TIMEOUT);
        let answered_since_return = match self.phase {
            Phase::Returning { answered } => power_below(answered),
            _ => 0,
        };
        let is_paused = self.refusals > 0 && self.paused_until > now;
        let paused_until = is_paused.then_some(self.paused_until);
        let success = success.filter(|_| !is_ordinary);
        let is_told = self.is_ejected() && self.is_own_ejection;
        let ejection = is_told.then_some(Ejection {
            number: self.ejections,
            at: self.ejection_at,
        });
        let has_any = last_failure.is_some()
            || success.is_some()
            || is_trying
            || ejection.is_some()
            || answered_since_return > 0
            || is_paused;
        has_any.then(|| Report {
            id: id.to_owned(),
            started_at_ms: self.started_at_ms,
            answered: counts
                .answered
                .checked_next_power_of_two()
                .unwrap_or(counts.answered)
                * u32::from(counts.answered > 0),
            errors: counts.errors,
            broken: counts.broken,
            failures_in_row: self.own.broken_in_row,
            bad_in_row: self.own.failures_in_row,
            unreachable_in_row: self.own.unreachable_in_row,
            answered_since_return,
            last_failure,
            success,
            paused_until,
            ejection,
            is_trying,
            has_success_elsewhere,
        })
    }
}

fn power_below(number: u32) -> u32 {
    match number.checked_ilog2() {
        Some(exponent) => 1 << exponent,
        None => 0,
    }
}
