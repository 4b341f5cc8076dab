//! Where streams began: at which service, and at which version of its software.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began
//! it: within one response, and when its caller takes it up with another request.

use {
    crate::{
        fleet::Members,
        rendezvous,
        time::{self, Timestamp},
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Time for which a version counts after the last backend server of it was seen, and for which the
/// saved origins of a process are kept after its end. Longer than any stream, its repeats included.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Time between two saves of a router's table. Streams that began within it are unknown if all routers
/// end at once.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the store's writing calls that all routers together use for saves.
const WRITE_FRACTION: f64 = 0.2;

/// Time between two saves of one of `routers` routers, if the store takes `writes_per_s` writing calls a
/// second from all of them.
pub fn save_interval(routers: usize, writes_per_s: f64) -> Duration {
    let turn_s = routers as f64 / (writes_per_s * WRITE_FRACTION);
    SAVE_INTERVAL.max(time::seconds(turn_s))
}

/// Part of the store's writing calls that all routers together use for the first saves of a version.
const FIRST_SAVE_FRACTION: f64 = 0.5;

/// Time over which `routers` routers spread their first saves of a version, of which they hear at the
/// same moment, if the store takes `writes_per_s` writing calls a second from all of them. Also the least
/// time between two such saves of one router.
pub fn first_save_spread(routers: usize, writes_per_s: f64) -> Duration {
    time::seconds(routers as f64 / (writes_per_s * FIRST_SAVE_FRACTION))
}

/// Longest time for which a version that cannot be saved is held back. By then a router that has not
/// heard of it has not confirmed its configuration for so long that it takes no requests.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// Part of the store's reading calls that all routers together use for reading the saved tables.
const READ_FRACTION: f64 = 0.2;

/// Time between two reads of the saved tables by one of `routers` routers, if the store takes
/// `reads_per_s` reading calls a second from all of them. Take-ups that come between share a read. The
/// registrations are read no more often than that either.
pub fn read_interval(routers: usize, reads_per_s: f64) -> Duration {
    time::seconds(routers as f64 / (reads_per_s * READ_FRACTION))
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    /// Service.
    pub service: String,
    /// Version of its software.
    pub version: String,
}

/// Digest that stands for a stream: of the identifier of the attempt that brought its first event.
pub fn stream_digest(attempt: &str) -> u64 {
    rendezvous::hash(attempt)
}

/// Origins of the streams that a router has begun or gone on with, by the stream's digest.
#[derive(Debug, Default)]
pub struct Table {
    records: HashMap<u64, Record>,
    has_changed: bool,
}

#[derive(Debug)]
struct Record {
    origin: Arc<Origin>,
    /// When nobody can take the stream up any more.
    until: Timestamp,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records where a stream began, or goes on, which callers may take up until `until`. Returns
    /// whether another origin was recorded before, which others may have read.
    pub fn record(&mut self, stream: u64, origin: Arc<Origin>, until: Timestamp) -> bool {
        let record = Record { origin, until };
        match self.records.get_mut(&stream) {
            Some(known) if known.origin == record.origin => {
                known.until = known.until.max(until);
                false
            }
            _ => {
                self.has_changed = true;
                self.records.insert(stream, record).is_some()
            }
        }
    }

    /// Removes a stream that nobody takes up.
    pub fn remove(&mut self, stream: u64) {
        self.has_changed |= self.records.remove(&stream).is_some();
    }

    /// Where a stream began.
    pub fn get(&self, stream: u64) -> Option<&Arc<Origin>> {
        self.records.get(&stream).map(|record| &record.origin)
    }

    /// Removes the streams that nobody can take up any more.
    pub fn prune(&mut self, now: Timestamp) {
        let before = self.records.len();
        self.records.retain(|_, record| record.until > now);
        self.has_changed |= self.records.len() != before;
    }

    /// Whether there were changes since the last call of [`Self::clear_changes`].
    pub fn has_changes(&self) -> bool {
        self.has_changed
    }

    /// Records that the changes so far are saved.
    pub fn clear_changes(&mut self) {
        self.has_changed = false;
    }

    /// Streams by origin, at most `limit` of them: those that may be taken up for the longest time.
    pub fn by_origin(&self, limit: usize) -> BTreeMap<Arc<Origin>, Vec<u64>> {
        let mut records: Vec<(&u64, &Record)> = self.records.iter().collect();
        if records.len() > limit {
            records.sort_unstable_by_key(|(_, record)| std::cmp::Reverse(record.until));
            records.truncate(limit);
        }
        let mut streams: BTreeMap<Arc<Origin>, Vec<u64>> = BTreeMap::new();
        for (stream, record) in records {
            let origin = Arc::clone(&record.origin);
            streams.entry(origin).or_default().push(*stream);
        }
        streams
    }
}

/// Versions of each service that serve, or of which streams may still be taken up.
#[derive(Debug, Default)]
pub struct Versions {
    seen: HashMap<Arc<Origin>, Sightings>,
    /// Number of the last save that the store has acknowledged.
    acknowledged: u64,
    has_changed: bool,
}

/// When a version was last known to serve.
#[derive(Clone, Copy, Debug, Default)]
struct Sightings {
    /// By the registration of a backend server.
    registered: Option<Timestamp>,
    /// When the first registration was seen.
    since: Option<Timestamp>,
    /// Number of the first save that names the version; all later ones do so too.
    save: Option<u64>,
    /// By what another router has saved, or by registrations that were read for a take-up.
    reported: Option<Timestamp>,
}

impl Versions {
    /// Creates a set without versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a version that another router has saved, or that was read for a take-up.
    pub fn observe_report(&mut self, origin: &Arc<Origin>, now: Timestamp) {
        let sightings = self.seen.entry(Arc::clone(origin)).or_default();
        sightings.reported = Some(now);
    }

    /// Records the versions of the registered backend servers, and drops those not seen for
    /// [`RETENTION`].
    pub fn observe_servers(&mut self, members: &Members, now: Timestamp) {
        for member in members.values() {
            let sightings = self.seen.entry(Arc::new(member.origin())).or_default();
            self.has_changed |= sightings.registered.is_none();
            sightings.registered = Some(now);
            sightings.since.get_or_insert(now);
        }
        let is_recent = |seen: Option<Timestamp>| seen.is_some_and(|at| now.since(at) < RETENTION);
        self.seen.retain(|_, sightings| {
            is_recent(sightings.registered) || is_recent(sightings.reported)
        });
    }

    /// The versions that this router has seen registered, for others. What others have reported is
    /// not passed on: two routers would remind each other of it for ever.
    pub fn registered(&self) -> impl Iterator<Item = &Arc<Origin>> {
        let seen = self.seen.iter();
        seen.filter_map(|(origin, sightings)| sightings.registered.map(|_| origin))
    }

    /// Records that save `number` names all versions that this router has seen registered.
    pub fn record_save(&mut self, number: u64) {
        let seen = self.seen.values_mut();
        for sightings in seen.filter(|sightings| sightings.registered.is_some()) {
            sightings.save.get_or_insert(number);
        }
    }

    /// Records that the store has acknowledged save `number`, and so has what the earlier ones named.
    pub fn acknowledge(&mut self, number: u64) {
        self.acknowledged = self.acknowledged.max(number);
    }

    /// Versions at which no stream may begin yet, because the store does not name them: a router that
    /// has not heard of them would take another version for the only one.
    pub fn held_back(&self, now: Timestamp) -> HashSet<Origin> {
        let seen = self.seen.iter();
        let unsaved = seen.filter(|(_, sightings)| {
            let is_saved = sightings.save.is_some_and(|save| save <= self.acknowledged);
            let since = sightings.since;
            !is_saved && since.is_some_and(|since| now.since(since) < MAX_HOLD)
        });
        unsaved.map(|(origin, _)| origin.as_ref().clone()).collect()
    }

    /// Whether there were newly registered versions since the last call.
    pub fn take_changes(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// The only version of a service, if there is no other one.
    pub fn only(&self, service: &str) -> Option<&Arc<Origin>> {
        let mut versions = self.seen.keys().filter(|seen| seen.service == service);
        let only = versions.next()?;
        versions.next().is_none().then_some(only)
    }

    /// Whether there are several versions of any service.
    pub fn is_mixed(&self) -> bool {
        self.seen
            .keys()
            .any(|seen| self.only(&seen.service).is_none())
    }
}
