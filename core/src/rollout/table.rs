//! The versions of all services, and the rollouts among them.

use {
    super::{
        Settings,
        exposure::Credit,
        machine::{self, Event, Pace, Phase, Rollout, Visibility},
        order::{Invalid, Observation, Order, RecordedStatus, State, Status, StatusWrite, Target},
        report::Report,
        statistics::{Key, Outcome, Side},
    },
    crate::{fleet::Members, revision::Revision, time::Timestamp},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Time without a server after which a version is checked again.
const ABSENCE: Duration = Duration::from_secs(10);

/// Longest time for which a version gets nothing because the store does not answer.
const MAX_CHECK_TIME: Duration = Duration::from_secs(5);

/// Time after the end of a rollout for which it is reported to peers.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// Interval at which the store is read again while peers cannot be reached, which may know a verdict.
const ISOLATED_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval of reports for each router, so that what each of them sends and receives stays bounded.
const REPORT_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(20);

/// The same while the answers are suspicious.
const URGENT_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(2);

/// Time of the reports' way, in which the good answers of all routers follow the bad ones.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(200);

/// Shortest and longest interval of reports. The longest one leaves half of the time of a rollback.
const REPORT_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(2_500));

/// Part of the slack that all routers together spend in advance.
const ADVANCE_FRACTION: f64 = 0.2;

/// Judgements in an interval of reports.
const JUDGEMENTS_PER_REPORT: u32 = 8;

/// Shortest interval of judgements.
const MIN_JUDGE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time in which the weight of a recent answer falls by half.
const MIN_HALF_LIFE: Duration = Duration::from_secs(1);

/// Version at which a request may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pick {
    /// No rollout is known, or the request has been sent before.
    #[default]
    Any,
    /// The old version.
    Old,
    /// The new version, or the old one if it has no free slot.
    New,
}

/// What the store is to be asked and told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Whether the orders are watched.
    pub is_watching: bool,
    /// Services whose order and status are to be read, with the number of the check.
    pub checks: BTreeMap<String, u64>,
    /// Services with a rollout that runs.
    pub running: BTreeSet<String>,
    /// Statuses that are to be written.
    pub writes: Vec<StatusWrite>,
}

/// What a router thinks of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It gets requests.
    Accepted,
    /// Its order is to be read.
    Unchecked { since: Timestamp, check: u64 },
    /// It was rolled back, or another order came before its verdict.
    Rejected,
}

#[derive(Debug)]
struct Version {
    standing: Standing,
    last_seen: Timestamp,
    /// Whether a server of it is registered.
    is_present: bool,
}

/// An order that cannot be carried out.
#[derive(Debug)]
struct Refused {
    revision: Revision,
    invalid: Invalid,
    status: Option<RecordedStatus>,
}

#[derive(Debug, Default)]
struct Service {
    versions: BTreeMap<String, Version>,
    /// Number of the last check that was requested, and of the last that was answered.
    checks: (u64, u64),
    checked_at: Option<Timestamp>,
    rollout: Option<Rollout>,
    refused: Option<Refused>,
    /// Revision of the order whose rollout has ended and is forgotten.
    ended: Option<Revision>,
    reported: Option<(Timestamp, Report)>,
}

/// Versions and rollouts of all services, as one router knows them.
#[derive(Debug, Default)]
pub struct Table {
    settings: Settings,
    services: HashMap<String, Service>,
    /// Whether any service has a rollout or versions that are not accepted.
    is_active: bool,
    visible: Visibility,
    routers: usize,
    members: Members,
}

impl Table {
    /// Creates a table without versions.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The settings.
    pub fn settings(&self) -> Settings {
        self.settings
    }

