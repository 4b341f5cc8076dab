//! Follows the registrations of backend servers.

use {
    super::{Follower, RETURN_GRACE, WATCH_WAIT},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::fleet::{Member, Roster},
    tamarackdale_platform::{
        registration,
        store::{Change, Entry, Error},
    },
    tokio::time::sleep,
};

impl Follower {
    /// Reads the registrations and watches them; reads them again when the watch fails.
    pub(super) async fn follow_servers(&self) {
        let mut failures = 0;
        loop {
            let range = match self.store.range(registration::PREFIX).await {
                Ok(range) => range,
                Err(error) => {
                    self.lose("backend servers", &error);
                    failures += 1;
                    self.pause_after(failures).await;
                    continue;
                }
            };
            let mut roster = Roster::new();
            let known = self.publisher.roster.borrow().clone();
            for entry in &range.entries {
                register(&mut roster, entry, &known);
            }
            self.replace(roster);
            failures = 0;
            self.watch_servers(range.revision).await;
        }
    }

    /// Takes over a whole roster. Entries that are missing soon after the store was away may have
    /// lapsed meanwhile, so they are kept until they can be back.
    fn replace(&self, mut roster: Roster) {
        if self.is_in_doubt() {
            let known = self.publisher.roster.borrow().clone();
            for (id, member) in known.iter().filter(|(_, member)| !member.is_leaving) {
                roster.entry(id.clone()).or_insert_with(|| member.clone());
            }
        }
        self.publish(roster);
    }

    async fn watch_servers(&self, mut revision: u64) {
        let mut must_read_again = self.is_in_doubt();
        loop {
            let wait = self.doubt().unwrap_or(WATCH_WAIT);
            let changes = match self.store.watch(registration::PREFIX, revision, wait).await {
                Ok(changes) => changes,
                Err(error) => {
                    self.lose("backend servers", &error);
                    if !matches!(error, Error::Compacted) {
                        self.pause_after(1).await;
                    }
                    return;
                }
            };
            revision = changes.revision.max(revision);
            if !changes.changes.is_empty() {
                self.apply(&changes.changes);
                sleep(self.watch_pause()).await;
            }
            let is_in_doubt = self.is_in_doubt();
            if must_read_again && !is_in_doubt {
                return;
            }
            must_read_again |= is_in_doubt;
        }
    }

    /// Time for which a missing registration may still come back; none if the store has answered
    /// for long enough.
    fn doubt(&self) -> Option<Duration> {
        let since = self.trouble.borrow().map(|at| at.elapsed())?;
        let left = RETURN_GRACE.saturating_sub(since);
        (!left.is_zero()).then_some(left)
    }

    fn is_in_doubt(&self) -> bool {
        self.doubt().is_some()
    }

    fn apply(&self, changes: &[Change]) {
        let known = self.publisher.roster.borrow().clone();
        let mut roster = Roster::clone(&known);
        for change in changes {
            match change {
                Change::Put(entry) => register(&mut roster, entry, &known),
                Change::Removed { key, .. } => self.remove(&mut roster, key),
            }
        }
        self.publish(roster);
    }

    /// Takes out a backend server whose registration ended; while that may be the store's doing,
    /// it stays until the registrations are read again.
    fn remove(&self, roster: &mut Roster, key: &str) {
        let Some(id) = registration::id(key) else {
            return;
        };
        let is_leaving = roster.get(id).is_some_and(|member| member.is_leaving);
        if self.is_in_doubt() && !is_leaving {
            log::info!(backend_server = id; "registration lapsed while the store was away");
            return;
        }
        if let Some(member) = roster.remove(id) {
            log::info!(backend_server = id, service = member.service.as_str(); "backend server gone");
        }
    }

    fn publish(&self, roster: Roster) {
        if *self.publisher.roster.borrow().as_ref() != roster {
            self.publisher.roster.send_replace(Arc::new(roster));
        }
    }
}

fn register(roster: &mut Roster, entry: &Entry, known: &Roster) {
    match registration::decode(&entry.key, &entry.value) {
        Ok(member) => {
            note(known.get(&member.id), &member);
            roster.insert(member.id.clone(), member);
        }
        Err(error) => {
            log::warn!(key = entry.key.as_str(); "registration names no backend server: {error}");
            if let Some(id) = registration::id(&entry.key) {
                roster.remove(id);
            }
        }
    }
}

fn note(known: Option<&Member>, member: &Member) {
    let is_same = known
        .is_some_and(|known| known.is_leaving == member.is_leaving && known.born == member.born);
    if !is_same {
        log::info!(
            backend_server = member.id.as_str(),
            service = member.service.as_str(),
            leaving = member.is_leaving;
            "backend server registered"
        );
    }
}
