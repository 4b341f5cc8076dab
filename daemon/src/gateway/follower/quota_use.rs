//! Saves quota use in the store, so that it survives a restart of all gateways.

use {
    super::Follower,
    std::time::Duration,
    tamarackdale_platform::store::{Entry, Error, Lease},
    tamarackdale_wire::{codec, summary::SavedQuotaUse},
    tokio::time::sleep,
};

/// Store key of the saved quota use.
const QUOTA_USE: &str = "quota-use";

/// Interval at which quota use is saved.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

impl Follower {
    /// Reads the quota use that was saved before this start, then saves that of this gateway
    /// whenever there is any. It is stored under a lease, because it is obsolete after one quota
    /// window.
    pub(super) async fn follow_quota_use(&self) {
        let mut failures = 0;
        let saved = loop {
            match self.store.get(QUOTA_USE).await {
                Ok(entry) => break decode_quota_use(&entry),
                Err(Error::NoKey) => break SavedQuotaUse::default(),
                Err(error) => self.record_store_error("quota use", &error),
            }
            failures += 1;
            self.pause_after(failures).await;
        };
        self.channels.saved_quota_use.send_replace(Some(saved));
        let mut quota_use = self.channels.quota_use_to_save.clone();
        let mut lease = None;
        loop {
            sleep(SAVE_INTERVAL).await;
            let current = quota_use.borrow_and_update().clone();
            if current.used.is_empty() {
                continue;
            }
            match self.save_quota_use(&current, lease).await {
                Ok(held) => lease = Some(held),
                Err(Error::NoLease) => lease = None,
                Err(error) => self.record_store_error("quota use", &error),
            }
        }
    }

    async fn save_quota_use(
        &self,
        quota_use: &SavedQuotaUse,
        lease: Option<Lease>,
    ) -> Result<Lease, Error> {
        let lease = match lease {
            Some(lease) => {
                self.store.renew_lease(lease).await?;
                lease
            }
            None => self.store.grant_lease(self.lease_duration()).await?,
        };
        let bytes =
            codec::encode(quota_use).map_err(|error| Error::Malformed(error.to_string()))?;
        self.store.put(QUOTA_USE, &bytes, lease).await?;
        Ok(lease)
    }
}

fn decode_quota_use(entry: &Entry) -> SavedQuotaUse {
    codec::decode(&entry.value).unwrap_or_else(|error| {
        log::warn!("ignoring the saved quota use, which cannot be decoded: {error}");
        SavedQuotaUse::default()
    })
}
