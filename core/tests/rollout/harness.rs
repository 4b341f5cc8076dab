//! Routers that share a service, its store and its answers, without a network.

use {
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::{collections::VecDeque, time::Duration},
    tamarackdale_core::{
        fleet::{Member, Members},
        revision::Revision,
        rollout::{
            Event, Key, Observation, Order, Outcome, Pick, RecordedStatus, Report, Settings, State,
            Status, Table, Target, Visibility, Work,
        },
        time::Timestamp,
    },
};

pub const SERVICE: &str = "s";
pub const RAMP: Duration = Duration::from_secs(12);

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);

const STEP_MS: u64 = 10;

pub fn settings() -> Settings {
    Settings {
        is_enabled: true,
        ..Settings::default()
    }
}

pub fn members(versions: &[&str]) -> Members {
    let members = versions.iter().enumerate().map(|(number, version)| Member {
        id: format!("{version}-{number}"),
        started_at_ms: 1,
        address: ([127, 0, 0, 1], 1_000).into(),
        service: SERVICE.to_owned(),
        data_centre: "a".to_owned(),
        version: (*version).to_owned(),
        slots: 8,
        is_leaving: false,
    });
    members.map(|member| (member.id.clone(), member)).collect()
}

pub fn revision(number: u64) -> Revision {
    Revision { era: 0, number }
}

pub fn order(number: u64, to: &str) -> Order {
    Order {
        revision: revision(number),
        target: Ok(Target {
            to: to.to_owned(),
            ramp: RAMP,
        }),
    }
}

pub fn seen(check: Option<u64>, order: Option<Order>, status: Option<(u64, State)>) -> Observation {
    Observation {
        service: SERVICE.to_owned(),
        check,
        order,
        status: status.map(|(number, state)| RecordedStatus {
            revision: revision(number),
            status: Some(Status {
                state,
                to: "v2".to_owned(),
                reason: None,
            }),
        }),
    }
}

struct Answer {
    at: Timestamp,
    router: usize,
    key: Key,
    revision: Option<Revision>,
    outcome: Outcome,
}

/// How answers of each version turn out: whether version, route and second make it a failure, and its time.
pub type Nature = Box<dyn Fn(&mut SmallRng, bool, u32, f64, usize) -> Outcome>;

pub struct Bench {
    pub tables: Vec<Table>,
    pub random: SmallRng,
    pub now: Timestamp,
    pub old: u64,
    pub new: u64,
    pub new_bad: Vec<Timestamp>,
    pub last_new: Timestamp,
    pub events: Vec<(Timestamp, usize, Event)>,
    pub status: Option<(u64, Status)>,
    pub store_down: bool,
    /// Routers that are heard.
    pub alive: Vec<bool>,
    order: Option<(Order, Timestamp)>,
    store_revision: u64,
    answers: VecDeque<Answer>,
    delayed: VecDeque<(Timestamp, usize, Vec<Report>)>,
    last_reports: Vec<Vec<Report>>,
    reported: Vec<Timestamp>,
    rate: f64,
    nature: Nature,
}

impl Bench {
    /// Routers that share `rate` requests a second, with servers of `v1`.
    pub fn new(routers: usize, rate: f64, seed: u64, nature: Nature) -> Self {
        let mut bench = Self {
            tables: (0..routers).map(|_| Table::new(settings())).collect(),
            random: SmallRng::seed_from_u64(seed),
            now: Timestamp::from_millis(60_000),
            old: 0,
            new: 0,
            new_bad: Vec::new(),
            last_new: Timestamp::START,
            events: Vec::new(),
            status: None,
            store_down: false,
            alive: vec![true; routers],
            order: None,
            store_revision: 10,
            answers: VecDeque::new(),
            delayed: VecDeque::new(),
            last_reports: vec![Vec::new(); routers],
            reported: vec![Timestamp::START; routers],
            rate,
            nature,
        };
        let visible = Visibility {
            connected: routers - 1,
            has_unreachable: false,
        };
        for table in &mut bench.tables {
            table.set_visibility(visible, routers);
            table.observe_servers(&members(&["v1"]), bench.now);
        }
        bench
    }

    /// Writes the order, which the lowest router sees at once, and starts servers of `v2`.
    pub fn begin(&mut self) {
        self.store_revision += 1;
        let order = order(self.store_revision, "v2");
        self.order = Some((order.clone(), self.now));
        let random = self.random.random();
        let lowest = self.lowest();
        if let Some(event) =
            self.tables[lowest].observe(&seen(None, Some(order), None), random, self.now)
        {
            self.events.push((self.now, lowest, event));
        }
        let both = members(&["v1", "v1", "v2", "v2"]);
        for table in &mut self.tables {
            table.observe_servers(&both, self.now);
        }
    }

    pub fn lowest(&self) -> usize {
        self.alive.iter().position(|alive| *alive).unwrap_or(0)
    }

    pub fn elapsed(&self) -> Duration {
        self.order
            .as_ref()
            .map_or(Duration::ZERO, |(_, begun)| self.now.since(*begun))
    }

