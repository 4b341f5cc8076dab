//! Fair sharing between organisations: whether one has more than its part of a service.

use {
    crate::time::Timestamp,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Period over which the slot times of organisations are compared.
const USE_WINDOW: Duration = Duration::from_secs(2);

/// Period over which it is compared how often organisations are served.
const COUNT_WINDOW: Duration = Duration::from_secs(4);

/// Time after which what a peer has said of its use no longer counts.
const PEER_TTL: Duration = Duration::from_secs(4);

/// Multiple of an equal part from which an organisation goes after the others.
const MAX_PARTS: f64 = 2.0;

/// Multiple of the mean slot time of a request that an organisation has at least when it goes after
/// the others: with few requests, one large one would suffice.
const MIN_REQUESTS: f64 = 3.0;

/// Least part of the served share of all that an organisation over its part gets, apart from one
/// request. It must get a quarter.
const MIN_SERVED_PART: f64 = 0.3;

/// Number of organisations of which peers are told: those with the most slot time.
const MAX_TOLD: usize = 4;

/// Largest slot time in seconds that a peer may report.
const MAX_REPORTED_S: f64 = 1e9;

/// Slot time of the work that a router started for a service within the latest two seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Slot time of all organisations, in seconds.
    pub total_s: f64,
    /// Hash of the name and slot time in seconds of those with the most.
    pub organisations: Vec<(u64, f64)>,
}

/// A value out of range in a peer's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidWork;

/// Requests and slot time of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Organisation {
    slot_s: f64,
    starts: u32,
    /// Requests that asked for a slot, and that got one, within the longer period.
    arrived: u32,
    served: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Use(f64),
    Arrival,
    Served,
}

/// Use of a service by organisations, at this router and its peers.
#[derive(Debug, Default)]
pub struct Shares {
    organisations: HashMap<u64, Organisation>,
    all: Organisation,
    /// Organisations with slot time.
    users: usize,
    uses: VecDeque<(Timestamp, u64, Event)>,
    counts: VecDeque<(Timestamp, u64, Event)>,
    peers: HashMap<u64, (Work, Timestamp)>,
}

impl Work {
    fn is_valid(&self) -> bool {
        let organisations = self.organisations.iter().map(|(_, slot_s)| *slot_s);
        organisations
            .chain([self.total_s])
            .all(|slot_s| (0.0..=MAX_REPORTED_S).contains(&slot_s))
    }
}

impl Shares {
    /// Records a request that asks for a slot. A retry is the same caller's, and counts only once it
    /// gets one.
    pub fn record_arrival(&mut self, organisation: u64, is_retry: bool, now: Timestamp) {
        if !is_retry {
            self.apply(organisation, Event::Arrival, true);
            self.counts.push_back((now, organisation, Event::Arrival));
        }
        self.prune(now);
    }

    /// Records a request that got a slot, which it occupies for about `slot_time`.
    pub fn record_start(&mut self, organisation: u64, slot_time: Duration, now: Timestamp) {
        let used = Event::Use(slot_time.as_secs_f64());
        self.apply(organisation, used, true);
        self.apply(organisation, Event::Served, true);
        self.uses.push_back((now, organisation, used));
        self.counts.push_back((now, organisation, Event::Served));
        self.prune(now);
    }

    /// Removes what is older than its period.
    pub fn prune(&mut self, now: Timestamp) {
        while let Some((at, organisation, event)) = self.uses.front().copied()
            && now.since(at) >= USE_WINDOW
        {
            self.uses.pop_front();
            self.apply(organisation, event, false);
        }
        while let Some((at, organisation, event)) = self.counts.front().copied()
            && now.since(at) >= COUNT_WINDOW
        {
            self.counts.pop_front();
            self.apply(organisation, event, false);
        }
    }

    /// Replaces what a peer has said of its use.
    ///
    /// # Errors
    ///
    /// If a value is out of range; the former report of the peer stays.
    pub fn merge(&mut self, peer: u64, work: Work, now: Timestamp) -> Result<(), InvalidWork> {
        if !work.is_valid() {
            return Err(InvalidWork);
        }
        self.peers
            .retain(|_, (_, received)| now.since(*received) < PEER_TTL);
        self.peers.insert(peer, (work, now));
        Ok(())
    }

    /// This router's use for its peers.
    pub fn work(&self) -> Work {
        let mut organisations: Vec<(u64, f64)> = self
            .organisations
            .iter()
            .filter(|(_, used)| used.starts > 0)
            .map(|(organisation, used)| (*organisation, used.slot_s))
            .collect();
        organisations.sort_by(|(one, first), (other, second)| {
            second.total_cmp(first).then_with(|| one.cmp(other))
        });
        organisations.truncate(MAX_TOLD);
        Work {
            total_s: self.all.slot_s,
            organisations,
        }
    }

    /// Whether requests of the organisation go after those of others: it has more than its part of
    /// the service, and is served often enough.
    pub fn is_over(&self, organisation: u64, now: Timestamp) -> bool {
        let Some(own) = self.organisations.get(&organisation) else {
            return false;
        };
        self.is_over_part(organisation, *own, now) && !self.is_served_rarely(*own)
    }

    /// The parts are those of the organisations that this router has served: with the peers, there
    /// are more of them, each with less, so it errs on the side of the organisation.
    fn is_over_part(&self, organisation: u64, own: Organisation, now: Timestamp) -> bool {
        let (mut used_s, mut total_s) = (own.slot_s, self.all.slot_s);
        let peers = self.peers.values();
        for (work, _) in peers.filter(|(_, received)| now.since(*received) < PEER_TTL) {
            let mut told = work.organisations.iter();
            used_s += told
                .find(|(told, _)| *told == organisation)
                .map_or(0.0, |(_, slot_s)| *slot_s);
            total_s += work.total_s;
        }
        let mean_s = self.all.slot_s / f64::from(self.all.starts.max(1));
        let part_s = total_s / self.users.max(1) as f64;
        self.users > 1 && used_s > MAX_PARTS * part_s && used_s >= MIN_REQUESTS * mean_s
    }

    fn is_served_rarely(&self, own: Organisation) -> bool {
        f64::from(own.served + 1) * f64::from(self.all.arrived)
            < MIN_SERVED_PART * f64::from(own.arrived) * f64::from(self.all.served)
    }

    fn apply(&mut self, organisation: u64, event: Event, is_added: bool) {
        let own = self.organisations.entry(organisation).or_default();
        let had_starts = own.starts > 0;
        own.apply(event, is_added);
        let has_starts = own.starts > 0;
        if *own == Organisation::default() {
            self.organisations.remove(&organisation);
        }
        self.all.apply(event, is_added);
        match (had_starts, has_starts) {
            (false, true) => self.users += 1,
            (true, false) => self.users -= 1,
            _ => {}
        }
    }
}

impl Organisation {
    fn apply(&mut self, event: Event, is_added: bool) {
        let count = |count: &mut u32| match is_added {
            true => *count += 1,
            false => *count -= 1,
        };
        match event {
            Event::Use(slot_s) => {
                count(&mut self.starts);
                self.slot_s += if is_added { slot_s } else { -slot_s };
                // Sums of differences do not end at exactly zero.
                if self.starts == 0 {
                    self.slot_s = 0.0;
                }
            }
            Event::Arrival => count(&mut self.arrived),
            Event::Served => count(&mut self.served),
        }
    }
}
