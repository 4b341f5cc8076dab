//! Detects requests, and parts of prompts, that crash backend servers.
//!
//! They crash one server after the other, with all that runs there, and the health of servers cannot
//! tell: each of them is sound. What is observed of a crash are the requests whose connections broke
//! with it. A request that was lost at several crashes, and that was answered since none of them, is
//! blamed if no other request explains the same crashes. Of the parts of prompts, the one whose
//! requests were last answered the longest ago is blamed: sound requests share the others, and none
//! with the deadly part is answered. After a few such crashes, the request, or requests with the
//! part, are refused.
//!
//! Routers tell each other what they observe, since the requests may arrive at any of them, and whom
//! they blame.

mod crash_log;
mod quarantine;

pub use quarantine::{Cause, NoCause, Quarantine};

use {
    self::{crash_log::CrashLog, quarantine::Register},
    crate::{rendezvous, time::Timestamp},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Most own observations that are kept for peers: each summary copies them. Servers that cut every
/// stream after its head would otherwise add one for each request.
const MAX_OWN_NOTICES: usize = 256;

/// Time for which peers are told of an own observation. A peer that connects later is told of the
/// quarantines that followed.
const NOTICE_MEMORY: Duration = Duration::from_secs(30);

/// Most requests and parts of which the last answer is remembered; bounds the memory.
const MAX_ANSWERS: usize = 4_000;

/// Time for which the answer to a request with a part is remembered. Long enough for a part of which
/// there is a request every few seconds.
const ANSWER_MEMORY: Duration = Duration::from_secs(60);

/// Shortest time between two judgements. When many servers crash at once, each of them is observed by
/// the loss of many requests.
const JUDGEMENT_INTERVAL: Duration = Duration::from_millis(20);

/// Difference from which a later answer, or a later end of a quarantine, is passed on. Several routers
/// that come to the same judgement differ by the times that their notices took.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// What distinguishes a request from others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// Digest of what is the same when the request comes again: its caller, path and body. `None` if
    /// it was not computed.
    pub request: Option<u64>,
    /// Identifiers of the parts of its prompt that other requests share.
    pub parts: Vec<u64>,
}

/// An observation or a judgement, as routers tell it to each other. Times are on the clock of the
/// process that holds the notice.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A request was lost when its backend server crashed.
    Crash {
        /// The request. Without parts if its answer had begun.
        fingerprint: Fingerprint,
        /// Hash of the backend server's identifier.
        server: u64,
        /// When it was observed.
        at: Timestamp,
    },
    /// A request was answered.
    Answer {
        /// The request.
        fingerprint: Fingerprint,
        /// When it was observed.
        at: Timestamp,
    },
    /// A router has blamed a request or a part.
    Quarantine(Quarantine),
}

/// The notices of `current` after those that were told before, which have the same addresses.
pub fn news<'a>(previous: &[Arc<Notice>], current: &'a [Arc<Notice>]) -> &'a [Arc<Notice>] {
    let is_known = |notice: &Arc<Notice>| {
        let mut known = previous.iter().rev();
        known.any(|known| Arc::ptr_eq(known, notice))
    };
    // Older notices are removed from anywhere in the list, new ones are added at its end.
    let last_known = current.iter().rposition(is_known);
    &current[last_known.map_or(0, |index| index + 1)..]
}

/// What a request is recognised by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Feature {
    Request(u64),
    Part(u64),
}

/// The last answer to a request, or to any request with a part.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Timestamp,
    /// Whether the peers know of it.
    is_told: bool,
}

/// Last answers by request and part.
type Answers = HashMap<Feature, Answer>;

/// Observations and judgements of one process and of its peers.
#[derive(Debug, Default)]
pub struct Detector {
    log: CrashLog,
    answers: Answers,
    register: Register,
    /// Observations of this process, for its peers, with the time at which they were made.
    own: Vec<(Timestamp, Arc<Notice>)>,
    /// When the crashes were last judged.
    judged: Timestamp,
    /// Whether there are observations since then, or some were too recent to be judged.
    is_due: bool,
}

impl Fingerprint {
    fn features(&self) -> impl Iterator<Item = Feature> {
        let request = self.request.map(Feature::Request);
        let parts = self.parts.iter().copied().map(Feature::Part);
        request.into_iter().chain(parts)
    }
}

impl Detector {
    /// Creates a detector that has observed nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether any crash or quarantine is remembered. Otherwise requests need not be checked.
    pub fn is_alert(&self) -> bool {
        !self.log.is_empty() || !self.register.is_empty()
    }