    /// Replaces the settings.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
        if !settings.is_enabled {
            self.services.clear();
            self.is_active = false;
        }
    }

    /// Whether any request needs a decision. While this is false, nothing is counted.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Sets how many routers are heard, and how many are known.
    pub fn set_visibility(&mut self, visible: Visibility, routers: usize) {
        self.visible = visible;
        self.routers = routers;
    }

    /// Records the registered servers. A version that is new beside another one gets nothing until its
    /// order has been read.
    pub fn observe_servers(&mut self, members: &Members, now: Timestamp) {
        if !self.settings.is_enabled {
            return;
        }
        let mut present: HashMap<&str, BTreeSet<&str>> = HashMap::new();
        for member in members.values() {
            let versions = present.entry(&member.service).or_default();
            versions.insert(&member.version);
        }
        for name in present.keys() {
            if !self.services.contains_key(*name) {
                self.services.insert((*name).to_owned(), Service::default());
            }
        }
        let none = BTreeSet::new();
        for (name, service) in &mut self.services {
            let versions = present.get(name.as_str()).unwrap_or(&none);
            service.observe_versions(versions, now);
            if let Some(rollout) = &mut service.rollout {
                rollout.observe_servers(machine::servers_of(members, name), now);
            }
        }
        self.members.clone_from(members);
        self.update_activity();
    }

    fn update_activity(&mut self) {
        self.is_active = self.services.values().any(Service::is_active);
    }

    /// Records what the store has for a service. `random` is in the range [0, 1).
    pub fn observe(&mut self, seen: &Observation, random: f64, now: Timestamp) -> Option<Event> {
        if !self.settings.is_enabled {
            return None;
        }
        let settings = self.settings;
        let credit = self.credit(random);
        let service = self.services.entry(seen.service.clone()).or_default();
        if let Some(check) = seen.check {
            service.checks.1 = service.checks.1.max(check);
        }
        let event = match &seen.order {
            None => {
                service.observe_removal(seen.check, &settings, now);
                None
            }
            Some(order) => service.observe_order(order, &seen.status, credit, now),
        };
        if let Some(rollout) = &mut service.rollout {
            rollout.observe_servers(machine::servers_of(&self.members, &seen.service), now);
        }
        service.settle(seen.check);
        service.reported = None;
        self.update_activity();
        event
    }

    /// Merges the view of a peer. `random` is in the range [0, 1).
    pub fn merge(&mut self, peer: u64, report: &Report, random: f64, now: Timestamp) -> Vec<Event> {
        if !self.settings.is_enabled {
            return Vec::new();
        }
        let settings = self.settings;
        let credit = self.credit(random);
        let mut events = Vec::new();
        let service = self.services.entry(report.service.clone()).or_default();
        if service.latest().is_none_or(|known| known < report.revision) {
            let order = Order {
                revision: report.revision,
                target: Ok(report.target.clone()),
            };
            // A peer that has not heard of the end of a rollout must not begin it again.
            events.extend(service.observe_order(&order, &None, credit, now));
            if let Some(rollout) = &mut service.rollout {
                rollout.observe_servers(machine::servers_of(&self.members, &report.service), now);
            }
        }
        let rollout = service.rollout.as_mut();
        if let Some(rollout) = rollout.filter(|known| known.revision == Some(report.revision)) {
            let event = rollout.merge(peer, report, &settings, now);
            if event.is_some() {
                service.reported = None;
            }
            events.extend(event);
        }
        service.settle(None);
        self.update_activity();
        events
    }

    /// Forgets the requests of a peer that is lost.
    pub fn remove_peer(&mut self, peer: u64) {
        for service in self.services.values_mut() {
            if let Some(rollout) = &mut service.rollout {
                rollout.remove_peer(peer);
            }
        }
    }

    /// Decides at which version a new request runs. While the share rises, those are preferred whose
    /// output of `tokens` is longer than usual.
    pub fn pick(&mut self, service: &str, route: u32, tokens: u32, now: Timestamp) -> Pick {
        let settings = self.settings;
        if !self.is_active {
            return Pick::Any;
        }
        let Some(rollout) = self.rollout_mut(service) else {
            return Pick::Any;
        };
        match rollout.take(route, tokens, &settings, now) {
            true => Pick::New,
            false => Pick::Old,
        }
    }

    fn credit(&self, random: f64) -> Credit {
        let advance = self.settings.exposure_extra * ADVANCE_FRACTION;
        Credit::new(random, advance / self.routers.max(1) as f64)
    }

    fn rollout_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        self.services.get_mut(service)?.rollout.as_mut()
    }

    /// The rollout of a service, if there is one.
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        self.services.get(service)?.rollout.as_ref()
    }

    /// All rollouts by service.
    pub fn rollouts(&self) -> impl Iterator<Item = (&str, &Rollout)> {
        let services = self.services.iter();
        services.filter_map(|(name, service)| Some((name.as_str(), service.rollout.as_ref()?)))
    }

    /// Versions that a request must not be sent to. One that goes on with a stream `is_bound` to its
    /// version, which is barred only if it gets nothing at all.
    pub fn barred(&self, service: &str, pick: Pick, is_bound: bool, now: Timestamp) -> Vec<String> {
        if !self.is_active {
            return Vec::new();
        }
        let Some(service) = self.services.get(service) else {
            return Vec::new();
        };
        let mut barred = service.stopped(now);
        let Some(rollout) = service.rollout.as_ref().filter(|_| !is_bound) else {
            return barred;
        };
        let bars_old = rollout.bars_old(&self.settings, now);
        let to = rollout.target.to.as_str();
        if bars_old || pick == Pick::New && !barred.iter().any(|version| version == to) {
            let others = service.versions.keys().filter(|version| *version != to);
            barred.extend(others.cloned());
        } else {
            barred.push(to.to_owned());
        }
        barred
    }

    /// Whether a request that was picked for the new version may go to the old one, which it must if the
    /// new one is full.
    pub fn may_fall_back(&self, service: &str, now: Timestamp) -> bool {
        let rollout = self.rollout(service);
        rollout.is_some_and(|rollout| !rollout.bars_old(&self.settings, now))
    }

    /// Whether no request may be sent to a version, also if it has been placed there.
    pub fn is_stopped(&self, service: &str, version: &str, now: Timestamp) -> bool {
        self.is_active
            && self.services.get(service).is_some_and(|service| {
                let stopped = service.stopped(now);
                stopped.iter().any(|known| known == version)
            })
    }

    /// Counts a request that is sent to a version. Returns under which key its answer counts, with the
    /// revision of the order, or `None` if the service has no rollout.
    pub fn record_sent(
        &mut self,
        service: &str,
        version: &str,
        route: u32,
        pick: Pick,
    ) -> Option<(Key, Option<Revision>)> {
        if !self.is_active {
            return None;
        }
        let rollout = self.rollout_mut(service)?;
        let side = match version == rollout.target.to {
            true => Side::New,
            false => Side::Old,
        };
        if side == Side::New && pick != Pick::New {
            rollout.charge(route);
        }
        let key = Key { side, route };
        rollout.statistics.record_sent(key);
        Some((key, rollout.revision))
    }

    /// Counts an answer to a request that was counted for the order at `revision`.
    pub fn record(
        &mut self,
        service: &str,
        revision: Option<Revision>,
        key: Key,
        outcome: Outcome,
    ) {
        let rollout = self.rollout_mut(service);
        if let Some(rollout) = rollout.filter(|known| known.revision == revision) {
            rollout.statistics.record(key, outcome);
        }
    }

    /// Judges the answers and follows the schedules. `old_requests` tells how many requests of a service
    /// run at other versions than the given one. Called several times a second.
    pub fn update(
        &mut self,
        old_requests: impl Fn(&str, &str) -> u32,
        random: f64,
        now: Timestamp,
    ) -> Vec<(String, Event)> {
        let settings = self.settings;
        let credit = self.credit(random);
        let interval = self.interval();
        let pace = Pace {
            judge_interval: MIN_JUDGE_INTERVAL.max(interval / JUDGEMENTS_PER_REPORT),
            half_life: MIN_HALF_LIFE.max(interval),
            confirmation: self.urgent_interval() + CONFIRMATION_MARGIN,
        };
        let mut events = Vec::new();
        for (name, service) in &mut self.services {
            service.begin_provisional(&credit, now);
            if self.visible.has_unreachable {
                service.check_again(now);
            }
            let Some(rollout) = &mut service.rollout else {
                continue;
            };
            rollout.observe_servers(machine::servers_of(&self.members, name), now);
            let running = old_requests(name, &rollout.target.to);
            if let Some(event) = rollout.update(&settings, running, pace, now) {
                events.push((name.clone(), event));
                service.reported = None;
            }
            service.settle(None);
            service.finish(now);
        }
        self.update_activity();
        events
    }

    /// Interval of reports.
    pub fn interval(&self) -> Duration {
        let routers = u32::try_from(self.routers).unwrap_or(u32::MAX);
        let (shortest, longest) = REPORT_INTERVALS;
        let interval = REPORT_INTERVAL_PER_ROUTER.saturating_mul(routers);
        interval.clamp(shortest, longest.min(self.settings.rollback / 2))
    }

    fn urgent_interval(&self) -> Duration {
        let routers = u32::try_from(self.routers).unwrap_or(u32::MAX);
        let interval = URGENT_INTERVAL_PER_ROUTER.saturating_mul(routers);
        interval.clamp(REPORT_INTERVALS.0, REPORT_INTERVALS.1)
    }

    /// Views for the peers. A view changes at most once in an interval, unless the phase does, or
    /// the answers are suspicious.
    pub fn reports(&mut self, now: Timestamp) -> Vec<Report> {
        if !self.is_active {
            return Vec::new();
        }
        let interval = self.interval();
        let urgent = self.urgent_interval();
        let mut reports = Vec::new();
        for (name, service) in &mut self.services {
            let Some(rollout) = &service.rollout else {
                continue;
            };
            let known = service.reported.take();
            let had_report = known.is_some();
            let known = known.filter(|(at, report)| {
                let interval = match rollout.is_urgent(report) {
                    true => urgent,
                    false => interval,
                };
                now.since(*at) < interval
            });
            service.reported = match known {
                Some(known) => Some(known),
                // Routers hear of an order at the same time, and report one after the other.
                None => {
                    let at = match had_report {
                        true => now,
                        false => now.minus(interval.mul_f64(rollout.stagger())),
                    };
                    rollout.report(name, now).map(|report| (at, report))
                }
            };
            reports.extend(service.reported.iter().map(|(_, report)| report.clone()));
        }
        reports.sort_by(|one, other| one.service.cmp(&other.service));
        reports
    }

    /// What the store is to be asked and told. `is_lowest` is whether this router has the lowest address of
    /// those that are reachable.
    pub fn work(&self, is_lowest: bool, now: Timestamp) -> Work {
        if !self.settings.is_enabled {
            return Work::default();
        }
        let mut work = Work {
            is_watching: is_lowest,
            ..Work::default()
        };
        for (name, service) in &self.services {
            if service.checks.0 > service.checks.1 {
                work.checks.insert(name.clone(), service.checks.0);
            }
            if service.rollout.as_ref().is_some_and(Rollout::is_running) {
                work.is_watching = true;
                work.running.insert(name.clone());
            }
            if is_lowest {
                work.writes
                    .extend(service.wanted_write(name, &self.settings, self.visible, now));
            }
        }
        work.writes
            .sort_by(|one, other| one.service.cmp(&other.service));
        work
    }
}

