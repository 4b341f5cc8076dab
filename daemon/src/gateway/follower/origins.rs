//! Saves the origins of this gateway's streams in the store, and reads those that all gateways saved.

use {
    super::{Follower, channel::ReadRequests, rejections::Rejections},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tamarackdale_core::origin::{self, Origin, RETENTION},
    tamarackdale_platform::{
        registration,
        store::{Entry, Error, Lease},
    },
    tamarackdale_wire::{codec, origin::Saved},
    tokio::{sync::watch, time::sleep},
};

/// Store key prefix of the saved origins; the gateway's boot identifier follows, so that a start does
/// not overwrite what the one before it has saved.
const ORIGINS: &str = "origins/";

/// What the log calls an entry under the prefix.
const WHAT: &str = "table of stream origins";

/// Time after which the lease is renewed before the next write. With the time between two saves, what was
/// saved stays for more than half of the lease after a gateway has lost the store.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which it is checked whether the store was restored from an older copy, which may lack the
/// origins.
const ERA_INTERVAL: Duration = Duration::from_secs(1);

/// What all gateways have saved.
#[derive(Debug, Default)]
pub struct SavedOrigins {
    /// Origins of streams by digest.
    pub streams: HashMap<u64, Arc<Origin>>,
    /// All versions that a gateway knew.
    pub versions: HashSet<Arc<Origin>>,
}

/// Lease under which the origins are saved.
struct OriginsLease {
    lease: Lease,
    /// Era of the store in which it was granted.
    era: Option<u64>,
    renewed: Instant,
}

impl Follower {
    /// Saves origins when they change, and reads them when asked to.
    pub(super) async fn follow_origins(&self) {
        tokio::join!(
            self.save_origins(),
            self.answer_origin_reads(),
            self.answer_version_reads(),
        );
    }

    async fn save_origins(&self) {
        let mut origins = self.channels.origins_to_save.clone();
        let mut held: Option<OriginsLease> = None;
        let mut failures = 0;
        loop {
            if failures == 0 {
                self.wait_for_save(&mut origins, held.as_ref()).await;
            }
            let (number, current) = origins.borrow_and_update().clone();
            match self.write_origins(&current, held.take()).await {
                Ok(lease) => {
                    held = Some(lease);
                    failures = 0;
                    self.channels.origins_saved.send_replace(number);
                }
                Err(error) => {
                    self.record_store_error("stream origins", &error);
                    failures += 1;
                    self.pause_after(failures).await;
                }
            }
        }
    }

    /// Waits until there is something to save, or the store was restored from an older copy.
    async fn wait_for_save(
        &self,
        origins: &mut watch::Receiver<(u64, Saved)>,
        held: Option<&OriginsLease>,
    ) {
        let restored = async {
            loop {
                sleep(ERA_INTERVAL).await;
                if held.is_some_and(|held| held.era != self.store.eras().latest()) {
                    return;
                }
            }
        };
        tokio::select! {
            // The process holds the sender until it ends.
            _ = origins.changed() => {}
            () = restored => {}
        }
    }

    async fn write_origins(
        &self,
        origins: &Saved,
        held: Option<OriginsLease>,
    ) -> Result<OriginsLease, Error> {
        let era = self.store.eras().latest();
        let held = match held.filter(|held| held.era == era) {
            Some(held) if held.renewed.elapsed() < RENEWAL_INTERVAL => held,
            Some(held) => {
                self.store.renew_lease(held.lease).await?;
                OriginsLease::new(held.lease, era)
            }
            None => {
                let duration = RETENTION.max(self.settings.borrow().min_lease);
                let lease = self.store.grant_lease(duration).await?;
                OriginsLease::new(lease, self.store.eras().latest())
            }
        };
        let bytes = codec::encode(origins).map_err(|error| Error::Malformed(error.to_string()))?;
        let key = format!("{ORIGINS}{:016x}", self.boot);
        self.store.put(&key, &bytes, held.lease).await?;
        Ok(held)
    }

    /// Reads the origins whenever a read is requested.
    async fn answer_origin_reads(&self) {
        let mut rejections = Rejections::new();
        let mut requests = self.channels.origins.clone();
        while let Some(number) = requests.next().await {
            let started = Instant::now();
            let read = self.read_origins(&mut rejections).await;
            self.end_read(&requests, number, "stream origins", read);
            self.pause_after_read(started).await;
        }
    }

    /// Reads the versions of the registered backend servers whenever a read is requested. The table of
    /// servers may be older than the request.
    async fn answer_version_reads(&self) {
        let mut rejections = Rejections::new();
        let mut requests = self.channels.versions.clone();
        while let Some(number) = requests.next().await {
            let started = Instant::now();
            let read = self.read_versions(&mut rejections).await;
            self.end_read(&requests, number, "backend servers", read);
            self.pause_after_read(started).await;
        }
    }

    fn end_read<T>(
        &self,
        requests: &ReadRequests<T>,
        number: u64,
        what: &str,
        read: Result<T, Error>,
    ) {
        let read = read.inspect_err(|error| self.record_store_error(what, error));
        requests.end(number, read.ok());
    }

    /// Pauses after a read of the saved origins or of the registrations that began at `started`.
    async fn pause_after_read(&self, started: Instant) {
        let others = self.channels.gateways.borrow().clone();
        let gateways = others.map_or(0, |others| others.len()) + 1;
        let interval = origin::read_interval(gateways, self.settings.borrow().store_reads_per_s);
        sleep(interval.saturating_sub(started.elapsed())).await;
    }

    async fn read_versions(
        &self,
        rejections: &mut Rejections,
    ) -> Result<HashSet<Arc<Origin>>, Error> {
        let range = self.store.range(registration::PREFIX).await?;
        let entries = range.entries.iter();
        let versions = entries.filter_map(|entry| {
            registration::decode(&entry.key, &entry.value)
                .inspect_err(|error| {
                    rejections.log("backend server registration", &entry.key, error)
                })
                .ok()
        });
        Ok(versions
            .map(|registration| Arc::new(registration.member.origin()))
            .collect())
    }

    async fn read_origins(&self, rejections: &mut Rejections) -> Result<SavedOrigins, Error> {
        let range = self.store.range(ORIGINS).await?;
        for item in &range.unreadable {
            rejections.log_unreadable(WHAT, item);
        }
        let mut all = SavedOrigins::default();
        for entry in &range.entries {
            if let Some(saved) = decode(entry, rejections) {
                let by_origin = HashMap::<Arc<Origin>, Vec<u64>>::from(saved);
                for (origin, streams) in by_origin {
                    let streams = streams.into_iter();
                    all.streams
                        .extend(streams.map(|stream| (stream, Arc::clone(&origin))));
                    all.versions.insert(origin);
                }
            }
        }
        Ok(all)
    }
}

impl OriginsLease {
    fn new(lease: Lease, era: Option<u64>) -> Self {
        Self {
            lease,
            era,
            renewed: Instant::now(),
        }
    }
}

fn decode(entry: &Entry, rejections: &mut Rejections) -> Option<Saved> {
    codec::decode(&entry.value)
        .inspect_err(|error| rejections.log(WHAT, &entry.key, error))
        .ok()
}