    /// Number of quarantines in force.
    pub fn quarantines(&self, now: Timestamp) -> usize {
        self.register.in_force(now)
    }

    /// Number of crashes, quarantines and answers that are remembered.
    pub fn remembered(&self) -> usize {
        self.log.len() + self.register.len() + self.answers.len()
    }

    /// Number of crashes at which a request was lost that were not followed by an answer to it.
    pub fn crashes(&self, request: u64) -> usize {
        self.log.crashes_of(request, &self.answers)
    }

    /// Records that a request was lost when the backend server `server` crashed. Its parts are
    /// suspected only if the answer had not begun.
    pub fn record_crash(&mut self, fingerprint: &Fingerprint, server: &str, now: Timestamp) {
        if *fingerprint == Fingerprint::default() {
            return;
        }
        let notice = Notice::Crash {
            fingerprint: fingerprint.clone(),
            server: rendezvous::hash(server),
            at: now,
        };
        self.merge(&notice, now);
        self.push_own(notice, now);
    }

    /// Records that a request was answered. The peers are told if it shows that the request or one of
    /// its parts did not cause a crash.
    pub fn record_answer(&mut self, fingerprint: &Fingerprint, now: Timestamp) {
        let is_suspect = |feature: &Feature| {
            self.register.blames(*feature) || self.log.suspects(*feature, &self.answers)
        };
        let suspects: Vec<Feature> = fingerprint.features().filter(is_suspect).collect();
        for feature in fingerprint.features() {
            let is_told = suspects.contains(&feature);
            self.insert_answer(feature, Answer { at: now, is_told });
        }
        self.tell_answer(&suspects, now, now);
    }

    /// Merges what a peer has told, which may be repeated.
    pub fn merge(&mut self, notice: &Notice, now: Timestamp) {
        match notice {
            Notice::Crash {
                fingerprint,
                server,
                at,
            } => self.add_crash(fingerprint, *server, *at, now),
            Notice::Answer { fingerprint, at } => {
                self.is_due |= !self.log.is_empty();
                for feature in fingerprint.features() {
                    let known = self.answers.get(&feature);
                    if known.is_none_or(|known| known.at < *at) {
                        let answer = Answer {
                            at: *at,
                            is_told: true,
                        };
                        self.insert_answer(feature, answer);
                    }
                }
            }
            Notice::Quarantine(quarantine) => {
                if !self.is_refuted(quarantine) {
                    self.register.merge(quarantine);
                }
            }
        }
    }

    /// Merges what a peer has told, and tells it to the other peers if it is news. For a process that
    /// passes notices on between others, several of which may come to the same judgement.
    pub fn relay(&mut self, notice: &Notice, now: Timestamp) {
        if self.is_news(notice, now) {
            self.push_own(notice.clone(), now);
        }
        self.merge(notice, now);
    }

    /// Judges the crashes that were observed. Returns the quarantines that this begins. Called several
    /// times a second, and before a request is checked.
    pub fn judge(&mut self, now: Timestamp) -> Vec<Quarantine> {
        if !self.is_due || now.since(self.judged) < JUDGEMENT_INTERVAL {
            return Vec::new();
        }
        self.judged = now;
        let mut begun = Vec::new();
        loop {
            let verdict = self.log.verdict(&self.answers, &self.register, now);
            self.is_due = verdict.is_pending;
            if verdict.blamed.is_empty() {
                break;
            }
            for blame in verdict.blamed {
                self.log.explain(&blame.cause, &self.answers);
                if let Some(quarantine) = self.register.begin(blame) {
                    self.push_own(Notice::Quarantine(quarantine.clone()), now);
                    begun.push(quarantine);
                }
            }
        }
        begun
    }

    /// Returns why a request is refused, or `None` if it is not. Parts that were together in all
    /// crashes are refused only together, since one of them may be sound.
    pub fn quarantine(&self, fingerprint: &Fingerprint, now: Timestamp) -> Option<&Quarantine> {
        self.register.find(fingerprint, now)
    }

    /// Observations of this process that still matter to peers, oldest first, and the quarantines that
    /// are in force.
    pub fn own_notices(&self, now: Timestamp) -> impl Iterator<Item = Arc<Notice>> {
        let own = self.own.iter();
        own.filter(move |(at, notice)| self.is_current(*at, notice, now))
            .map(|(_, notice)| Arc::clone(notice))
    }