impl Service {
    fn is_active(&self) -> bool {
        let has_other = self
            .versions
            .values()
            .any(|version| version.standing != Standing::Accepted);
        has_other || self.rollout.is_some()
    }

    fn observe_versions(&mut self, present: &BTreeSet<&str>, now: Timestamp) {
        self.versions
            .retain(|_, version| now.since(version.last_seen) < ABSENCE);
        let new: Vec<&&str> = present
            .iter()
            .filter(|version| !self.versions.contains_key(**version))
            .collect();
        let is_running = |version: &str| {
            let rollout = self.rollout.as_ref().filter(|rollout| rollout.is_running());
            rollout.is_some_and(|rollout| rollout.target.to == version)
        };
        let standings: Vec<(String, bool)> = new
            .into_iter()
            .map(|version| {
                (
                    (*version).to_owned(),
                    present.len() > 1 && !is_running(version),
                )
            })
            .collect();
        if standings.iter().any(|(_, is_unchecked)| *is_unchecked) {
            self.checks.0 += 1;
            self.checked_at = Some(now);
        }
        for (version, is_unchecked) in standings {
            let standing = match is_unchecked {
                true => Standing::Unchecked {
                    since: now,
                    check: self.checks.0,
                },
                false => Standing::Accepted,
            };
            let last_seen = now;
            let version_state = Version {
                standing,
                last_seen,
                is_present: true,
            };
            self.versions.insert(version, version_state);
        }
        for (name, version) in &mut self.versions {
            version.is_present = present.contains(name.as_str());
            if version.is_present {
                version.last_seen = now;
            }
        }
    }

