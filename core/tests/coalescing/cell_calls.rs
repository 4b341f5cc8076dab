//! Calls of a fleet to the store, in steps of a millisecond.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
    tamarackdale_core::{
        cell::Layout,
        coalescing::{ANSWER_TIMEOUT, check_interval, checks::Checks, fallback::Fallback},
        time::Timestamp,
    },
};

/// Interval of checks of a gateway alone: 0.7 of `converge_ms` = 1,000.
const ALONE_MS: u64 = 700;

/// Interval of watches of a gateway alone while registrations change all the time: 0.4 of `drain_ms` = 2,000.
const WATCH_MS: u64 = 800;

/// Time in which a frozen peer counts as unreachable, so that another one is the reader.
const UNREACHABLE_MS: u64 = 1_200;

/// How the readers are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    /// Their connections end.
    Killed,
    /// Their connections stay open without answers.
    Frozen,
}

/// Calls a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    pub checks: f64,
    pub watches: f64,
    /// Calls of both kinds within 10 ms.
    pub in_10_ms: f64,
}

/// Calls of both kinds in each millisecond.
pub struct Record(Vec<(u32, u32)>);

struct Gateway {
    next_check: u64,
    next_watch: u64,
    /// When the question was asked that is not answered yet.
    asked: Option<u64>,
    confirmed: u64,
    fallback: Fallback,
    is_lost: bool,
}

struct Cell {
    gateways: Vec<Gateway>,
    reader: usize,
    is_coalesced: bool,
    /// When another gateway becomes the reader.
    succession: Option<u64>,
    checks: Checks<(usize, u64)>,
    arriving: VecDeque<(u64, usize, u64)>,
    /// End and questions of the reader's call.
    call: Option<(u64, Vec<(usize, u64)>)>,
}

pub struct Fleet {
    now: u64,
    cells: Vec<Cell>,
    interval: Duration,
    longest_gap: u64,
    random: StdRng,
}

fn at(now: u64) -> Timestamp {
    Timestamp::from_millis(now)
}

impl Fleet {
    pub fn new(gateways: usize, cells: &[usize], seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let bound = Duration::from_secs(1);
        let interval = check_interval(Duration::from_millis(ALONE_MS), bound);
        let cells = cells.iter().map(|size| {
            let layout = Layout {
                same_data_centre: size - 1,
                other_data_centres: gateways.saturating_sub(*size),
            };
            let gateways = (0..*size).map(|_| Gateway {
                next_check: random.random_range(0..ALONE_MS),
                next_watch: random.random_range(0..WATCH_MS),
                asked: None,
                confirmed: 0,
                fallback: Fallback::default(),
                is_lost: false,
            });
            let mut checks = Checks::default();
            checks.set_interval(interval, at(0));
            Cell {
                gateways: gateways.collect(),
                reader: 0,
                is_coalesced: !layout.is_single_cell(),
                succession: None,
                checks,
                arriving: VecDeque::new(),
                call: None,
            }
        });
        Self {
            now: 0,
            cells: cells.collect(),
            interval,
            longest_gap: 0,
            random,
        }
    }

    /// Calls if each gateway calls for itself.
    pub fn calls_alone(&self) -> Calls {
        let gateways: usize = self.cells.iter().map(|cell| cell.gateways.len()).sum();
        Calls {
            checks: gateways as f64 * 1_000.0 / ALONE_MS as f64,
            watches: gateways as f64 * 1_000.0 / WATCH_MS as f64,
            in_10_ms: 0.0,
        }
    }

    pub fn lose_readers(&mut self, loss: Loss) {
        let now = self.now;
        for cell in self.cells.iter_mut().filter(|cell| cell.is_coalesced) {
            let reader = cell.reader;
            cell.gateways[reader].is_lost = true;
            cell.call = None;
            cell.checks.clear();
            cell.arriving.clear();
            let delay = if loss == Loss::Frozen {
                UNREACHABLE_MS
            } else {
                0
            };
            cell.succession = Some(now + delay);
            if loss == Loss::Killed {
                for gateway in cell.gateways.iter_mut().filter(|gateway| !gateway.is_lost) {
                    gateway.fall_back(now, &mut self.random);
                }
            }
        }
    }

    /// Longest time between the asking of two successive confirmations of a gateway, since the start.
    pub fn longest_gap_ms(&self) -> u64 {
        self.longest_gap
    }