    /// Kills a router: it answers nobody, and its requests go elsewhere.
    pub fn kill(&mut self, router: usize) {
        self.alive[router] = false;
        let connected = self.alive.iter().filter(|alive| **alive).count() - 1;
        for table in &mut self.tables {
            let visible = Visibility {
                connected,
                has_unreachable: true,
            };
            table.set_visibility(visible, self.alive.len());
            table.remove_peer(router as u64 + 1);
        }
    }

    pub fn state(&self) -> Option<State> {
        self.status.as_ref().map(|(_, status)| status.state)
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now.plus(length);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus(Duration::from_millis(STEP_MS));
        let expected = self.rate * STEP_MS as f64 / 1_000.0;
        let mut count = expected as u64;
        count += u64::from(self.random.random::<f64>() < expected.fract());
        for _ in 0..count {
            self.send();
        }
        while self
            .answers
            .front()
            .is_some_and(|answer| answer.at <= self.now)
        {
            if let Some(answer) = self.answers.pop_front() {
                self.tables[answer.router].record(
                    SERVICE,
                    answer.revision,
                    answer.key,
                    answer.outcome,
                );
            }
        }
        if (self.now.as_micros() / 1_000).is_multiple_of(100) {
            self.update();
        }
    }

    fn send(&mut self) {
        let router = self.random.random_range(0..self.tables.len());
        if !self.alive[router] {
            return;
        }
        let route = self.random.random_range(0..3);
        let table = &mut self.tables[router];
        let pick = table.pick(SERVICE, route, 0, self.now);
        let barred = table.barred(SERVICE, pick, false, self.now);
        let is_new = !barred.iter().any(|version| version == "v2");
        let is_new = is_new && (pick == Pick::New || barred.iter().any(|version| version == "v1"));
        let version = if is_new { "v2" } else { "v1" };
        assert!(
            !table.is_stopped(SERVICE, version, self.now),
            "sent to a stopped version"
        );
        match is_new {
            true => self.new += 1,
            false => self.old += 1,
        }
        if is_new {
            self.last_new = self.now;
        }
        let sent = table.record_sent(SERVICE, version, route, pick);
        let second = self.elapsed().as_secs_f64();
        let outcome = (self.nature)(&mut self.random, is_new, route, second, router);
        let at = self.now.plus(ANSWER_TIME);
        if is_new && outcome.has_failed {
            self.new_bad.push(at);
        }
        if let Some((key, revision)) = sent {
            self.answers.push_back(Answer {
                at,
                router,
                key,
                revision,
                outcome,
            });
        }
    }

    fn update(&mut self) {
        let lowest = self.lowest();
        for router in 0..self.tables.len() {
            if !self.alive[router] {
                continue;
            }
            let random = self.random.random();
            let events = self.tables[router].update(|_, _| 0, random, self.now);
            for (_, event) in events {
                self.events.push((self.now, router, event));
            }
            let work = self.tables[router].work(router == lowest, self.now);
            if !self.store_down {
                self.do_work(router, &work);
            }
            self.report(router);
        }
        while self.delayed.front().is_some_and(|(at, ..)| *at <= self.now) {
            if let Some((_, from, reports)) = self.delayed.pop_front() {
                self.deliver(from, &reports);
            }
        }
    }

    fn do_work(&mut self, router: usize, work: &Work) {
        for check in work.checks.values() {
            self.tell(router, Some(*check));
        }
        for write in &work.writes {
            let known = self.status.as_ref().map(|(number, _)| revision(*number));
            let order = self.order.as_ref().map(|(order, _)| order.revision);
            if known == write.expected && order == Some(write.order.revision) {
                self.store_revision += 1;
                self.status = Some((self.store_revision, write.status.clone()));
            }
            self.tell(router, None);
        }
    }

    fn tell(&mut self, router: usize, check: Option<u64>) {
        let observation = Observation {
            service: SERVICE.to_owned(),
            check,
            order: self.order.as_ref().map(|(order, _)| order.clone()),
            status: self.status.as_ref().map(|(number, status)| RecordedStatus {
                revision: revision(*number),
                status: Some(status.clone()),
            }),
        };
        let random = self.random.random();
        if let Some(event) = self.tables[router].observe(&observation, random, self.now) {
            self.events.push((self.now, router, event));
        }
    }

    fn report(&mut self, router: usize) {
        let reports = self.tables[router].reports(self.now);
        if reports == self.last_reports[router] || reports.is_empty() {
            return;
        }
        self.reported[router] = self.now;
        self.last_reports[router].clone_from(&reports);
        let at = self.now.plus(Duration::from_millis(100));
        self.delayed.push_back((at, router, reports));
    }

    fn deliver(&mut self, from: usize, reports: &[Report]) {
        for to in 0..self.tables.len() {
            if to == from || !self.alive[to] || !self.alive[from] {
                continue;
            }
            for report in reports {
                let random = self.random.random();
                let events = self.tables[to].merge(from as u64 + 1, report, random, self.now);
                let now = self.now;
                self.events
                    .extend(events.into_iter().map(|event| (now, to, event)));
            }
        }
    }
}