    /// Revision of the latest order that is known.
    fn latest(&self) -> Option<Revision> {
        let rollout = self.rollout.as_ref().and_then(|rollout| rollout.revision);
        let refused = self.refused.as_ref().map(|refused| refused.revision);
        rollout.max(refused).max(self.ended)
    }

    fn observe_removal(&mut self, check: Option<u64>, settings: &Settings, now: Timestamp) {
        self.refused = None;
        match &mut self.rollout {
            Some(rollout) if rollout.revision.is_none() && check.is_some() => self.rollout = None,
            Some(rollout) if rollout.revision.is_some() => rollout.withdraw(settings, now),
            _ => {}
        }
    }

    fn observe_order(
        &mut self,
        order: &Order,
        status: &Option<RecordedStatus>,
        credit: Credit,
        now: Timestamp,
    ) -> Option<Event> {
        if self.latest().is_some_and(|latest| latest > order.revision) {
            return None;
        }
        let target = match &order.target {
            Ok(target) => target,
            Err(invalid) => {
                self.refuse(order.revision, invalid, status);
                return None;
            }
        };
        self.refused = None;
        let known = self
            .rollout
            .as_mut()
            .filter(|rollout| rollout.target == *target);
        let known_revision = known.as_ref().and_then(|rollout| rollout.revision);
        match known {
            Some(_) if known_revision == Some(order.revision) => {}
            // The store was restored, and the operator has written the order again.
            Some(rollout)
                if known_revision.is_some_and(|known| known.era != order.revision.era) =>
            {
                rollout.renumber(order.revision);
            }
            _ => {
                self.supersede(target);
                let revision = Some(order.revision);
                self.rollout = Some(Rollout::new(revision, target.clone(), credit, now));
            }
        }
        let rollout = self.rollout.as_mut()?;
        let is_new = known_revision.is_none();
        let event = rollout.observe_status(status.clone(), now);
        let is_over = !rollout.is_running();
        event
            .filter(|_| !is_new)
            .or((is_new && !is_over).then_some(Event::Started))
    }

