//! Detects parts of prompts that crash backend servers.
//!
//! Requests with such a part crash one server after the other, with all that runs there, and the
//! health of servers cannot tell: each of them is sound. A crash of this kind shows as a stream that
//! breaks after its response head and before its first event. Of the parts of its prompt, the one
//! whose requests were last answered the longest ago is blamed: sound requests share the others, and
//! none with the deadly part is answered. A part is quarantined after a few such crashes without an
//! answer in between.
//!
//! Routers tell each other what they observe, since the requests may arrive at any of them.

use {
    crate::{rendezvous, time::Timestamp},
    std::{collections::HashMap, time::Duration},
};

/// Crashes without an answer in between after which a part is quarantined. Two may be a coincidence
/// while several servers fail; the platform asks that its sixth crash is among the last.
const QUARANTINE_THRESHOLD: usize = 3;

/// Time from the last crash to the end of the quarantine, after which the part may crash as many
/// servers again. A server needs some seconds to return.
const QUARANTINE: Duration = Duration::from_secs(300);

/// Breaks at the same server within this time are one crash, and a repeated notice of a crash is
/// not another. Less than a server needs to return.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// Most parts of which crashes are remembered, and most of which answers are; bounds the memory.
const MAX_PARTS: usize = 4_000;

/// Time for which the answer to a request with a part is remembered. Long enough for a part of which
/// a single router gets a request every few seconds.
const ANSWER_MEMORY: Duration = Duration::from_secs(60);

/// What was observed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The stream broke between its response head and its first event. Holds the hash of the
    /// backend server's identifier.
    Crash {
        /// Hash of the backend server's identifier.
        server: u64,
    },
    /// The answer began.
    Answer,
}

/// An observation, as routers tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Identifiers of the shared parts of the prompt; of an answer, those that were blamed before.
    pub parts: Vec<u64>,
    /// What was observed.
    pub outcome: Outcome,
    /// When it was observed, on the clock of the process that holds the notice.
    pub at: Timestamp,
}

/// A part whose requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Identifier of the part.
    pub part: u64,
    /// Crashes without an answer in between.
    pub crashes: usize,
    /// When requests with the part are accepted again, unless there are more crashes.
    pub until: Timestamp,
}

#[derive(Debug)]
struct Crash {
    server: u64,
    at: Timestamp,
}

/// Observations of one process and of its peers.
#[derive(Debug, Default)]
pub struct Detector {
    /// Crashes of each part since its last answer, oldest first.
    crashes: HashMap<u64, Vec<Crash>>,
    /// When this process last saw the beginning of an answer to a request with each part.
    answers: HashMap<u64, Timestamp>,
    /// Observations of this process, for its peers.
    own: Vec<Notice>,
}

impl Detector {
    /// Creates a detector that has observed nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the stream of a request with these parts broke between its head and its first
    /// event. Returns the parts that this quarantines.
    pub fn record_crash(&mut self, parts: &[u64], server: &str, now: Timestamp) -> Vec<Quarantine> {
        let notice = Notice {
            parts: parts.to_vec(),
            outcome: Outcome::Crash {
                server: rendezvous::hash(server),
            },
            at: now,
        };
        self.own.push(notice.clone());
        self.merge(&notice, now)
    }

    /// Records that the answer to a request with these parts began.
    pub fn record_answer(&mut self, parts: &[u64], now: Timestamp) {
        for part in parts {
            make_room(&mut self.answers, part, |answered| *answered);
            self.answers.insert(*part, now);
        }
        let blamed = parts.iter().copied();
        let blamed: Vec<u64> = blamed
            .filter(|part| self.crashes.contains_key(part))
            .collect();
        if blamed.is_empty() {
            return;
        }
        let notice = Notice {
            parts: blamed,
            outcome: Outcome::Answer,
            at: now,
        };
        self.merge(&notice, now);
        self.own.push(notice);
    }

