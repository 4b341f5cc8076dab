//! The peers that a router knows, and which of them it hears.

use {
    crate::time::Timestamp,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Time after which a peer that is out of reach and no longer registered is forgotten: the window
/// in which quotas are counted has passed since it was heard.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Peers by address, each with when it was last heard; none while it is being heard.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, Option<Timestamp>>,
}

impl PeerTable {
    /// Nobody is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a peer; returns whether it is new.
    pub fn add(&mut self, address: SocketAddr, now: Timestamp) -> bool {
        let is_new = !self.peers.contains_key(&address);
        self.peers.entry(address).or_insert(Some(now));
        is_new
    }

    /// Notes that a peer is being heard.
    pub fn mark_reachable(&mut self, address: SocketAddr) {
        self.peers.insert(address, None);
    }

    /// Notes that a peer is no longer heard.
    pub fn mark_unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        let known = self.peers.entry(address).or_default();
        if known.is_none() {
            *known = Some(now);
        }
    }

    /// Forgets a peer that has been out of reach for too long and is gone; returns whether it did.
    /// One that is still registered may come back at any time, and counts as known until then.
    pub fn remove_expired(
        &mut self,
        address: SocketAddr,
        is_registered: bool,
        now: Timestamp,
    ) -> bool {
        let lost = self.peers.get(&address).copied().flatten();
        let is_stale = lost.is_some_and(|lost| now.since(lost) > FORGET_AFTER);
        if is_registered || !is_stale {
            return false;
        }
        self.peers.remove(&address);
        true
    }

    /// Whether any known peer is out of reach.
    pub fn has_unreachable(&self) -> bool {
        self.peers.values().any(Option::is_some)
    }

    /// Whether this router's address comes before those of all that are heard.
    pub fn is_lowest_address(&self, own: SocketAddr) -> bool {
        let mut heard = self.peers.iter().filter(|(_, lost)| lost.is_none());
        heard.all(|(address, _)| own < *address)
    }

    /// Routers that are heard, and those that are known; this one counts in both.
    pub fn counts(&self) -> (usize, usize) {
        let heard = self.peers.values().filter(|lost| lost.is_none()).count();
        (heard + 1, self.peers.len() + 1)
    }
}
