//! Detects parts of prompts that crash backend servers.
//!
//! Requests with such a part crash one server after the other, with all that runs there, and the
//! health of servers cannot tell: each of them is sound. A crash of this kind shows as a stream that
//! breaks after its response head and before its first event. Of the parts of its prompt, the one
//! whose requests were last answered the longest ago is blamed: sound requests share the others, and
//! none with the deadly part is answered. After a few such crashes, requests with the part are
//! refused.
//!
//! Routers tell each other what they observe, since the requests may arrive at any of them.

use {
    crate::{rendezvous, time::Timestamp},
    std::{collections::HashMap, time::Duration},
};

/// Crashes that a part is blamed for until it is quarantined. Two may be a coincidence while several
/// servers fail; the platform allows few requests after the fifth crash.
const QUARANTINE_THRESHOLD: usize = 3;

/// Time from the last crash to the end of the quarantine, after which the part may crash as many
/// servers again. A server needs some seconds to return.
const QUARANTINE: Duration = Duration::from_secs(300);

/// Breaks at the same server within this time are one crash, and a repeated notice of a crash is
/// not another. Less than a server needs to return.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// Most crashes that are remembered; bounds the memory and the time of a check.
const MAX_CRASHES: usize = 64;

/// Most own observations that are kept for peers: each summary copies them. Servers that cut every
/// stream after its head would otherwise add one for each request.
const MAX_OWN_NOTICES: usize = 2 * MAX_CRASHES;

/// Most parts of which the last answer is remembered; bounds the memory.
const MAX_ANSWERS: usize = 4_000;

/// Time for which the answer to a request with a part is remembered. Long enough for a part of which
/// there is a request every few seconds.
const ANSWER_MEMORY: Duration = Duration::from_secs(60);

/// What was observed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The stream broke between its response head and its first event.
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
    /// Identifiers of shared parts of the prompt.
    pub parts: Vec<u64>,
    /// What was observed.
    pub outcome: Outcome,
    /// When it was observed, on the clock of the process that holds the notice.
    pub at: Timestamp,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Identifier of the part that is blamed.
    pub part: u64,
    /// Crashes that it is blamed for.
    pub crashes: usize,
    /// When requests with the part are accepted again, unless there are more crashes.
    pub until: Timestamp,
}

#[derive(Debug)]
struct Crash {
    /// Shared parts of the prompt of the request.
    parts: Vec<u64>,
    server: u64,
    at: Timestamp,
}

impl Crash {
    /// Whether this is another break of a crash, or the same crash told again.
    fn is_same(&self, server: u64, at: Timestamp) -> bool {
        let apart = self.at.since(at).max(at.since(self.at));
        self.server == server && apart < SAME_CRASH
    }
}

/// The last answer to a request with a part.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Timestamp,
    /// Whether the peers know of it.
    is_told: bool,
}

/// Observations of one process and of its peers.
#[derive(Debug, Default)]
pub struct Detector {
    crashes: Vec<Crash>,
    /// Last answer by part.
    answers: HashMap<u64, Answer>,
    /// Observations of this process, for its peers.
    own: Vec<Notice>,
}

impl Detector {
    /// Creates a detector that has observed nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the stream of a request with these parts broke between its head and its first
    /// event. Returns the quarantine that this begins, if any.
    pub fn record_crash(
        &mut self,
        parts: &[u64],
        server: &str,
        now: Timestamp,
    ) -> Option<Quarantine> {
        if parts.is_empty() {
            return None;
        }
        let notice = Notice {
            parts: parts.to_vec(),
            outcome: Outcome::Crash {
                server: rendezvous::hash(server),
            },
            at: now,
        };
        self.push_own(notice.clone());
        self.merge(&notice, now)
    }

    /// Records that the answer to a request with these parts began. The peers are told if it shows
    /// that a part did not cause a crash.
    pub fn record_answer(&mut self, parts: &[u64], now: Timestamp) {
        let is_suspect = |part: &u64| {
            self.crashes
                .iter()
                .any(|crash| self.may_blame(crash, *part))
        };
        let suspects: Vec<u64> = parts.iter().copied().filter(is_suspect).collect();
        for part in parts {
            let is_told = suspects.contains(part);
            self.insert_answer(*part, Answer { at: now, is_told });
        }
        self.tell_answer(suspects, now);
    }

