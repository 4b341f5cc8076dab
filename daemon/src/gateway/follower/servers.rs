//! Reads and watches the registrations of backend servers.

use {
    super::{Follower, RECOVERY_TIME, WATCH_WAIT, rejections::Rejections},
    crate::clock::Clock,
    std::{
        collections::HashSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tamarackdale_core::{
        fleet::Member,
        revision::Revision,
        server_table::{Outcome, ServerTable},
    },
    tamarackdale_platform::{
        registration,
        store::{Change, Entry, Error, Unreadable},
    },
    tokio::time::sleep,
};

/// What the log calls an entry.
const WHAT: &str = "backend server registration";

impl Follower {
    /// Reads the registrations and watches them. Reads them again when the watch fails.
    pub(super) async fn follow_servers(&self) {
        let clock = Clock::new();
        let mut table = ServerTable::new();
        let mut rejections = Rejections::new();
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
            let era = range.revision.era;
            let ids = range.entries.iter();
            let present: HashSet<&str> = ids
                .filter_map(|entry| registration::id(&entry.key))
                .collect();
            // Soon after an outage or a restoration of the store, a missing backend server may have
            // lost its registration only because of that. It is kept until it has had the time to
            // register again.
            for member in table.retain(&present, self.is_recovering(), era, clock.now()) {
                log_removal(&member);
            }
            for entry in &range.entries {
                register(&mut table, entry, &mut rejections, &clock);
            }
            for item in &range.unreadable {
                reject(&mut table, item, era, &mut rejections, &clock);
            }
            self.publish(&table);
            failures = 0;
            self.watch_servers(&mut table, range.revision, &mut rejections, &clock)
                .await;
        }
    }

    async fn watch_servers(
        &self,
        table: &mut ServerTable,
        mut revision: Revision,
        rejections: &mut Rejections,
        clock: &Clock,
    ) {
        let mut must_read_again = self.is_recovering();
        loop {
            let wait = self.recovery_time_left().unwrap_or(WATCH_WAIT);
            let changes = match self.store.watch(registration::PREFIX, revision, wait).await {
                Ok(changes) => changes,
                Err(error) => {
                    self.record_store_error("backend servers", &error);
                    if matches!(error, Error::Restored) {
                        self.record_restoration();
                    } else if !matches!(error, Error::Compacted) {
                        self.pause_after(1).await;
                    }
                    return;
                }
            };
            revision = changes.revision.max(revision);
            if !changes.changes.is_empty() {
                for change in &changes.changes {
                    match change {
                        Change::Put(entry) => register(table, entry, rejections, clock),
                        Change::Unreadable(item) => {
                            reject(table, item, changes.revision.era, rejections, clock);
                        }
                        Change::Removed { key, revision } => {
                            self.remove(table, key, revision.era, clock);
                        }
                    }
                }
                self.publish(table);
                sleep(self.watch_pause()).await;
            }
            let is_recovering = self.is_recovering();
            if must_read_again && !is_recovering {
                return;
            }
            must_read_again |= is_recovering;
        }
    }

    /// Time left, after an outage or a restoration of the store, in which a missing backend server
    /// may register again. `None` if the last failed call is long enough ago.
    fn recovery_time_left(&self) -> Option<Duration> {
        let since = self.last_store_error.borrow().map(|at| at.elapsed())?;
        let left = RECOVERY_TIME.saturating_sub(since);
        (!left.is_zero()).then_some(left)
    }

    fn is_recovering(&self) -> bool {
        self.recovery_time_left().is_some()
    }

    /// Treats a restoration of the store like an outage that ends now.
    fn record_restoration(&self) {
        self.last_store_error.send_replace(Some(Instant::now()));
    }

    /// Removes a backend server whose registration ended. Soon after an outage of the store, which
    /// may be the reason, it is kept until the registrations are read again, unless it was leaving.
    fn remove(&self, table: &mut ServerTable, key: &str, era: u64, clock: &Clock) {
        let Some(id) = registration::id(key) else {
            return;
        };
        let is_leaving = table
            .members()
            .get(id)
            .is_some_and(|member| member.is_leaving);
        if self.is_recovering() && !is_leaving {
            log::info!(
                backend_server = id;
                "registration lapsed during a store outage; server kept"
            );
            return;
        }
        discard(table, id, era, clock);
    }

    fn publish(&self, table: &ServerTable) {
        if *self.channels.members.borrow().as_ref() != *table.members() {
            self.channels
                .members
                .send_replace(Arc::new(table.members().clone()));
        }
    }
}

fn register(table: &mut ServerTable, entry: &Entry, rejections: &mut Rejections, clock: &Clock) {
    let era = entry.revision.era;
    let registration = match registration::decode(&entry.key, &entry.value) {
        Ok(registration) => registration,
        Err(error) => {
            rejections.log(WHAT, &entry.key, error);
            if let Some(id) = registration::id(&entry.key) {
                discard(table, id, era, clock);
            }
            return;
        }
    };
    let member = registration.member.clone();
    let known = table.members().get(&member.id).cloned();
    match table.register(registration, era, clock.now()) {
        Outcome::Applied => log_registration(known.as_ref(), &member),
        Outcome::Outdated => log::info!(
            backend_server = member.id.as_str(),
            era;
            "registration ignored: it is older than the server's departure"
        ),
    }
}

/// Removes the backend server whose entry cannot be read any more.
fn reject(
    table: &mut ServerTable,
    item: &Unreadable,
    era: u64,
    rejections: &mut Rejections,
    clock: &Clock,
) {
    rejections.log_unreadable(WHAT, item);
    if let Some(id) = item.key.as_deref().and_then(registration::id) {
        discard(table, id, era, clock);
    }
}

/// Removes a backend server, if it is in the table.
fn discard(table: &mut ServerTable, id: &str, era: u64, clock: &Clock) {
    if let Some(member) = table.remove(id, era, clock.now()) {
        log_removal(&member);
    }
}

fn log_removal(member: &Member) {
    log::info!(
        backend_server = member.id.as_str(),
        service = member.service.as_str();
        "backend server removed"
    );
}

fn log_registration(known: Option<&Member>, member: &Member) {
    let is_same = known.is_some_and(|known| {
        known.is_leaving == member.is_leaving
            && known.started_at_ms == member.started_at_ms
            && known.version == member.version
    });
    if !is_same {
        log::info!(
            backend_server = member.id.as_str(),
            service = member.service.as_str(),
            software_version = member.version.as_str(),
            leaving = member.is_leaving;
            "backend server registered"
        );
    }
}