    /// Ends the rollout before a newer order.
    fn supersede(&mut self, target: &Target) {
        let before = self
            .rollout
            .take()
            .filter(|before| before.revision.is_some() && before.target.to != target.to);
        if let Some(before) = before {
            let is_good = before.phase == Phase::Completed
                || before.phase == Phase::Running && before.has_risen();
            if let Some(version) = self
                .versions
                .get_mut(&before.target.to)
                .filter(|_| !is_good)
            {
                version.standing = Standing::Rejected;
            }
        }
        if let Some(version) = self.versions.get_mut(&target.to) {
            version.standing = Standing::Accepted;
        }
    }

    fn refuse(&mut self, revision: Revision, invalid: &Invalid, status: &Option<RecordedStatus>) {
        self.rollout = None;
        if let Some(version) = self.versions.get_mut(&invalid.to) {
            version.standing = Standing::Rejected;
        }
        self.refused = Some(Refused {
            revision,
            invalid: invalid.clone(),
            status: status.clone(),
        });
    }

    /// Accepts what a check has cleared, and rejects the version of a rollout that ended badly.
    fn settle(&mut self, check: Option<u64>) {
        let rollout = self.rollout.as_ref();
        for (name, version) in &mut self.versions {
            let target = rollout.filter(|rollout| rollout.target.to == *name);
            version.standing = match (version.standing, target) {
                (_, Some(rollout)) if rollout.phase == Phase::RolledBack => Standing::Rejected,
                (_, Some(rollout)) if rollout.revision.is_some() => Standing::Accepted,
                (Standing::Unchecked { check: of, .. }, _)
                    if check.is_some_and(|check| check >= of) =>
                {
                    Standing::Accepted
                }
                (standing, _) => standing,
            };
        }
    }

