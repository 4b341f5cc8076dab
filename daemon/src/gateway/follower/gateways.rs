//! Registers this gateway and reads who else is there.

use {
    super::{Follower, LEASE, RETRY_INTERVAL},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tamarackdale_platform::store::Error,
    tokio::time::sleep,
};

/// Pause between renewals, a third of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Prefix of the gateways' registrations; the rest of a key is the address for peers.
const GATEWAYS: &str = "gateways/";

impl Follower {
    /// Registers this gateway and reads who else is there.
    pub(super) async fn follow_gateways(&self) {
        let mut lease = None;
        loop {
            let held = match lease {
                Some(held) => self.store.keep(held).await.map(|()| held),
                None => self.register_self().await,
            };
            lease = match held {
                Ok(held) => Some(held),
                Err(Error::NoLease) => None,
                Err(error) => {
                    self.lose("gateways", &error);
                    sleep(RETRY_INTERVAL).await;
                    continue;
                }
            };
            sleep(if lease.is_some() {
                RENEWAL_INTERVAL
            } else {
                RETRY_INTERVAL
            })
            .await;
        }
    }

    /// Of two gateways that register at the same time at least one sees the other, as both read
    /// after they have written.
    async fn register_self(&self) -> Result<u64, Error> {
        let lease = self.store.lease(LEASE).await?;
        let key = format!("{GATEWAYS}{}", self.address);
        self.store
            .put(&key, self.address.to_string().as_bytes(), lease)
            .await?;
        let range = self.store.range(GATEWAYS).await?;
        let addresses = range
            .entries
            .iter()
            .filter_map(|entry| address(&entry.key))
            .filter(|address| *address != self.address)
            .collect();
        self.publisher.gateways.send_replace(Arc::new(addresses));
        Ok(lease)
    }
}

/// The address for peers in a registration's key; one of another writer names no gateway.
fn address(key: &str) -> Option<SocketAddr> {
    let text = key.strip_prefix(GATEWAYS)?;
    match text.parse() {
        Ok(address) => Some(address),
        Err(error) => {
            log::warn!(key; "registration names no gateway: {error}");
            None
        }
    }
}
