//! Compares the document revisions of a peer with those of this process.

use {std::collections::HashMap, tamarackdale_wire::Digest};

/// The revisions that a peer has reported, and the local revisions that are newer.
#[derive(Debug, Default)]
pub struct PeerRevisions {
    reported: HashMap<String, i64>,
    /// Local revisions that were newer at the previous comparison.
    newer: HashMap<String, i64>,
    /// Local revisions that have been pushed to the peer.
    pushed: HashMap<String, i64>,
}

impl PeerRevisions {
    /// Records the revisions in a digest from the peer.
    pub fn update(&mut self, digest: &Digest) {
        for held in &digest.documents {
            self.reported.insert(held.service.clone(), held.revision);
        }
    }

    /// Returns the services whose local revision was newer than the peer's at the previous call
    /// and still is. Each revision is returned only once.
    ///
    /// The delay of one call gives the peer time to get the revision from the store or from
    /// another instance.
    pub fn services_to_push<'a>(
        &mut self,
        local: impl Iterator<Item = (&'a str, i64)>,
    ) -> Vec<String> {
        let previously_newer = std::mem::take(&mut self.newer);
        let mut services = Vec::new();
        for (service, revision) in local {
            if self
                .reported
                .get(service)
                .is_some_and(|reported| *reported >= revision)
            {
                continue;
            }
            self.newer.insert(service.to_owned(), revision);
            let is_pushed = self.pushed.get(service) == Some(&revision);
            if previously_newer.contains_key(service) && !is_pushed {
                self.pushed.insert(service.to_owned(), revision);
                services.push(service.to_owned());
            }
        }
        services
    }
}
