//! Registers this gateway and reads who else is there.

use {
    super::{Follower, LEASE},
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
        let mut failures = 0;
        loop {
            let held = match lease {
                Some(held) => self.renew(held).await.map(|()| held),
                None => self.register_self().await,
            };
            lease = match held {
                Ok(held) => Some(held),
                Err(Error::NoLease) => None,
                Err(error) => {
                    self.lose("gateways", &error);
                    failures += 1;
                    self.pause_after(failures).await;
                    continue;
                }
            };
            failures = 0;
            match lease {
                Some(_) => sleep(RENEWAL_INTERVAL).await,
                None => self.pause_after(1).await,
            }
        }
    }

    /// Of two gateways that register at the same time at least one sees the other, as both read
    /// after they have written.
    async fn register_self(&self) -> Result<u64, Error> {
        let own = self.settings.borrow().peers;
        let lease = self.store.grant_lease(LEASE).await?;
        let key = format!("{GATEWAYS}{own}");
        self.store
            .put(&key, own.to_string().as_bytes(), lease)
            .await?;
        self.read_gateways().await?;
        Ok(lease)
    }

    /// Keeps the registration. Who else is there is read again only while a gateway is out of
    /// reach, which may be gone, or cut off and registered; those that are new introduce themselves.
    async fn renew(&self, lease: u64) -> Result<(), Error> {
        self.store.renew_lease(lease).await?;
        if *self.publisher.misses_peers.borrow() {
            self.read_gateways().await?;
        }
        Ok(())
    }

    async fn read_gateways(&self) -> Result<(), Error> {
        let own = self.settings.borrow().peers;
        let range = self.store.range(GATEWAYS).await?;
        let addresses = range
            .entries
            .iter()
            .filter_map(|entry| address(&entry.key))
            .filter(|address| *address != own)
            .collect();
        self.publisher.gateways.send_replace(Arc::new(addresses));
        Ok(())
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
