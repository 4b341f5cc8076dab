//! The peers that a gateway knows.

use {
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time after which a peer that is out of reach is no longer known: the window in which quotas are
/// counted has passed since it was heard.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Peers by address, each with when it was last heard; none while it is being heard.
#[derive(Default)]
pub struct Acquaintance {
    peers: Mutex<HashMap<SocketAddr, Option<Instant>>>,
}

impl Acquaintance {
    /// Notes a peer; returns whether it is new.
    pub(super) fn meet(&self, address: SocketAddr) -> bool {
        let mut peers = self.lock();
        let is_new = !peers.contains_key(&address);
        peers.entry(address).or_insert(Some(Instant::now()));
        is_new
    }

    pub(super) fn hear(&self, address: SocketAddr) {
        self.lock().insert(address, None);
    }

    pub(super) fn lose(&self, address: SocketAddr) {
        let mut peers = self.lock();
        let known = peers.entry(address).or_default();
        if known.is_none() {
            *known = Some(Instant::now());
        }
    }

    /// Drops a peer that has been out of reach for too long; returns whether it did.
    pub(super) fn drop_stale(&self, address: SocketAddr) -> bool {
        let mut peers = self.lock();
        let lost = peers.get(&address).copied().flatten();
        let is_stale = lost.is_some_and(|lost| lost.elapsed() > FORGET_AFTER);
        if is_stale {
            peers.remove(&address);
        }
        is_stale
    }

    /// Whether this gateway's address comes before those of all that are heard.
    pub(super) fn is_first(&self, own: SocketAddr) -> bool {
        let peers = self.lock();
        let mut heard = peers.iter().filter(|(_, lost)| lost.is_none());
        heard.all(|(address, _)| own < *address)
    }

    /// Gateways that are heard, and those that are known; this one counts in both.
    pub(super) fn count(&self) -> (usize, usize) {
        let peers = self.lock();
        let heard = peers.values().filter(|lost| lost.is_none()).count();
        (heard + 1, peers.len() + 1)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Option<Instant>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
