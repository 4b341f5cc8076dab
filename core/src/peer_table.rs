//! Table of a router's peers and whether each of them is reachable.

use {
    crate::time::Timestamp,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Time after which a peer that is unreachable and no longer registered is removed. By then the
/// window over which quotas are counted has passed since its last message.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(10);

/// Peers by address, each with the time since which it is unreachable, or `None` if reachable.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, Option<Timestamp>>,
}

impl PeerTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a peer, if it is not in the table, as unreachable; returns whether it was added.
    pub fn add(&mut self, address: SocketAddr, now: Timestamp) -> bool {
        let is_new = !self.peers.contains_key(&address);
        self.peers.entry(address).or_insert(Some(now));
        is_new
    }

    /// Records that messages arrive from a peer.
    pub fn mark_reachable(&mut self, address: SocketAddr) {
        self.peers.insert(address, None);
    }

    /// Records that messages no longer arrive from a peer.
    pub fn mark_unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        let unreachable_since = self.peers.entry(address).or_default();
        if unreachable_since.is_none() {
            *unreachable_since = Some(now);
        }
    }

    /// Removes a peer that has been unreachable for too long and is not registered; returns whether
    /// it was removed. A registered peer may reconnect at any time and is kept.
    pub fn remove_expired(
        &mut self,
        address: SocketAddr,
        is_registered: bool,
        now: Timestamp,
    ) -> bool {
        let unreachable_since = self.peers.get(&address).copied().flatten();
        let is_expired =
            unreachable_since.is_some_and(|since| now.since(since) > UNREACHABLE_RETENTION);
        if is_registered || !is_expired {
            return false;
        }
        self.peers.remove(&address);
        true
    }

    /// Whether any peer in the table is unreachable.
    pub fn has_unreachable(&self) -> bool {
        self.peers.values().any(Option::is_some)
    }

    /// Whether the address `own` of this router sorts before those of all reachable peers.
    pub fn is_lowest_address(&self, own: SocketAddr) -> bool {
        let mut reachable = self.peers.iter().filter(|(_, since)| since.is_none());
        reachable.all(|(address, _)| own < *address)
    }

    /// Number of reachable routers and number of all routers in the table, both including this one.
    pub fn counts(&self) -> (usize, usize) {
        let reachable = self.peers.values().filter(|since| since.is_none()).count();
        (reachable + 1, self.peers.len() + 1)
    }
}