    /// Lets a version that could not be checked in time have the share of a canary.
    fn begin_provisional(&mut self, credit: &Credit, now: Timestamp) {
        if self.rollout.is_some() {
            return;
        }
        let accepted = |version: &Version| version.standing == Standing::Accepted;
        // While all are unchecked, which is so after a start, the first one is taken for the old one.
        let skipped = usize::from(!self.versions.values().any(accepted));
        let mut unchecked = self
            .versions
            .iter()
            .filter(|(_, version)| matches!(version.standing, Standing::Unchecked { .. }));
        let overdue = unchecked
            .nth(skipped)
            .filter(|(_, version)| match version.standing {
                Standing::Unchecked { since, .. } => now.since(since) >= MAX_CHECK_TIME,
                _ => false,
            });
        if let Some((name, _)) = overdue {
            let target = Target {
                to: name.clone(),
                ramp: Duration::MAX,
            };
            self.rollout = Some(Rollout::new(None, target, credit.clone(), now));
        }
    }

    /// Reads the store again while peers are missing that may know more.
    fn check_again(&mut self, now: Timestamp) {
        let is_running = self.rollout.as_ref().is_some_and(Rollout::is_running);
        let is_due = self
            .checked_at
            .is_none_or(|at| now.since(at) >= ISOLATED_CHECK_INTERVAL);
        if is_running && is_due && self.checks.0 == self.checks.1 {
            self.checks.0 += 1;
            self.checked_at = Some(now);
        }
    }

    /// Forgets a rollout that all have heard of.
    fn finish(&mut self, now: Timestamp) {
        let rollout = self.rollout.as_ref();
        let is_over = rollout.is_some_and(|rollout| {
            !rollout.is_running()
                && rollout
                    .ended_for(now)
                    .is_some_and(|time| time >= REPORT_TIME)
        });
        let is_obsolete = rollout.is_some_and(Rollout::is_obsolete);
        if is_over || is_obsolete {
            self.ended = self.latest();
            self.rollout = None;
        }
    }

    /// Versions that get nothing.
    fn stopped(&self, now: Timestamp) -> Vec<String> {
        let rollout = self.rollout.as_ref();
        let accepted = |version: &Version| version.standing == Standing::Accepted;
        let has_accepted = self.versions.values().any(accepted);
        let present = self.versions.values().filter(|version| version.is_present);
        let is_only = present.count() <= 1;
        let stopped = self
            .versions
            .iter()
            .enumerate()
            .filter(|(index, (name, version))| {
                let target = rollout.filter(|rollout| rollout.target.to == **name);
                match (version.standing, target) {
                    (Standing::Rejected, _) => true,
                    (_, Some(rollout)) => rollout.is_stopped(now),
                    (Standing::Unchecked { since, .. }, None) => {
                        let is_first = *index == 0 && !has_accepted;
                        !(is_first && now.since(since) >= MAX_CHECK_TIME
                            || is_only && version.is_present)
                    }
                    (Standing::Accepted, None) => false,
                }
            });
        stopped.map(|(_, (name, _))| name.clone()).collect()
    }

    fn wanted_write(
        &self,
        name: &str,
        settings: &Settings,
        visible: Visibility,
        now: Timestamp,
    ) -> Option<StatusWrite> {
        let (revision, target, known, status) = match (&self.rollout, &self.refused) {
            (Some(rollout), _) => {
                let status = rollout.wanted_status(settings, visible, now)?;
                let target = Ok(rollout.target.clone());
                (rollout.revision?, target, &rollout.status, status)
            }
            (None, Some(refused)) => {
                let target = Err(refused.invalid.clone());
                (refused.revision, target, &refused.status, refused.wanted()?)
            }
            (None, None) => return None,
        };
        Some(StatusWrite {
            service: name.to_owned(),
            order: Order { revision, target },
            expected: known.as_ref().map(|known| known.revision),
            status,
        })
    }
}

impl Refused {
    fn wanted(&self) -> Option<Status> {
        let to = &self.invalid.to;
        let known = self.status.as_ref();
        let is_known = known
            .and_then(|status| status.state_of(self.revision, to))
            .is_some_and(|status| status.state == State::RolledBack);
        (!is_known).then(|| Status {
            state: State::RolledBack,
            to: to.clone(),
            reason: Some(self.invalid.reason.clone()),
        })
    }
}
