//! Table of a router's peers: their data centres, and whether each of them is reachable.

use {
    crate::{cell::Layout, rendezvous, time::Timestamp},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Time after which a peer that is unreachable and no longer registered is removed. By then the
/// window over which quotas are counted has passed since its last message.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Peer {
    /// Since when it is unreachable, or `None` if it is reachable.
    unreachable_since: Option<Timestamp>,
    /// Its data centre, once it has been heard from.
    data_centre: Option<String>,
}

/// Peers by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, Peer>,
}

impl PeerTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a peer, if it is not in the table, as unreachable; returns whether it was added.
    pub fn add(&mut self, address: SocketAddr, now: Timestamp) -> bool {
        let is_new = !self.peers.contains_key(&address);
        self.peers.entry(address).or_insert(Peer {
            unreachable_since: Some(now),
            data_centre: None,
        });
        is_new
    }

    /// Whether a peer is in the table.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// Records that messages arrive from a peer.
    pub fn mark_reachable(&mut self, address: SocketAddr, data_centre: &str) {
        let peer = Peer {
            unreachable_since: None,
            data_centre: Some(data_centre.to_owned()),
        };
        self.peers.insert(address, peer);
    }

    /// Records that messages no longer arrive from a peer.
    pub fn mark_unreachable(&mut self, address: SocketAddr, now: Timestamp) {
        let peer = self.peers.entry(address).or_insert(Peer {
            unreachable_since: None,
            data_centre: None,
        });
        peer.unreachable_since.get_or_insert(now);
    }

    /// Removes a peer that has been unreachable for too long and is not registered; returns whether
    /// it was removed. A registered peer may reconnect at any time and is kept.
    pub fn remove_expired(
        &mut self,
        address: SocketAddr,
        is_registered: bool,
        now: Timestamp,
    ) -> bool {
        let peer = self.peers.get(&address);
        let unreachable_since = peer.and_then(|peer| peer.unreachable_since);
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
        let mut peers = self.peers.values();
        peers.any(|peer| peer.unreachable_since.is_some())
    }

    /// Whether the address `own` of this router sorts before those of all reachable peers.
    pub fn is_lowest_address(&self, own: SocketAddr) -> bool {
        let mut peers = self.peers.iter();
        peers.all(|(address, peer)| peer.unreachable_since.is_some() || own < *address)
    }

    /// The router among the reachable ones, of which `own` is this one, that all of them choose for
    /// `key`.
    pub fn keeper(&self, key: &str, own: SocketAddr) -> SocketAddr {
        let peers = self.peers.iter();
        let reachable = peers.filter(|(_, peer)| peer.unreachable_since.is_none());
        let addresses = reachable.map(|(address, _)| *address).chain([own]);
        let named: Vec<_> = addresses
            .map(|address| (address.to_string(), address))
            .collect();
        let chosen = rendezvous::choose(key, &named, |(name, _)| name.as_str(), 1);
        chosen.first().map_or(own, |(_, address)| *address)
    }

    /// The router that reads the store for the data centre of this one, which all routers there choose
    /// alike among those that are reachable. `None` if there is no other router.
    pub fn reader(&self, data_centre: &str, own: SocketAddr) -> Option<SocketAddr> {
        let peers = self.peers.iter();
        let near = peers.filter(|(_, peer)| {
            peer.unreachable_since.is_none() && peer.data_centre.as_deref() == Some(data_centre)
        });
        let mut named: Vec<_> = near
            .map(|(address, _)| (address.to_string(), *address))
            .collect();
        if named.is_empty() {
            return None;
        }
        named.push((own.to_string(), own));
        let chosen = rendezvous::choose(data_centre, &named, |(name, _)| name.as_str(), 1);
        chosen.first().map(|(_, address)| *address)
    }

    /// Number of reachable routers and number of all routers in the table, both including this one.
    pub fn counts(&self) -> (usize, usize) {
        (self.reachable().count() + 1, self.peers.len() + 1)
    }

    /// Reachable peers inside and outside the data centre of this router.
    pub fn layout(&self, data_centre: &str) -> Layout {
        let is_same = |peer: &&Peer| peer.data_centre.as_deref() == Some(data_centre);
        let same_data_centre = self.reachable().filter(is_same).count();
        Layout {
            same_data_centre,
            other_data_centres: self.reachable().count() - same_data_centre,
        }
    }

    fn reachable(&self) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(|peer| peer.unreachable_since.is_none())
    }
}
