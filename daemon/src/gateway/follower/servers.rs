//! Reads and watches the registrations of backend servers.

use {
    super::{Follower, WATCH_WAIT, rejections::Rejections},
    crate::clock::Clock,
    std::{collections::HashSet, sync::Arc, time::Duration},
    tamarackdale_core::{
        fleet::Member,
        revision::Revision,
        server_table::{Outcome, ServerTable},
    },
    tamarackdale_platform::{
        registration,
        store::{Change, Changes, Entry, Error, Range, Unreadable},
    },
    tokio::time::sleep,
};

/// What the log calls an entry.
const WHAT: &str = "backend server registration";

/// Watches in a row that ended without a response, after which the registrations are read again: what cuts
/// watches may never let one through.
const MAX_LOST_WATCHES: u32 = 3;

/// What is known of the backend servers, and the calls that tell it.
struct Registry {
    table: ServerTable,
    rejections: Rejections,
    /// Watches in a row that ended without a response.
    lost_watches: u32,
}

impl Follower {
    /// Reads the registrations and watches them. Reads them again when the watch fails.
    pub(super) async fn follow_servers(&self) {
        let mut registry = Registry {
            table: ServerTable::new(),
            rejections: Rejections::new(),
            lost_watches: 0,
        };
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
            failures = 0;
            self.record_store_success();
            self.channels.reader.record_range(&range);
            self.apply_range(&mut registry, &range);
            self.watch_servers(&mut registry, range.revision).await;
        }
    }

    fn apply_range(&self, registry: &mut Registry, range: &Range) {
        let Registry {
            table, rejections, ..
        } = registry;
        let era = range.revision.era;
        let ids = range.entries.iter();
        let present: HashSet<&str> = ids
            .filter_map(|entry| registration::id(&entry.key))
            .collect();
        // Soon after an outage or a restoration of the store, a missing backend server may have lost its
        // registration only because of that. It is kept until it has had the time to register again.
        let now = self.clock.now();
        let grace = self.outage().grace(now);
        for member in table.retain(&present, grace, era, now) {
            log_removal(&member);
        }
        for entry in &range.entries {
            register(table, entry, rejections, &self.clock);
        }
        for item in &range.unreadable {
            reject(table, item, era, rejections, &self.clock);
        }
        log_missing(table);
        self.publish(table);
    }

    async fn watch_servers(&self, registry: &mut Registry, mut revision: Revision) {
        let mut must_read_again = self.is_recovering();
        loop {
            let wait = self.recovery_time_left().unwrap_or(WATCH_WAIT);
            let watched = match self.watch_servers_from(revision, wait).await {
                Ok(watched) => watched,
                Err(Error::WatchLost(reason)) => {
                    registry.lost_watches += 1;
                    let lost_watches = registry.lost_watches;
                    log::info!(lost_watches; "watch of the backend servers lost: {reason}");
                    self.pause_after(lost_watches).await;
                    must_read_again |= self.is_recovering();
                    match lost_watches % MAX_LOST_WATCHES {
                        0 => return,
                        _ => continue,
                    }
                }
                Err(error) => {
                    self.record_store_error("backend servers", &error);
                    if matches!(error, Error::Restored) {
                        // Registrations may be missing, as after an outage that ends now.
                        self.lock_outage().record_restoration(self.clock.now());
                    } else if !matches!(error, Error::Compacted) {
                        self.pause_after(1).await;
                    }
                    return;
                }
            };
            let changes = &watched.changes;
            registry.lost_watches = 0;
            // What the reader has passed on may be of a time before an outage.
            if !watched.is_relayed {
                self.record_store_success();
            }
            self.channels.reader.record_changes(changes);
            revision = changes.revision.max(revision);
            if !changes.changes.is_empty() {
                self.apply_changes(registry, changes);
                if !watched.is_relayed {
                    sleep(self.watch_pause()).await;
                }
            }
            let now = self.clock.now();
            let grace = self.outage().grace(now);
            let is_overdue = grace.is_none_or(|grace| registry.table.has_overdue(grace));
            if must_read_again && is_overdue {
                return;
            }
            must_read_again |= grace.is_some();
        }
    }

    fn apply_changes(&self, registry: &mut Registry, changes: &Changes) {
        let Registry {
            table, rejections, ..
        } = registry;
        for change in &changes.changes {
            match change {
                Change::Put(entry) => register(table, entry, rejections, &self.clock),
                Change::Unreadable(item) => {
                    reject(table, item, changes.revision.era, rejections, &self.clock);
                }
                Change::Removed { key, revision } => self.lapse(table, key, revision.era),
            }
        }
        self.publish(table);
    }

    /// Time left, after an outage or a restoration of the store, in which a missing backend server
    /// may register again. `None` if there is none.
    fn recovery_time_left(&self) -> Option<Duration> {
        self.outage().recovery_time_left(self.clock.now())
    }

    fn is_recovering(&self) -> bool {
        self.recovery_time_left().is_some()
    }

    /// Removes a backend server whose registration ended. Soon after an outage of the store, which
    /// may be the reason, it is kept until the registrations are read again, unless it was leaving.
    fn lapse(&self, table: &mut ServerTable, key: &str, era: u64) {
        let Some(id) = registration::id(key) else {
            return;
        };
        let now = self.clock.now();
        match table.lapse(id, self.outage().grace(now), era, now) {
            Some(member) => log_removal(&member),
            None if table.members().contains_key(id) => log::info!(
                backend_server = id;
                "registration lapsed during a store outage; server kept"
            ),
            None => {}
        }
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

/// Logs the servers that are kept though their registration was not among those that were read.
fn log_missing(table: &ServerTable) {
    for id in table.missing() {
        log::info!(
            backend_server = id;
            "registration missing soon after a store outage; server kept"
        );
    }
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
