//! Reads and watches the registrations of backend servers.

use {
    super::{Follower, RECOVERY_TIME, WATCH_WAIT},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::fleet::{Member, Members},
    tamarackdale_platform::{
        registration,
        store::{Change, Entry, Error},
    },
    tokio::time::sleep,
};

impl Follower {
    /// Reads the registrations and watches them. Reads them again when the watch fails.
    pub(super) async fn follow_servers(&self) {
        let mut failures = 0;
        loop {
            let range = match self.store.range(registration::PREFIX).await {
                Ok(range) => range,
                Err(error) => {
                    self.record_store_error("backend servers", &error);
                    failures += 1;
                    self.pause_after(failures).await;
                    continue;
                }
            };
            let mut members = Members::new();
            let known = self.channels.members.borrow().clone();
            for entry in &range.entries {
                register(&mut members, entry, &known);
            }
            self.replace_members(members);
            failures = 0;
            self.watch_servers(range.revision).await;
        }
    }

    /// Replaces the known backend servers by those that were just read. Soon after an outage of the
    /// store, missing backend servers may have lost their registration only because of the outage,
    /// so they are kept until they have had the time to register again.
    fn replace_members(&self, mut members: Members) {
        if self.is_recovering() {
            let known = self.channels.members.borrow().clone();
            for (id, member) in known.iter().filter(|(_, member)| !member.is_leaving) {
                members.entry(id.clone()).or_insert_with(|| member.clone());
            }
        }
        self.publish(members);
    }

    async fn watch_servers(&self, mut revision: u64) {
        let mut must_read_again = self.is_recovering();
        loop {
            let wait = self.recovery_time_left().unwrap_or(WATCH_WAIT);
            let changes = match self.store.watch(registration::PREFIX, revision, wait).await {
                Ok(changes) => changes,
                Err(error) => {
                    self.record_store_error("backend servers", &error);
                    if !matches!(error, Error::Compacted) {
                        self.pause_after(1).await;
                    }
                    return;
                }
            };
            revision = changes.revision.max(revision);
            if !changes.changes.is_empty() {
                self.apply_changes(&changes.changes);
                sleep(self.watch_pause()).await;
            }
            let is_recovering = self.is_recovering();
            if must_read_again && !is_recovering {
                return;
            }
            must_read_again |= is_recovering;
        }
    }

    /// Time left, after an outage of the store, in which a missing backend server may register
    /// again. `None` if the last failed call is long enough ago.
    fn recovery_time_left(&self) -> Option<Duration> {
        let since = self.last_store_error.borrow().map(|at| at.elapsed())?;
        let left = RECOVERY_TIME.saturating_sub(since);
        (!left.is_zero()).then_some(left)
    }

    fn is_recovering(&self) -> bool {
        self.recovery_time_left().is_some()
    }

    fn apply_changes(&self, changes: &[Change]) {
        let known = self.channels.members.borrow().clone();
        let mut members = Members::clone(&known);
        for change in changes {
            match change {
                Change::Put(entry) => register(&mut members, entry, &known),
                Change::Removed { key, .. } => self.remove(&mut members, key),
            }
        }
        self.publish(members);
    }

    /// Removes a backend server whose registration ended. Soon after an outage of the store, which
    /// may be the reason, it is kept until the registrations are read again, unless it was leaving.
    fn remove(&self, members: &mut Members, key: &str) {
        let Some(id) = registration::id(key) else {
            return;
        };
        let is_leaving = members.get(id).is_some_and(|member| member.is_leaving);
        if self.is_recovering() && !is_leaving {
            log::info!(
                backend_server = id;
                "registration lapsed during a store outage; server kept"
            );
            return;
        }
        if let Some(member) = members.remove(id) {
            log::info!(
                backend_server = id,
                service = member.service.as_str();
                "backend server removed"
            );
        }
    }

    fn publish(&self, members: Members) {
        if *self.channels.members.borrow().as_ref() != members {
            self.channels.members.send_replace(Arc::new(members));
        }
    }
}

fn register(members: &mut Members, entry: &Entry, known: &Members) {
    match registration::decode(&entry.key, &entry.value) {
        Ok(member) => {
            log_registration(known.get(&member.id), &member);
            members.insert(member.id.clone(), member);
        }
        Err(error) => {
            log::warn!(
                key = entry.key.as_str();
                "skipping an invalid backend server registration: {error}"
            );
            if let Some(id) = registration::id(&entry.key) {
                members.remove(id);
            }
        }
    }
}

fn log_registration(known: Option<&Member>, member: &Member) {
    let is_same = known.is_some_and(|known| {
        known.is_leaving == member.is_leaving && known.started_at_ms == member.started_at_ms
    });
    if !is_same {
        log::info!(
            backend_server = member.id.as_str(),
            service = member.service.as_str(),
            leaving = member.is_leaving;
            "backend server registered"
        );
    }
}
