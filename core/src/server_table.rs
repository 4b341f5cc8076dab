//! Table of the registered backend servers, as read and watched in the platform's store.
//!
//! After the store was restored from an older copy, its entries may be of a time before what is
//! already known: a server that had begun to leave, or had left, is then registered as ready again.
//! Such an entry is recognised by its sequence number, which a server increases with each write.

use {
    crate::{
        fleet::{Member, Members},
        outage::{Grace, Missing},
        time::Timestamp,
    },
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Time for which a departure is remembered. The copies that a store is restored from are some
/// seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// A registration as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The backend server.
    pub member: Member,
    /// Number of the write by this start of the server, if it states one.
    pub sequence: Option<u64>,
}

/// What a registration means for the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The registration is in the table.
    Applied,
    /// It is of a time before what is known, and was ignored.
    Outdated,
}

/// What was last known of a server that is leaving or gone.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started_at_ms: u64,
    sequence: Option<u64>,
    /// Era of the store in which it was known to leave.
    era: u64,
    /// When it was known to leave.
    at: Timestamp,
}

/// The registered backend servers, and those that are known to have left.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    members: Members,
    sequences: HashMap<String, Option<u64>>,
    departures: HashMap<String, Departure>,
    /// Servers that are kept though their registration is missing.
    missing: Missing<String>,
}

impl ServerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The registered backend servers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Applies a registration that was read in an era of the store.
    pub fn register(&mut self, registration: Registration, era: u64, now: Timestamp) -> Outcome {
        let Registration { member, sequence } = registration;
        let departure = self.departures.get(&member.id);
        if departure.is_some_and(|departure| departure.contradicts(&member, sequence, era)) {
            return Outcome::Outdated;
        }
        let departure = Departure {
            started_at_ms: member.started_at_ms,
            sequence,
            era,
            at: now,
        };
        match member.is_leaving {
            true => self.departures.insert(member.id.clone(), departure),
            false => self.departures.remove(&member.id),
        };
        self.sequences.insert(member.id.clone(), sequence);
        self.missing.remove(&member.id);
        self.members.insert(member.id.clone(), member);
        Outcome::Applied
    }

    /// Removes a server whose registration ended in an era of the store. Returns it if it was
    /// registered.
    pub fn remove(&mut self, id: &str, era: u64, now: Timestamp) -> Option<Member> {
        self.departures
            .retain(|_, departure| now.since(departure.at) < DEPARTURE_RETENTION);
        let member = self.members.remove(id)?;
        self.missing.remove(id);
        let departure = Departure {
            started_at_ms: member.started_at_ms,
            sequence: self.sequences.remove(id).flatten(),
            era,
            at: now,
        };
        self.departures.insert(id.to_owned(), departure);
        Some(member)
    }

    /// Records that the registration of a server is missing. Removes the server, unless `grace` is left for
    /// it and it is not leaving. Returns it if it was removed.
    pub fn lapse(
        &mut self,
        id: &str,
        grace: Option<Grace>,
        era: u64,
        now: Timestamp,
    ) -> Option<Member> {
        let member = self.members.get(id)?;
        let Some(grace) = grace.filter(|_| !member.is_leaving) else {
            return self.remove(id, era, now);
        };
        match self.missing.is_excused(id.to_owned(), grace) {
            true => None,
            false => self.remove(id, era, now),
        }
    }

    /// Applies [`Self::lapse`] to all servers that are not in `present`, after all registrations were read
    /// in an era of the store. Returns those that were removed.
    pub fn retain(
        &mut self,
        present: &HashSet<&str>,
        grace: Option<Grace>,
        era: u64,
        now: Timestamp,
    ) -> Vec<Member> {
        let ids = self.members.keys();
        let absent: Vec<String> = ids
            .filter(|id| !present.contains(id.as_str()))
            .cloned()
            .collect();
        absent
            .iter()
            .filter_map(|id| self.lapse(id, grace, era, now))
            .collect()
    }

    /// Identifiers of the servers that are kept though their registration is missing.
    pub fn missing(&self) -> impl Iterator<Item = &str> {
        self.missing.keys().map(String::as_str)
    }

    /// Whether a server whose registration is missing has used up its grace. It is removed when the
    /// registrations are read again.
    pub fn has_overdue(&self, grace: Grace) -> bool {
        self.missing.has_overdue(grace)
    }
}

impl Departure {
    /// Whether a registration that was read in `era` is of a time before the departure. Without
    /// sequence numbers to compare, an entry of a restored store counts as such.
    fn contradicts(&self, member: &Member, sequence: Option<u64>, era: u64) -> bool {
        let is_not_newer = match (sequence, self.sequence) {
            (Some(sequence), Some(known)) => sequence <= known,
            _ => true,
        };
        era > self.era && member.started_at_ms == self.started_at_ms && is_not_newer
    }
}
