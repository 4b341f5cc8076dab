//! What a followed instance has, against what this process has.

use {std::collections::HashMap, tamarackdale_wire::Digest};

/// The revisions that a followed instance has told, and which of ours are newer.
#[derive(Debug, Default)]
pub struct PeerRevisions {
    theirs: HashMap<String, i64>,
    /// Revisions of ours that were newer at the last look.
    newer: HashMap<String, i64>,
    /// Revisions of ours that were offered.
    offered: HashMap<String, i64>,
}

impl PeerRevisions {
    /// Takes in a digest.
    pub fn update(&mut self, digest: &Digest) {
        for held in &digest.documents {
            self.theirs.insert(held.service.clone(), held.revision);
        }
    }

    /// The services of which the other instance has still not learnt a revision that was newer
    /// at the last look already. Each revision is named once.
    pub fn services_to_push<'a>(
        &mut self,
        ours: impl Iterator<Item = (&'a str, i64)>,
    ) -> Vec<String> {
        let before = std::mem::take(&mut self.newer);
        let mut overdue = Vec::new();
        for (service, revision) in ours {
            if self
                .theirs
                .get(service)
                .is_some_and(|theirs| *theirs >= revision)
            {
                continue;
            }
            self.newer.insert(service.to_owned(), revision);
            let is_offered = self.offered.get(service) == Some(&revision);
            if before.contains_key(service) && !is_offered {
                self.offered.insert(service.to_owned(), revision);
                overdue.push(service.to_owned());
            }
        }
        overdue
    }
}