    /// Merges an observation, which may be a repeated one. Returns the quarantine that this begins,
    /// if any.
    pub fn merge(&mut self, notice: &Notice, now: Timestamp) -> Option<Quarantine> {
        match notice.outcome {
            Outcome::Answer => {
                for part in &notice.parts {
                    self.merge_answer(*part, notice.at);
                }
                None
            }
            Outcome::Crash { server } => {
                let before = self.quarantine(&notice.parts, now);
                self.add_crash(&notice.parts, server, notice.at, now);
                let after = self.quarantine(&notice.parts, now);
                after.filter(|_| before.is_none())
            }
        }
    }

    /// Returns why a request with these parts is refused, or `None` if it is not. Parts that were
    /// together in all crashes are refused only together, since one of them may be sound.
    pub fn quarantine(&self, parts: &[u64], now: Timestamp) -> Option<Quarantine> {
        parts.iter().find_map(|part| {
            let mut counted: Vec<&Crash> = Vec::new();
            let mut always_blamed: Option<Vec<u64>> = None;
            for crash in &self.crashes {
                let blamed = self.blame(crash);
                if now.since(crash.at) >= QUARANTINE || !blamed.contains(part) {
                    continue;
                }
                always_blamed = Some(match always_blamed {
                    Some(mut always) => {
                        always.retain(|part| blamed.contains(part));
                        always
                    }
                    None => blamed,
                });
                let is_same = |other: &&Crash| other.is_same(crash.server, crash.at);
                if !counted.iter().any(is_same) {
                    counted.push(crash);
                }
            }
            let last = counted.last()?;
            let is_meant = always_blamed?.iter().all(|blamed| parts.contains(blamed));
            (is_meant && counted.len() >= QUARANTINE_THRESHOLD).then_some(Quarantine {
                part: *part,
                crashes: counted.len(),
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
        self.own.retain(|notice| now.since(notice.at) < QUARANTINE);
        self.crashes
            .retain(|crash| now.since(crash.at) < QUARANTINE);
        self.answers
            .retain(|_, answer| now.since(answer.at) < ANSWER_MEMORY);
    }

    /// The parts to blame for a crash: of those that were not answered since, the ones that were
    /// last answered the longest ago, or never.
    fn blame(&self, crash: &Crash) -> Vec<u64> {
        let answered = |part: &u64| self.answers.get(part).map(|answer| answer.at);
        let suspects = crash.parts.iter();
        let suspects = suspects.filter(|part| self.may_blame(crash, **part));
        let Some(oldest) = suspects.clone().map(answered).min() else {
            return Vec::new();
        };
        suspects
            .filter(|part| answered(part) == oldest)
            .copied()
            .collect()
    }

    /// Whether a part was in the prompt of a crash and was not answered since.
    fn may_blame(&self, crash: &Crash, part: u64) -> bool {
        let answer = self.answers.get(&part);
        crash.parts.contains(&part) && answer.is_none_or(|answer| answer.at <= crash.at)
    }

    fn add_crash(&mut self, parts: &[u64], server: u64, at: Timestamp, now: Timestamp) {
        let is_known = |crash: &Crash| crash.is_same(server, at) && crash.parts == parts;
        if now.since(at) >= QUARANTINE || self.crashes.iter().any(is_known) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(Crash {
            parts: parts.to_vec(),
            server,
            at,
        });
        self.crashes.sort_by_key(|crash| crash.at);
        // Peers that have had no answer to a part lately would blame it.
        for part in parts {
            if let Some(answer) = self.answers.get_mut(part)
                && !answer.is_told
            {
                answer.is_told = true;
                let at = answer.at;
                self.tell_answer(vec![*part], at);
            }
        }
    }

    fn merge_answer(&mut self, part: u64, at: Timestamp) {
        let known = self.answers.get(&part);
        if known.is_none_or(|known| known.at < at) {
            self.insert_answer(part, Answer { at, is_told: true });
        }
    }

    /// Inserts the last answer to a part, in place of the oldest one if there are too many.
    fn insert_answer(&mut self, part: u64, answer: Answer) {
        if self.answers.len() >= MAX_ANSWERS && !self.answers.contains_key(&part) {
            let oldest = self.answers.iter().min_by_key(|(_, answer)| answer.at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.answers.remove(&oldest);
            }
        }
        self.answers.insert(part, answer);
    }

    fn tell_answer(&mut self, parts: Vec<u64>, at: Timestamp) {
        if parts.is_empty() {
            return;
        }
        self.push_own(Notice {
            parts,
            outcome: Outcome::Answer,
            at,
        });
    }

    /// Adds an observation for peers, in place of the oldest one if there are too many.
    fn push_own(&mut self, notice: Notice) {
        if self.own.len() >= MAX_OWN_NOTICES {
            self.own.remove(0);
        }
        self.own.push(notice);
    }
}
