//! Keys, revisions and leases of the store.

use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
    time::{Duration, Instant},
};

/// Present state of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its creation.
    pub create_revision: i64,
    /// Revision of its last write.
    pub mod_revision: i64,
    /// Lease it hangs on; 0 for none.
    pub lease: i64,
}

/// One write or deletion of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Revision, shared by all writes of one transaction.
    pub revision: i64,
    /// Key.
    pub key: Vec<u8>,
    /// Value; `None` for a deletion.
    pub value: Option<Vec<u8>>,
    /// When it took effect.
    pub at: Instant,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// The store's content. Revisions begin at 1, which an empty store has.
#[derive(Clone)]
pub(super) struct State {
    revision: i64,
    records: BTreeMap<Vec<u8>, Record>,
    history: Vec<Write>,
    leases: HashMap<i64, Lease>,
    last_lease: i64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            revision: 1,
            records: BTreeMap::new(),
            history: Vec::new(),
            leases: HashMap::new(),
            last_lease: 0,
        }
    }
}

impl State {
    pub fn revision(&self) -> i64 {
        self.revision
    }

    pub fn history(&self) -> &[Write] {
        &self.history
    }

    pub fn record(&self, key: &[u8]) -> Option<&Record> {
        self.records.get(key)
    }

    /// A key as it was at a past revision. Its creation and lease are not told.
    pub fn record_at(&self, key: &[u8], revision: i64) -> Option<Record> {
        let write = self
            .history
            .iter()
            .rfind(|write| write.key == key && write.revision <= revision)?;
        Some(Record {
            value: write.value.clone()?,
            create_revision: 0,
            mod_revision: write.revision,
            lease: 0,
        })
    }

    /// Writes one key at a revision of its own.
    pub fn put(&mut self, key: &[u8], value: &[u8]) -> i64 {
        self.put_at(self.revision + 1, key, value, 0)
    }

    /// Writes one key as part of the call that makes `revision`.
    pub fn put_at(&mut self, revision: i64, key: &[u8], value: &[u8], lease: i64) -> i64 {
        self.revision = revision;
        let create_revision = self
            .records
            .get(key)
            .map_or(revision, |record| record.create_revision);
        let record = Record {
            value: value.to_vec(),
            create_revision,
            mod_revision: revision,
            lease,
        };
        self.records.insert(key.to_vec(), record);
        self.record_write(revision, key, Some(value.to_vec()));
        revision
    }

    /// Deletes a range as part of the call that makes `revision`; returns the number of keys.
    pub fn delete_at(&mut self, revision: i64, key: &[u8], end: &[u8]) -> usize {
        let keys: Vec<Vec<u8>> = self.range(key, end).map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.revision = revision;
            self.records.remove(key);
            self.record_write(revision, key, None);
        }
        keys.len()
    }

    /// The records from `key` up to `end`; an empty end means that key alone, a zero byte all.
    pub fn range<'a>(
        &'a self,
        key: &'a [u8],
        end: &'a [u8],
    ) -> impl Iterator<Item = (&'a Vec<u8>, &'a Record)> {
        let upper = match end {
            [] => Bound::Included(key),
            [0] => Bound::Unbounded,
            end => Bound::Excluded(end),
        };
        let is_empty = !end.is_empty() && end != [0] && end <= key;
        let upper = if is_empty {
            Bound::Included(key)
        } else {
            upper
        };
        self.records
            .range::<[u8], _>((Bound::Included(key), upper))
            .filter(move |_| !is_empty)
    }

    pub fn grant(&mut self, ttl: Duration, now: Instant) -> i64 {
        self.last_lease += 1;
        let lease = Lease {
            ttl,
            expires: now + ttl,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease; its time to live, or `None` if it has lapsed.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    pub fn has_lease(&self, id: i64) -> bool {
        id == 0 || self.leases.contains_key(&id)
    }

    /// Ends a lease and deletes its keys; whether there was one.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<Vec<u8>> = self
            .records
            .iter()
            .filter(|(_, record)| record.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        let revision = self.revision + 1;
        for key in keys {
            self.delete_at(revision, &key, &[]);
        }
        true
    }

    /// Ends the leases that have lapsed.
    pub fn expire(&mut self, now: Instant) {
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.revoke(id);
        }
    }

    fn record_write(&mut self, revision: i64, key: &[u8], value: Option<Vec<u8>>) {
        self.history.push(Write {
            revision,
            key: key.to_vec(),
            value,
            at: Instant::now(),
        });
    }
}