    /// Merges an observation, which may be a repeated one. Returns the parts that this quarantines.
    pub fn merge(&mut self, notice: &Notice, now: Timestamp) -> Vec<Quarantine> {
        if now.since(notice.at) >= QUARANTINE {
            return Vec::new();
        }
        let Outcome::Crash { server } = notice.outcome else {
            for part in &notice.parts {
                self.clear(*part, notice.at);
            }
            return Vec::new();
        };
        let blamed = self.blame(&notice.parts, now);
        let blamed = blamed.into_iter();
        blamed
            .filter_map(|part| self.add_crash(part, server, notice.at, now))
            .collect()
    }

    /// The parts of a crashed request that are to blame: one that is quarantined already, or those
    /// that were last answered the longest ago.
    fn blame(&self, parts: &[u64], now: Timestamp) -> Vec<u64> {
        if let Some(quarantine) = self.quarantine(parts, now) {
            return vec![quarantine.part];
        }
        let answered = |part: &u64| self.answers.get(part).copied();
        let oldest = parts.iter().map(answered).min().flatten();
        let blamed = parts.iter().filter(|part| answered(part) == oldest);
        blamed.copied().collect()
    }

    /// Adds a crash of a part. Returns the part if this quarantines it.
    fn add_crash(
        &mut self,
        part: u64,
        server: u64,
        at: Timestamp,
        now: Timestamp,
    ) -> Option<Quarantine> {
        let was_quarantined = self.quarantine(&[part], now).is_some();
        make_room(&mut self.crashes, &part, |crashes| {
            crashes.last().map_or(Timestamp::START, |crash| crash.at)
        });
        let crashes = self.crashes.entry(part).or_default();
        let is_known = |crash: &Crash| {
            let apart = crash.at.since(at).max(at.since(crash.at));
            crash.server == server && apart < SAME_CRASH
        };
        if crashes.iter().any(is_known) {
            return None;
        }
        crashes.push(Crash { server, at });
        crashes.sort_by_key(|crash| crash.at);
        self.quarantine(&[part], now).filter(|_| !was_quarantined)
    }

    /// The first of these parts that is quarantined, if any.
    pub fn quarantine(&self, parts: &[u64], now: Timestamp) -> Option<Quarantine> {
        parts.iter().find_map(|part| {
            let crashes = self.crashes.get(part)?;
            let is_recent = |crash: &&Crash| now.since(crash.at) < QUARANTINE;
            let count = crashes.iter().filter(is_recent).count();
            let last = crashes.last()?;
            (count >= QUARANTINE_THRESHOLD).then_some(Quarantine {
                part: *part,
                crashes: count,
                until: last.at.plus(QUARANTINE),
            })
        })
    }

    /// Observations of this process that still matter to peers, oldest first.
    pub fn own_notices(&self, now: Timestamp) -> impl Iterator<Item = Notice> {
        let own = self.own.iter().cloned();
        own.filter(move |notice| now.since(notice.at) < QUARANTINE)
    }

    /// Forgets what is too old to matter. Called now and then.
    pub fn prune(&mut self, now: Timestamp) {
        let is_recent = |at: Timestamp| now.since(at) < QUARANTINE;
        self.own.retain(|notice| is_recent(notice.at));
        self.answers
            .retain(|_, answered| now.since(*answered) < ANSWER_MEMORY);
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| is_recent(crash.at));
            !crashes.is_empty()
        });
    }

    /// Forgets the crashes of a part up to an answer.
    fn clear(&mut self, part: u64, answered: Timestamp) {
        let Some(crashes) = self.crashes.get_mut(&part) else {
            return;
        };
        crashes.retain(|crash| crash.at > answered);
        if crashes.is_empty() {
            self.crashes.remove(&part);
        }
    }
}

/// Removes the part with the oldest `time` if there is no room for another one.
fn make_room<T>(parts: &mut HashMap<u64, T>, part: &u64, time: impl Fn(&T) -> Timestamp) {
    if parts.len() < MAX_PARTS || parts.contains_key(part) {
        return;
    }
    let oldest = parts.iter().min_by_key(|(_, value)| time(value));
    if let Some(oldest) = oldest.map(|(part, _)| *part) {
        parts.remove(&oldest);
    }
}
