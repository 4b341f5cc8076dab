//! State of one rollout at one router.

use {
    super::{
        Settings,
        exposure::Credit,
        order::{RecordedStatus, State, Status, Target},
        report::Report,
        schedule::Schedule,
        statistics::{Side, Statistics},
        verdict::{self, Verdict},
    },
    crate::{
        fleet::{Member, Members},
        revision::Revision,
        time::Timestamp,
    },
    std::{collections::HashMap, time::Duration},
};

/// Part of the slack that a version may use whose answers are too few for a verdict when the rise is due.
const EARLY_SLACK_FRACTION: f64 = 0.4;

/// Time without an update after which this process was halted and may have missed a verdict.
const MAX_HALT: Duration = Duration::from_millis(1_000);

/// Time after a halt until what the others have sent meanwhile is read.
const RECOVERY: Duration = Duration::from_millis(300);

/// Weight of a request in the mean output.
const USUAL_TOKENS_WEIGHT: f64 = 0.05;

/// How far a rollout is. What the store has acknowledged goes before what it has not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The new version gets its share.
    Running,
    /// The verdict is bad, for this reason. The new version gets nothing.
    Bad(String),
    /// The store has acknowledged the completion.
    Completed,
    /// The store has acknowledged the rollback.
    RolledBack,
}

/// How often answers are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Interval of judgements.
    pub judge_interval: Duration,
    /// Time in which the weight of a recent answer falls by half.
    pub half_life: Duration,
    /// Time for which a bad verdict must last once the share has risen.
    pub confirmation: Duration,
}

/// Something that an operator is told of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The rollout has begun.
    Started,
    /// The share of the new version begins to rise.
    Raised,
    /// The new version gets nothing any more, for this reason.
    RolledBack(String),
    /// The new version gets everything.
    Completed,
}

/// Number of a service's servers that accept requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Servers {
    new: usize,
    old: usize,
}

/// A rollout of one service.
#[derive(Debug)]
pub struct Rollout {
    /// Revision of the order; `None` for a version whose order could not be read.
    pub revision: Option<Revision>,
    /// What the order asks for.
    pub target: Target,
    /// How far it is.
    pub phase: Phase,
    /// Whether the order was withdrawn.
    pub is_withdrawn: bool,
    /// The status in the store, as far as it is known.
    pub status: Option<RecordedStatus>,
    /// Counted answers.
    pub statistics: Statistics,
    started: Timestamp,
    /// When the new version had its first server.
    ready: Option<Timestamp>,
    servers: Servers,
    credit: Credit,
    verdict: Verdict,
    has_risen: bool,
    /// Whether the version may get more than its share although it has too few answers for a verdict.
    is_within_early_slack: bool,
    /// Share at which the rise is held while the answers are suspicious.
    held_share: Option<f64>,
    judged: Timestamp,
    /// Since when the verdict is bad.
    bad_since: Option<Timestamp>,
    /// Share at the withdrawal.
    kept_share: f64,
    ended: Option<Timestamp>,
    updated: Timestamp,
    /// Until when the new version gets nothing after a halt of this process.
    halted_until: Option<Timestamp>,
    /// Requests at the old version, by peer.
    peers: HashMap<u64, u32>,
    /// Requests of this router at the old version.
    own_requests: u32,
    /// Whether the new version got all requests at the last update.
    is_full: bool,
    stagger: f64,
    /// Mean output of the requests, in tokens.
    usual_tokens: f64,
}

/// How many of the other routers are heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Visibility {
    /// Connected routers, without this one.
    pub connected: usize,
    /// Whether others are known that are not connected.
    pub has_unreachable: bool,
}

impl Rollout {
    /// Begins a rollout. `credit` is what this router may send to the new version.
    pub fn new(revision: Option<Revision>, target: Target, credit: Credit, now: Timestamp) -> Self {
        Self {
            revision,
            target,
            phase: Phase::Running,
            is_withdrawn: false,
            status: None,
            statistics: Statistics::new(),
            started: now,
            ready: None,
            servers: Servers::default(),
            verdict: Verdict::TooFew,
            has_risen: false,
            is_within_early_slack: false,
            held_share: None,
            judged: now,
            bad_since: None,
            kept_share: 0.0,
            ended: None,
            updated: now,
            halted_until: None,
            peers: HashMap::new(),
            own_requests: 0,
            is_full: false,
            stagger: credit.fraction(),
            usual_tokens: 0.0,
            credit,
        }
    }