    /// Forgets what is too old to matter. Called now and then.
    pub fn prune(&mut self, now: Timestamp) {
        let mut own = std::mem::take(&mut self.own);
        own.retain(|(at, notice)| self.is_current(*at, notice, now));
        self.own = own;
        self.log.prune(now);
        self.register.prune(now);
        self.answers
            .retain(|_, answer| now.since(answer.at) < ANSWER_MEMORY);
    }

    /// Whether a notice says more than what is known, apart from slightly different times.
    fn is_news(&self, notice: &Notice, now: Timestamp) -> bool {
        match notice {
            Notice::Crash {
                fingerprint,
                server,
                at,
            } => !self.log.contains(fingerprint, *server, *at),
            Notice::Answer { fingerprint, at } => fingerprint.features().any(|feature| {
                let known = self.answers.get(&feature);
                known.is_none_or(|known| known.at.plus(NEWS_INTERVAL) <= *at)
            }),
            Notice::Quarantine(quarantine) => {
                let known = self.register.until(&quarantine.cause);
                let is_later =
                    known.is_none_or(|until| until.plus(NEWS_INTERVAL) <= quarantine.until);
                is_later && quarantine.until > now && !self.is_refuted(quarantine)
            }
        }
    }

    /// Whether what is blamed was answered after the last crash.
    fn is_refuted(&self, quarantine: &Quarantine) -> bool {
        let blamed = Fingerprint::from(quarantine.cause.clone());
        let mut answers = blamed
            .features()
            .filter_map(|feature| self.answers.get(&feature));
        answers.any(|answer| answer.at > quarantine.last_crash)
    }

    /// Whether an own notice, made at `at`, still matters to peers.
    fn is_current(&self, at: Timestamp, notice: &Notice, now: Timestamp) -> bool {
        match notice {
            Notice::Quarantine(quarantine) => {
                quarantine.until > now && self.register.contains(&quarantine.cause)
            }
            Notice::Crash { .. } | Notice::Answer { .. } => now.since(at) < NOTICE_MEMORY,
        }
    }

    fn add_crash(&mut self, fingerprint: &Fingerprint, server: u64, at: Timestamp, now: Timestamp) {
        if !self.log.push(fingerprint, server, at, now) {
            return;
        }
        self.is_due = true;
        // A crash after the end of a quarantine is enough for the next one.
        let repeated = self.register.repeat(fingerprint, at);
        if let Some(quarantine) = repeated {
            self.push_own(Notice::Quarantine(quarantine), now);
        }
        // Others that were lost with a request that is refused already are not suspected for that.
        if let Some(known) = self.register.find(fingerprint, at) {
            self.log.explain(&known.cause.clone(), &self.answers);
        }
        // Peers that have had no answer to a part lately would blame it.
        for feature in fingerprint.features() {
            if let Some(answer) = self.answers.get_mut(&feature)
                && !answer.is_told
            {
                answer.is_told = true;
                let answered = answer.at;
                self.tell_answer(&[feature], answered, now);
            }
        }
    }

    /// Inserts the last answer, in place of the oldest one if there are too many.
    fn insert_answer(&mut self, feature: Feature, answer: Answer) {
        if self.answers.len() >= MAX_ANSWERS && !self.answers.contains_key(&feature) {
            let oldest = self.answers.iter().min_by_key(|(_, answer)| answer.at);
            if let Some(oldest) = oldest.map(|(feature, _)| *feature) {
                self.answers.remove(&oldest);
            }
        }
        self.answers.insert(feature, answer);
        self.register.lift(feature, answer.at);
    }

    fn tell_answer(&mut self, features: &[Feature], at: Timestamp, now: Timestamp) {
        if features.is_empty() {
            return;
        }
        let mut fingerprint = Fingerprint::default();
        for feature in features {
            match feature {
                Feature::Request(request) => fingerprint.request = Some(*request),
                Feature::Part(part) => fingerprint.parts.push(*part),
            }
        }
        self.push_own(Notice::Answer { fingerprint, at }, now);
    }

    /// Adds an observation for peers, in place of the oldest one if there are too many.
    fn push_own(&mut self, notice: Notice, now: Timestamp) {
        if self.own.len() >= MAX_OWN_NOTICES {
            let is_observation =
                |(_, notice): &(Timestamp, Arc<Notice>)| !matches!(**notice, Notice::Quarantine(_));
            let index = self.own.iter().position(is_observation).unwrap_or(0);
            self.own.remove(index);
        }
        self.own.push((now, Arc::new(notice)));
    }
}
