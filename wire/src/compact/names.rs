//! Tables of names: that of a sender, and those that a reader keeps of its peers.

use {
    super::{Error, primitive::Input},
    crate::summary::Frame,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Most names in a table: 2,600 servers and 4,400 organisations, and as many again of servers that have
/// been restarted under other identifiers. A sender begins a new table when its own is full.
pub const MAX_NAMES: usize = 16_384;

/// Longest name, in bytes. A summary with a longer one is sent in the former form.
pub const MAX_NAME_BYTES: usize = 255;

/// Names that a sender uses towards one group of peers, numbered in the order of their first use.
#[derive(Debug, Default)]
pub struct NameTable {
    names: Vec<Arc<str>>,
    numbers: HashMap<Arc<str>, u64>,
    generation: u64,
    /// Number of names that were sent in messages of changes.
    announced: usize,
}

impl NameTable {
    /// A table without names.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no name.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Number of times that the table was begun anew. A peer must get a message with the whole table
    /// before one with changes of another generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Adds the names that a message needs, in an empty table if there is no room for them. Returns
    /// whether all of them are in the table.
    pub(super) fn add_names_of(&mut self, frame: &Frame) -> bool {
        if names_of(frame).any(|name| name.len() > MAX_NAME_BYTES) {
            return false;
        }
        if self.try_add_names_of(frame) {
            return true;
        }
        self.names.clear();
        self.numbers.clear();
        self.announced = 0;
        self.generation += 1;
        self.try_add_names_of(frame)
    }

    fn try_add_names_of(&mut self, frame: &Frame) -> bool {
        names_of(frame).all(|name| self.try_add(name))
    }

    fn try_add(&mut self, name: &str) -> bool {
        if self.numbers.contains_key(name) {
            return true;
        }
        if self.names.len() >= MAX_NAMES {
            return false;
        }
        let name: Arc<str> = name.into();
        self.numbers.insert(name.clone(), self.names.len() as u64);
        self.names.push(name);
        true
    }

    pub(super) fn announced(&self) -> usize {
        self.announced
    }

    pub(super) fn announce_all(&mut self) {
        self.announced = self.names.len();
    }

    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.numbers.get(name).copied()
    }

    pub(super) fn names_from(&self, first: usize) -> &[Arc<str>] {
        self.names.get(first..).unwrap_or_default()
    }
}

fn names_of(frame: &Frame) -> impl Iterator<Item = &str> {
    let servers = frame.entries.iter().map(|entry| entry.id.as_str());
    let organisations = frame.usages.iter().map(|usage| usage.organisation.as_str());
    let waits = frame.waits.iter().map(|(service, ..)| service.as_str());
    let floors = frame.floors.iter().map(|(service, ..)| service.as_str());
    servers.chain(organisations).chain(waits).chain(floors)
}

/// Names that the readers of all peers share, so that each is in memory once.
#[derive(Debug, Default)]
pub struct Pool(Mutex<PoolNames>);

#[derive(Debug, Default)]
struct PoolNames {
    names: HashSet<Arc<str>>,
    /// Number of names at which those that no reader uses are removed.
    prune_at: usize,
}

impl Pool {
    /// A pool without names.
    pub fn new() -> Self {
        Self::default()
    }

    fn get(&self, name: &str) -> Arc<str> {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = pool.names.get(name) {
            return known.clone();
        }
        if pool.names.len() >= pool.prune_at {
            pool.names.retain(|name| Arc::strong_count(name) > 1);
            pool.prune_at = (pool.names.len() * 2).max(MAX_NAMES);
        }
        let name: Arc<str> = name.into();
        pool.names.insert(name.clone());
        name
    }
}

/// Names of one peer by number.
#[derive(Debug, Default)]
pub(super) struct PeerNames {
    names: Vec<Arc<str>>,
    bytes: usize,
}

impl PeerNames {
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Length of all names together.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn get(&self, number: u64) -> Option<&str> {
        let name = self.names.get(usize::try_from(number).ok()?)?;
        Some(name)
    }

    /// Adds the names of a message. Names that are known already are repeated if the first message of
    /// the stream was made after them; they must be the same.
    pub fn read(&mut self, input: &mut Input<'_>, pool: &Pool) -> Result<(), Error> {
        let first = usize::try_from(input.varint()?).map_err(|_| Error::Invalid)?;
        let count = input.count(1)?;
        if first > self.names.len() {
            return Err(Error::UnknownName);
        }
        if first + count > MAX_NAMES {
            return Err(Error::Invalid);
        }
        for number in first..first + count {
            let name = input.text(MAX_NAME_BYTES)?;
            match self.names.get(number) {
                Some(known) if **known != *name => return Err(Error::UnknownName),
                Some(_) => {}
                None => {
                    self.bytes += name.len();
                    self.names.push(pool.get(name));
                }
            }
        }
        Ok(())
    }
}
