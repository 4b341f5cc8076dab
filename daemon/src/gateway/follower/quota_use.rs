//! Keeps use of quotas in the store over a start of all gateways.

use {
    super::{Follower, LEASE},
    std::time::Duration,
    tamarackdale_platform::store::{Entry, Error},
    tamarackdale_wire::{codec, summary::Kept},
    tokio::time::sleep,
};

/// Key of the use of quotas, kept for a start of all gateways.
const QUOTA_USE: &str = "quota-use";

/// Pause between two looks at whether use of quotas must be kept.
const KEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Follower {
    /// Reads the use of quotas that was kept before this start, then keeps that of this gateway
    /// whenever there is some. It hangs on a lease, since it is worth nothing after a window.
    pub(super) async fn keep_quota_use(&self) {
        let mut failures = 0;
        let kept = loop {
            match self.store.get(QUOTA_USE).await {
                Ok(entry) => break decode_kept(&entry),
                Err(Error::NoKey) => break Kept::default(),
                Err(error) => self.lose("use of quotas", &error),
            }
            failures += 1;
            self.pause_after(failures).await;
        };
        self.publisher.kept.send_replace(Some(kept));
        let mut to_keep = self.publisher.to_keep.clone();
        let mut lease = None;
        loop {
            sleep(KEEP_INTERVAL).await;
            let use_now = to_keep.borrow_and_update().clone();
            if use_now.used.is_empty() {
                continue;
            }
            match self.put_quota_use(&use_now, lease).await {
                Ok(held) => lease = Some(held),
                Err(Error::NoLease) => lease = None,
                Err(error) => self.lose("use of quotas", &error),
            }
        }
    }

    async fn put_quota_use(&self, kept: &Kept, lease: Option<u64>) -> Result<u64, Error> {
        let lease = match lease {
            Some(lease) => {
                self.store.renew_lease(lease).await?;
                lease
            }
            None => self.store.grant_lease(LEASE).await?,
        };
        let bytes = codec::encode(kept).map_err(|error| Error::Malformed(error.to_string()))?;
        self.store.put(QUOTA_USE, &bytes, lease).await?;
        Ok(lease)
    }
}

fn decode_kept(entry: &Entry) -> Kept {
    codec::decode(&entry.value).unwrap_or_else(|error| {
        log::warn!("the kept use of quotas cannot be read: {error}");
        Kept::default()
    })
}
