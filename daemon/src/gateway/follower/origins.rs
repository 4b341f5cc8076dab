//! Saves the origins of this gateway's streams in the store, and reads those that all gateways saved.

use {
    super::{Follower, rejections::Rejections},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tamarackdale_core::origin::{Origin, RETENTION},
    tamarackdale_platform::store::{Entry, Error, Lease},
    tamarackdale_wire::{codec, origin::Saved},
};

/// Store key prefix of the saved origins; the gateway's boot identifier follows, so that a start does
/// not overwrite what the one before it has saved.
const ORIGINS: &str = "origins/";

/// What the log calls an entry under the prefix.
const WHAT: &str = "table of stream origins";

/// Time after which the lease is renewed before the next write.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// Origins of streams by digest, as all gateways have saved them.
pub type SavedOrigins = HashMap<u64, Arc<Origin>>;

/// Lease under which the origins are saved.
struct OriginsLease {
    lease: Lease,
    renewed: Instant,
}

impl Follower {
    /// Saves origins when they change, and reads them when asked to.
    pub(super) async fn follow_origins(&self) {
        tokio::join!(self.save_origins(), self.answer_origin_reads());
    }

    async fn save_origins(&self) {
        let mut origins = self.channels.origins_to_save.clone();
        let mut held = None;
        let mut failures = 0;
        loop {
            if failures == 0 && origins.changed().await.is_err() {
                return;
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

    async fn write_origins(
        &self,
        origins: &Saved,
        held: Option<OriginsLease>,
    ) -> Result<OriginsLease, Error> {
        let held = match held {
            Some(held) if held.renewed.elapsed() < RENEWAL_INTERVAL => held,
            Some(held) => {
                self.store.renew_lease(held.lease).await?;
                OriginsLease::new(held.lease)
            }
            None => {
                let duration = RETENTION.max(self.settings.borrow().min_lease);
                OriginsLease::new(self.store.grant_lease(duration).await?)
            }
        };
        let bytes = codec::encode(origins).map_err(|error| Error::Malformed(error.to_string()))?;
        let key = format!("{ORIGINS}{:016x}", self.boot);
        self.store.put(&key, &bytes, held.lease).await?;
        Ok(held)
    }

    /// Reads the origins whenever a read is requested. Requests that arrive during a read share the
    /// next one, which may know more.
    async fn answer_origin_reads(&self) {
        let mut requested = self.channels.origin_reads.clone();
        let mut rejections = Rejections::new();
        while requested.changed().await.is_ok() {
            let number = *requested.borrow_and_update();
            let read = self.read_origins(&mut rejections).await;
            let read = read
                .inspect_err(|error| self.record_store_error("stream origins", error))
                .ok();
            self.channels
                .origins
                .send_replace((number, read.map(Arc::new)));
        }
    }

    async fn read_origins(&self, rejections: &mut Rejections) -> Result<SavedOrigins, Error> {
        let range = self.store.range(ORIGINS).await?;
        for item in &range.unreadable {
            rejections.log_unreadable(WHAT, item);
        }
        let saved = range.entries.iter();
        let saved = saved.filter_map(|entry| decode(entry, rejections));
        Ok(saved.flat_map(SavedOrigins::from).collect())
    }
}

impl OriginsLease {
    fn new(lease: Lease) -> Self {
        Self {
            lease,
            renewed: Instant::now(),
        }
    }
}

fn decode(entry: &Entry, rejections: &mut Rejections) -> Option<Saved> {
    codec::decode(&entry.value)
        .inspect_err(|error| rejections.log(WHAT, &entry.key, error))
        .ok()
}
