//! Recent changes under a prefix of the store, from which a reader answers watches.

use {
    crate::revision::Revision,
    std::collections::{HashMap, VecDeque},
};

/// Maximum number of changes that are kept. Registrations change with each start, drain and end of a
/// backend server; that of a whole large fleet fits in.
const MAX_CHANGES: usize = 8_192;

/// A change of one key. `T` is what is passed on, `M` what an entry means to its readers.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<T, M> {
    /// Key, unless it cannot be read.
    pub key: Option<String>,
    /// Meaning of the entry. `None` if it was removed or has none.
    pub meaning: Option<M>,
    /// What is passed on.
    pub item: T,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<T> {
    /// Changes since the revision that was asked for, and the revision from which to watch next. There
    /// may be none.
    Changes(Vec<T>, Revision),
    /// The changes since that revision are not kept.
    Compacted,
    /// The store was restored since, or the buffer has not seen the restoration yet.
    OtherEra(u64),
}

/// What was last written to a key.
#[derive(Debug)]
struct Latest<T, M> {
    meaning: M,
    /// The last change, unless it is in the buffer.
    withheld: Option<T>,
}

/// A bounded buffer of changes.
///
/// A write that means the same as the last one to its key, as a heartbeat does, is withheld. If the key is
/// then removed, the last write is passed on before the removal, since it may hold a higher sequence
/// number.
#[derive(Debug)]
pub struct ChangeBuffer<T, M> {
    era: u64,
    /// The changes after this revision are kept.
    start: u64,
    end: u64,
    /// Changes, each with the number of the last revision of those that arrived with it.
    changes: VecDeque<(u64, T)>,
    latest: HashMap<String, Latest<T, M>>,
}

impl<T: Clone, M: PartialEq> ChangeBuffer<T, M> {
    /// An empty buffer of the changes after `revision`. `entries` are what is known to lie in the store
    /// at that revision.
    pub fn new(revision: Revision, entries: impl IntoIterator<Item = (String, M)>) -> Self {
        let latest = entries.into_iter().map(|(key, meaning)| {
            let withheld = None;
            (key, Latest { meaning, withheld })
        });
        Self {
            era: revision.era,
            start: revision.number,
            end: revision.number,
            changes: VecDeque::new(),
            latest: latest.collect(),
        }
    }

    /// The revision of the last change, from which the next watch of the store begins.
    pub fn end(&self) -> Revision {
        Revision {
            era: self.era,
            number: self.end,
        }
    }

    /// Appends the changes that a watch of the store returned from [`Self::end`] to `revision`. Returns
    /// whether any of them is passed on.
    ///
    /// All of them get the number of the last revision: a router whose revision lies between them applies
    /// some of them again, which ends at the same state.
    pub fn append(
        &mut self,
        changes: impl IntoIterator<Item = Change<T, M>>,
        revision: Revision,
    ) -> bool {
        let before = self.changes.len();
        self.end = self.end.max(revision.number);
        for change in changes {
            self.push(change);
        }
        let has_news = self.changes.len() > before;
        while self.changes.len() > MAX_CHANGES {
            // The changes of one revision are dropped together.
            let Some((number, _)) = self.changes.pop_front() else {
                break;
            };
            self.start = number;
            while self
                .changes
                .front()
                .is_some_and(|(next, _)| *next == number)
            {
                self.changes.pop_front();
            }
        }
        has_news
    }

    fn push(&mut self, change: Change<T, M>) {
        let Change { key, meaning, item } = change;
        let number = self.end;
        let latest = key.as_ref().and_then(|key| self.latest.get_mut(key));
        match (key, meaning, latest) {
            (_, Some(meaning), Some(latest)) if latest.meaning == meaning => {
                latest.withheld = Some(item);
                return;
            }
            (Some(key), Some(meaning), _) => {
                let withheld = None;
                self.latest.insert(key, Latest { meaning, withheld });
            }
            (Some(key), None, _) => {
                let removed = self.latest.remove(&key);
                if let Some(withheld) = removed.and_then(|latest| latest.withheld) {
                    self.changes.push_back((number, withheld));
                }
            }
            (None, ..) => {}
        }
        self.changes.push_back((number, item));
    }

    /// The changes since a revision.
    pub fn since(&self, revision: Revision) -> Answer<T> {
        if revision.era != self.era {
            return Answer::OtherEra(self.era);
        }
        if revision.number < self.start {
            return Answer::Compacted;
        }
        let first = self
            .changes
            .partition_point(|(number, _)| *number <= revision.number);
        let changes = self.changes.range(first..);
        let changes = changes.map(|(_, item)| item.clone()).collect();
        Answer::Changes(changes, self.end().max(revision))
    }
}
