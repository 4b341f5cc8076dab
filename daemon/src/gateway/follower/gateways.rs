//! Registers this gateway in the store and reads the registrations of the other gateways.

use {
    super::{Follower, rejections::Rejections},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tamarackdale_core::outage::{Grace, Missing},
    tamarackdale_platform::store::{Error, Lease},
    tokio::time::sleep,
};

/// Interval between renewals of the lease, a third of its duration.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Time after trouble with the store within which running gateways have registered again: twice the time
/// between two renewals, one of which finds that the registration is gone.
const RETURN_TIME: Duration = Duration::from_secs(8);

/// Key prefix of the gateways' registrations; the gateway's address for peers follows.
const GATEWAYS: &str = "gateways/";

/// What the log calls an entry under the prefix.
const WHAT: &str = "gateway registration";

/// What is known of the registrations of the other gateways.
#[derive(Default)]
struct Known {
    missing: Missing<SocketAddr>,
    /// Grace of gateways whose registration is missing. `None` if they are gone.
    grace: Option<Grace>,
    rejections: Rejections,
}

impl Follower {
    /// Keeps this gateway registered and reads the registrations of the other gateways.
    pub(super) async fn follow_gateways(&self) {
        let mut lease = None;
        // When the store was last found to be in trouble, or to have forgotten this registration.
        let mut troubled_at: Option<Instant> = None;
        let mut failures = 0;
        let mut known = Known::default();
        loop {
            if self.outage().is_recent() {
                troubled_at = Some(Instant::now());
            }
            // What is missing soon after trouble may have lapsed, and be registered again.
            let is_troubled = troubled_at.is_some_and(|at| at.elapsed() < RETURN_TIME);
            known.grace = is_troubled.then(|| self.outage().grace_of(RETURN_TIME));
            let held = match lease {
                Some(held) => {
                    let renewed = self.renew_registration(held, &mut known).await;
                    renewed.map(|()| held)
                }
                None => self.register(&mut known).await,
            };
            if held.is_err() {
                troubled_at = Some(Instant::now());
            }
            lease = match held {
                Ok(held) => Some(held),
                Err(Error::NoLease) => None,
                Err(error) => {
                    self.record_store_error("gateways", &error);
                    self.read_first_gateways(&mut known).await;
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

    /// Registers this gateway under a new lease, then reads the other registrations. As each
    /// gateway reads after it has written, at least one of two that register concurrently sees the
    /// other.
    async fn register(&self, known: &mut Known) -> Result<Lease, Error> {
        let own = self.settings.borrow().peers;
        let lease = self.store.grant_lease(self.lease_duration()).await?;
        let key = format!("{GATEWAYS}{own}");
        self.store
            .put(&key, own.to_string().as_bytes(), lease)
            .await?;
        self.read_gateways(known).await?;
        Ok(lease)
    }

    /// Reads the other registrations although this gateway could not register, unless they have been
    /// read: without them it admits nothing of the quotas. The store may take no writes.
    async fn read_first_gateways(&self, known: &mut Known) {
        let is_first = self.channels.gateways.borrow().is_none();
        if is_first && let Err(error) = self.read_gateways(known).await {
            self.record_store_error("gateways", &error);
        }
    }

    /// Renews the lease of the registration. The other registrations are read again only while a
    /// known gateway is unreachable, to tell whether it is still registered. New gateways introduce
    /// themselves.
    async fn renew_registration(&self, lease: Lease, known: &mut Known) -> Result<(), Error> {
        self.store.renew_lease(lease).await?;
        if *self.channels.has_unreachable_peers.borrow() {
            self.read_gateways(known).await?;
        }
        Ok(())
    }

    async fn read_gateways(&self, known: &mut Known) -> Result<(), Error> {
        let own = self.settings.borrow().peers;
        let range = self.store.range(GATEWAYS).await?;
        for item in &range.unreadable {
            known.rejections.log_unreadable(WHAT, item);
        }
        let mut addresses: BTreeSet<SocketAddr> = range
            .entries
            .iter()
            .filter_map(|entry| parse_address(&entry.key, &mut known.rejections))
            .filter(|address| *address != own)
            .collect();
        let before = self.channels.gateways.borrow().clone().unwrap_or_default();
        let missing: Vec<SocketAddr> = before.difference(&addresses).copied().collect();
        known.missing.retain(|address| missing.contains(address));
        if let Some(grace) = known.grace {
            let excused = missing
                .into_iter()
                .filter(|address| known.missing.is_excused(*address, grace));
            addresses.extend(excused);
        }
        self.channels
            .gateways
            .send_replace(Some(Arc::new(addresses)));
        Ok(())
    }
}

/// Parses the address for peers from a registration's key. Keys that other programs wrote under the
/// prefix are skipped.
fn parse_address(key: &str, rejections: &mut Rejections) -> Option<SocketAddr> {
    let text = key.strip_prefix(GATEWAYS)?;
    match text.parse() {
        Ok(address) => Some(address),
        Err(error) => {
            rejections.log(WHAT, key, error);
            None
        }
    }
}