    /// Records the registered servers of the service.
    pub fn observe_servers<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member>,
        now: Timestamp,
    ) {
        let mut servers = Servers::default();
        for member in members.filter(|member| !member.is_leaving) {
            match member.version == self.target.to {
                true => servers.new += 1,
                false => servers.old += 1,
            }
        }
        self.servers = servers;
        if servers.new > 0 {
            self.ready.get_or_insert(now);
        }
    }

    /// Time since the order.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.started)
    }

    /// Records that the order is at least this old.
    pub fn set_min_age(&mut self, age: Duration, now: Timestamp) {
        self.started = self.started.min(now.minus(age));
    }

    /// Whether the version may still get requests, or its answer is still to be written.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Bad(_))
    }

    /// Whether the new version gets nothing.
    pub fn is_stopped(&self, now: Timestamp) -> bool {
        let is_bad = matches!(self.phase, Phase::Bad(_) | Phase::RolledBack);
        is_bad || self.phase == Phase::Running && self.is_halted(now)
    }

    fn is_halted(&self, now: Timestamp) -> bool {
        now.since(self.updated) > MAX_HALT || self.halted_until.is_some_and(|until| now < until)
    }

    fn schedule(&self, settings: &Settings) -> Schedule {
        let ready = self.ready.unwrap_or(self.started).since(self.started);
        Schedule::new(self.target.ramp, ready, settings.exposure_share)
    }

    /// Share of the new version.
    pub fn share(&self, settings: &Settings, now: Timestamp) -> f64 {
        if self.phase == Phase::Completed {
            return 1.0;
        }
        if self.is_stopped(now) || self.servers.new == 0 {
            return 0.0;
        }
        if self.servers.old == 0 {
            return 1.0;
        }
        if self.is_withdrawn {
            return self.kept_share;
        }
        let schedule = self.schedule(settings);
        let age = self.age(now);
        match self.revision.is_some() && self.may_rise(&schedule, age) {
            true => schedule.share(age).min(self.held_share.unwrap_or(1.0)),
            false => schedule.canary(),
        }
    }

    /// Whether the answers allow a share above that of the canary.
    fn may_rise(&self, schedule: &Schedule, age: Duration) -> bool {
        if self.has_risen {
            return true;
        }
        match &self.verdict {
            Verdict::Good => schedule.is_rising(age),
            Verdict::TooFew if schedule.is_late(age) => true,
            Verdict::TooFew => schedule.is_rising(age) && self.is_within_early_slack,
            Verdict::Suspicious | Verdict::Bad(_) => schedule.is_full(age),
        }
    }

    /// Whether a version whose answers are too few for a verdict may get more of them.
    fn has_early_slack(&self, settings: &Settings) -> bool {
        let (old, new) = self.statistics.sent();
        let slack = settings.exposure_extra * EARLY_SLACK_FRACTION;
        new < (old + new) * settings.exposure_share + slack
    }

    /// Decides whether a new request goes to the new version.
    pub fn take(&mut self, route: u32, tokens: u32, settings: &Settings, now: Timestamp) -> bool {
        let tokens = f64::from(tokens);
        let is_long = tokens > self.usual_tokens;
        self.usual_tokens += (tokens - self.usual_tokens) * USUAL_TOKENS_WEIGHT;
        let share = self.share(settings, now);
        let is_rising = share > self.schedule(settings).canary();
        share > 0.0 && self.credit.take(route, share, is_rising && is_long)
    }

    /// Counts a request that the new version has got without being asked for.
    pub fn charge(&mut self, route: u32) {
        self.credit.charge(route);
    }

    /// Whether no new request may go to the old version.
    pub fn bars_old(&self, settings: &Settings, now: Timestamp) -> bool {
        self.servers.new > 0 && self.share(settings, now) >= 1.0
    }

    /// Judges the answers and follows the schedule. `old_requests` run at the old version.
    pub fn update(
        &mut self,
        settings: &Settings,
        old_requests: u32,
        pace: Pace,
        now: Timestamp,
    ) -> Option<Event> {
        if now.since(self.updated) > MAX_HALT {
            self.halted_until = Some(now.plus(RECOVERY));
        }
        self.updated = now;
        self.own_requests = old_requests;
        self.is_full = self.share(settings, now) >= 1.0;
        if self.phase != Phase::Running {
            return None;
        }
        let elapsed = now.since(self.judged);
        if elapsed >= pace.judge_interval {
            self.judged = now;
            let half_lives = elapsed.as_secs_f64() / pace.half_life.as_secs_f64();
            self.statistics.update_recent(0.5_f64.powf(half_lives));
            self.verdict = verdict::judge(&self.statistics);
            self.is_within_early_slack = self.has_early_slack(settings);
        }
        match &self.verdict {
            Verdict::Bad(reason) => {
                // Bad answers are told sooner than good ones once the share has risen.
                let since = *self.bad_since.get_or_insert(now);
                if !self.has_risen || now.since(since) >= pace.confirmation {
                    let reason = reason.clone();
                    return self.stop(reason, now);
                }
            }
            _ => self.bad_since = None,
        }
        if self.is_withdrawn || self.revision.is_none() {
            return None;
        }
        let schedule = self.schedule(settings);
        let age = self.age(now);
        let is_suspicious = matches!(self.verdict, Verdict::Suspicious | Verdict::Bad(_));
        self.held_share = match is_suspicious && self.has_risen && !schedule.is_full(age) {
            true => self.held_share.or(Some(self.share(settings, now))),
            false => None,
        };
        if is_suspicious && schedule.is_full(age) && verdict::is_probably_bad(&self.statistics) {
            return self.stop("the new version is probably worse".to_owned(), now);
        }
        if self.servers.new == 0 && age >= self.target.ramp {
            let reason = format!("no server of version {}", self.target.to);
            return self.stop(reason, now);
        }
        let may_rise = schedule.is_rising(age) && self.may_rise(&schedule, age);
        if may_rise && !self.has_risen && self.servers.new > 0 {
            // One with few answers keeps to the early slack until it is late.
            self.has_risen = self.verdict != Verdict::TooFew || schedule.is_late(age);
            return self.has_risen.then_some(Event::Raised);
        }
        None
    }

    /// Ends the sends to the new version.
    pub fn stop(&mut self, reason: String, now: Timestamp) -> Option<Event> {
        if self.phase != Phase::Running {
            return None;
        }
        self.phase = Phase::Bad(reason.clone());
        self.ended = Some(now);
        Some(Event::RolledBack(reason))
    }

    /// Records that the order was withdrawn: the share stays, and no status is written.
    pub fn withdraw(&mut self, settings: &Settings, now: Timestamp) {
        if !self.is_withdrawn {
            self.kept_share = self.share(settings, now);
            self.is_withdrawn = true;
        }
    }

    /// Whether the completion may be written.
    fn may_complete(&self, settings: &Settings, visible: Visibility, now: Timestamp) -> bool {
        if self.phase != Phase::Running || self.servers.new == 0 || self.is_halted(now) {
            return false;
        }
        let schedule = self.schedule(settings);
        let age = self.age(now);
        if schedule.is_final(age) {
            return true;
        }
        // What is suspicious is judged until the deadline.
        let is_full = self.share(settings, now) >= 1.0
            && matches!(self.verdict, Verdict::Good | Verdict::TooFew);
        let is_heard = !visible.has_unreachable && self.peers.len() >= visible.connected;
        let requests = self.peers.values().map(|requests| u64::from(*requests));
        is_full && is_heard && requests.sum::<u64>() + u64::from(self.own_requests) == 0
    }

    /// The status that the store lacks.
    pub fn wanted_status(
        &self,
        settings: &Settings,
        visible: Visibility,
        now: Timestamp,
    ) -> Option<Status> {
        let revision = self.revision?;
        if self.is_withdrawn {
            return None;
        }
        let (state, reason) = match &self.phase {
            Phase::Bad(reason) => (State::RolledBack, Some(reason.clone())),
            Phase::Running if self.may_complete(settings, visible, now) => (State::Completed, None),
            Phase::Running => (State::Running, None),
            Phase::Completed | Phase::RolledBack => return None,
        };
        let known = self.status.as_ref();
        let known = known.and_then(|status| status.state_of(revision, &self.target.to));
        let is_known = known.is_some_and(|known| known.state == state);
        (!is_known).then(|| Status {
            state,
            to: self.target.to.clone(),
            reason,
        })
    }

    /// Records the status in the store.
    pub fn observe_status(
        &mut self,
        status: Option<RecordedStatus>,
        now: Timestamp,
    ) -> Option<Event> {
        self.status = status;
        let revision = self.revision?;
        let known = self.status.as_ref()?.state_of(revision, &self.target.to)?;
        let phase = match known.state {
            State::Running => return None,
            State::Completed => Phase::Completed,
            State::RolledBack => Phase::RolledBack,
        };
        let reason = known.reason.clone().unwrap_or_default();
        self.enter(phase, &reason, now)
    }

    fn enter(&mut self, phase: Phase, reason: &str, now: Timestamp) -> Option<Event> {
        if phase.rank() <= self.phase.rank() {
            return None;
        }
        let before = std::mem::replace(&mut self.phase, phase);
        self.ended = Some(now);
        match (&self.phase, before) {
            (Phase::Completed, _) => Some(Event::Completed),
            // The verdict was logged when it was reached.
            (_, Phase::Bad(_)) | (Phase::Running, _) => None,
            (Phase::Bad(_) | Phase::RolledBack, _) => Some(Event::RolledBack(reason.to_owned())),
        }
    }

    /// Merges the view of a peer of the same order.
    pub fn merge(
        &mut self,
        peer: u64,
        report: &Report,
        settings: &Settings,
        now: Timestamp,
    ) -> Option<Event> {
        self.set_min_age(report.age, now);
        self.peers.insert(peer, report.old_requests);
        for (key, counts) in &report.counts {
            self.statistics.merge(peer, *key, *counts);
        }
        if report.is_withdrawn {
            self.withdraw(settings, now);
        }
        let reason = match &report.phase {
            Phase::Bad(reason) => reason.clone(),
            _ => String::new(),
        };
        self.enter(report.phase.clone(), &reason, now)
    }

    /// Forgets the requests of a peer that is lost. Its counts stay.
    pub fn remove_peer(&mut self, peer: u64) {
        self.peers.remove(&peer);
    }

    /// This router's view, for its peers.
    pub fn report(&self, service: &str, now: Timestamp) -> Option<Report> {
        Some(Report {
            service: service.to_owned(),
            revision: self.revision?,
            target: self.target.clone(),
            age: self.age(now),
            phase: self.phase.clone(),
            is_withdrawn: self.is_withdrawn,
            old_requests: match self.is_full {
                true => self.own_requests.min(1),
                false => 1,
            },
            counts: self.statistics.own_counts(),
        })
    }

    /// Whether this router must tell its counts sooner: the share has risen, and the answers are suspicious, or
    /// it has got bad ones since a report.
    pub fn is_urgent(&self, report: &Report) -> bool {
        let new = report
            .counts
            .iter()
            .filter(|(key, _)| key.side == Side::New);
        let reported: f64 = new.map(|(_, counts)| counts.bad).sum();
        let is_doubtful = matches!(self.verdict, Verdict::Suspicious | Verdict::Bad(_));
        self.has_risen && (is_doubtful || self.totals(Side::New).2 > reported)
    }

    /// Part of an interval by which this router's reports are ahead of those of others.
    pub fn stagger(&self) -> f64 {
        self.stagger
    }

    /// Time since the end of the rollout.
    pub fn ended_for(&self, now: Timestamp) -> Option<Duration> {
        self.ended.map(|ended| now.since(ended))
    }

    /// Requests, answers and bad answers of a version that this router has counted.
    pub fn totals(&self, side: Side) -> (f64, f64, f64) {
        let own = self.statistics.own_counts();
        own.iter()
            .filter(|(key, _)| key.side == side)
            .fold((0.0, 0.0, 0.0), |sum, (_, counts)| {
                (
                    sum.0 + counts.sent,
                    sum.1 + counts.answers,
                    sum.2 + counts.bad,
                )
            })
    }

    /// Whether its order was withdrawn, and one of the versions is gone since.
    pub fn is_obsolete(&self) -> bool {
        let is_single = self.servers.old == 0 || self.servers.new == 0;
        self.is_withdrawn && self.phase == Phase::Running && is_single
    }

    /// Whether the share has begun to rise.
    pub fn has_risen(&self) -> bool {
        self.has_risen
    }

    /// Takes over the progress of the same order, which the store has at another revision since it was
    /// restored.
    pub fn renumber(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.status = None;
        self.is_withdrawn = false;
    }
}

impl Phase {
    fn rank(&self) -> u8 {
        match self {
            Self::Running => 0,
            Self::Bad(_) => 1,
            Self::Completed => 2,
            Self::RolledBack => 3,
        }
    }
}

/// The registered servers of a service.
pub(super) fn servers_of<'a>(
    members: &'a Members,
    service: &'a str,
) -> impl Iterator<Item = &'a Member> {
    members
        .values()
        .filter(move |member| member.service == service)
}