    pub fn run(&mut self, duration_ms: u64) -> Record {
        let mut record = Vec::new();
        for _ in 0..duration_ms {
            self.now += 1;
            let mut made = (0, 0);
            for cell in &mut self.cells {
                let calls = cell.step(self.now, self.interval, &mut self.random);
                made = (made.0 + calls.0, made.1 + calls.1);
                // Gateways start without a confirmation.
                if self.now > 2 * ALONE_MS {
                    let present = cell.gateways.iter().filter(|gateway| !gateway.is_lost);
                    let oldest = present.map(|gateway| gateway.confirmed).min();
                    let gap = self.now - oldest.unwrap_or(self.now);
                    self.longest_gap = self.longest_gap.max(gap);
                }
            }
            record.push(made);
        }
        Record(record)
    }
}

impl Gateway {
    /// Calls the store after a random delay, now that the reader has not answered.
    fn fall_back(&mut self, now: u64, random: &mut StdRng) {
        self.asked = None;
        self.fallback.record_failure(at(now), random);
        let mut delay = || Fallback::call_delay(random).as_millis() as u64;
        self.next_check = now + delay();
        self.next_watch = now + delay();
    }
}

impl Cell {
    /// Returns the checks and watches that are sent to the store.
    fn step(&mut self, now: u64, interval: Duration, random: &mut StdRng) -> (u32, u32) {
        let mut made = (0, 0);
        if self.succession.take_if(|time| *time <= now).is_some() {
            let present = |index: &usize| !self.gateways[*index].is_lost;
            self.reader = (0..self.gateways.len()).find(present).expect("one is left");
            self.checks.set_interval(interval, at(now));
        }
        let reader = self.reader;
        let has_reader = self.is_coalesced && !self.gateways[reader].is_lost;
        if has_reader {
            self.step_reader(now, interval, random, &mut made);
        }
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            if gateway.is_lost {
                continue;
            }
            let is_reader = self.is_coalesced && index == reader;
            let is_direct = !self.is_coalesced || gateway.fallback.is_direct(at(now));
            if (is_direct || is_reader) && gateway.next_watch <= now {
                gateway.next_watch = now + WATCH_MS;
                made.1 += 1;
            }
            if is_reader {
                continue;
            }
            if gateway
                .asked
                .is_some_and(|asked| now >= asked + ANSWER_TIMEOUT.as_millis() as u64)
            {
                gateway.fall_back(now, random);
            }
            if gateway.asked.is_some() || gateway.next_check > now {
                continue;
            }
            if gateway.fallback.is_direct(at(now)) || !self.is_coalesced {
                made.0 += 1;
                gateway.confirmed = now;
                gateway.next_check = now + ALONE_MS;
            } else {
                gateway.asked = Some(now);
                let arrival = now + random.random_range(1..30);
                self.arriving.push_back((arrival, index, now));
            }
        }
        made
    }

    fn step_reader(
        &mut self,
        now: u64,
        interval: Duration,
        random: &mut StdRng,
        made: &mut (u32, u32),
    ) {
        for (arrival, index, asked) in std::mem::take(&mut self.arriving) {
            if arrival <= now {
                let _ = self.checks.push((index, asked), at(now));
            } else {
                self.arriving.push_back((arrival, index, asked));
            }
        }
        if let Some((_, answered)) = self.call.take_if(|(end, _)| *end <= now) {
            let next = self.checks.time_to_next_question(at(now)).as_millis() as u64;
            for (index, asked) in answered {
                let gateway = &mut self.gateways[index];
                if gateway.asked.take_if(|latest| *latest == asked).is_some() {
                    gateway.confirmed = asked;
                    let latest = asked + interval.as_millis() as u64;
                    gateway.next_check = (now + next).min(latest).max(now + 10);
                }
            }
        }
        if self.call.is_none() && self.checks.due() <= at(now) {
            let end = now + random.random_range(3..40);
            self.call = Some((end, self.checks.take(at(now))));
            self.gateways[self.reader].confirmed = now;
            made.0 += 1;
        }
    }
}

impl Record {
    /// Average calls a second.
    pub fn per_second(&self) -> Calls {
        let seconds = self.0.len() as f64 / 1_000.0;
        let sum = |kind: fn(&(u32, u32)) -> u32| self.0.iter().map(kind).sum::<u32>();
        Calls {
            checks: f64::from(sum(|made| made.0)) / seconds,
            watches: f64::from(sum(|made| made.1)) / seconds,
            in_10_ms: 0.0,
        }
    }

    /// The most calls within a second, and within 10 ms.
    pub fn worst_second(&self) -> Calls {
        let worst = |length: usize, kind: fn(&(u32, u32)) -> u32| {
            let windows = self.0.windows(length);
            let sums = windows.map(|window| window.iter().map(kind).sum::<u32>());
            f64::from(sums.max().unwrap_or_default())
        };
        Calls {
            checks: worst(1_000, |made| made.0),
            watches: worst(1_000, |made| made.1),
            in_10_ms: worst(10, |made| made.0 + made.1),
        }
    }
}
