//! What a backend server says of itself in its responses: that it leaves, that it wants a pause, how
//! many requests it takes.
//!
//! Each statement is one of a process: a later start of the server has said nothing. It is believed
//! whatever registrations say, also while the server has none.

use {
    super::{limit, pause::Pause},
    crate::time::Timestamp,
    std::{collections::HashMap, time::Duration},
};

/// Time for which the statements of a backend server without a registration are remembered.
/// Registrations that lapse in an outage of the store return within seconds of its end, and a server
/// that leaves ends within seconds; an outage of minutes is covered.
const MEMORY: Duration = Duration::from_secs(600);

/// Most backend servers without a registration whose statements are remembered; bounds the memory.
const MAX_UNREGISTERED: usize = 1_000;

/// Time for which a server that a peer has heard leave gets no requests, from when it said so. A peer
/// may be wrong, and without requests the server could never show that; those that have heard it
/// themselves need no end.
const PEER_LEAVING: Duration = Duration::from_secs(30);

/// What one response says of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving and takes no new requests.
    pub is_leaving: bool,
    /// For how long it wants no requests of this router.
    pub pause: Option<Duration>,
    /// How many requests it takes.
    pub limit: limit::Notice,
}

/// What is news in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The server has begun to say that it is leaving.
    pub is_leaving: bool,
    /// It has named a limit, another one, or no limit any more.
    pub has_other_limit: bool,
}

/// All that a process of a backend server has said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Statements {
    /// When it told this router that it is leaving.
    leaving_since: Option<Timestamp>,
    /// Until when it counts as leaving because it told a peer so.
    leaving_at_peers_until: Timestamp,
    /// Pause that it has asked this router for. Peers are not told: they are asked themselves.
    pub pause: Pause,
    /// Limit that it has named to this router or to a peer.
    pub limit: limit::State,
    /// The last statement about the limit that this router received itself.
    own_limit: Option<limit::Statement>,
}

/// Statements of a backend server to one router, as routers tell them to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of its process, in Unix milliseconds.
    pub started_at_ms: u64,
    /// When it first said that it is leaving.
    pub leaving_since: Option<Timestamp>,
    /// What it last said about its limit.
    pub limit: Option<limit::Statement>,
}

impl Statements {
    /// Creates the statements of a process that has said nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what the response to a request that was sent at `sent` says. Returns what is news.
    pub fn record(&mut self, notice: &Notice, sent: Timestamp, now: Timestamp) -> News {
        let is_first = notice.is_leaving && self.leaving_since.is_none();
        if is_first {
            self.leaving_since = Some(now);
        }
        if let Some(delay) = notice.pause {
            self.pause.begin(delay, now);
        }
        let before = self.limit.last;
        let has_other_limit = self.limit.record(notice.limit, sent, now);
        if self.limit.last != before {
            self.own_limit = self.limit.last;
        }
        News {
            is_leaving: is_first,
            has_other_limit,
        }
    }

    /// Merges what the process has said to a peer.
    pub fn merge(&mut self, report: &Report) {
        if let Some(since) = report.leaving_since {
            let until = since.plus(PEER_LEAVING);
            self.leaving_at_peers_until = self.leaving_at_peers_until.max(until);
        }
        if let Some(statement) = report.limit {
            self.limit.merge(statement);
        }
    }

    /// Whether it is leaving.
    pub fn is_leaving(&self, now: Timestamp) -> bool {
        self.leaving_since.is_some() || now < self.leaving_at_peers_until
    }

    /// What the process has said to this router, or `None` if that is nothing for peers.
    pub fn report(&self, id: &str, started_at_ms: u64) -> Option<Report> {
        let has_any = self.leaving_since.is_some() || self.own_limit.is_some();
        has_any.then(|| Report {
            id: id.to_owned(),
            started_at_ms,
            leaving_since: self.leaving_since,
            limit: self.own_limit,
        })
    }
}

/// Statements of backend servers without a registration, by identifier.
#[derive(Debug, Default)]
pub struct Unregistered(HashMap<String, Remembered>);

#[derive(Debug)]
struct Remembered {
    started_at_ms: u64,
    statements: Statements,
    /// When the last of them was made, or the registration ended.
    since: Timestamp,
}

impl Unregistered {
    /// Keeps the statements of a process whose registration has ended.
    pub fn insert(
        &mut self,
        id: String,
        started_at_ms: u64,
        statements: Statements,
        now: Timestamp,
    ) {
        if self.0.len() >= MAX_UNREGISTERED && !self.0.contains_key(&id) {
            let oldest = self.0.iter().min_by_key(|(_, remembered)| remembered.since);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.0.remove(&oldest);
            }
        }
        let remembered = Remembered {
            started_at_ms,
            statements,
            since: now,
        };
        self.0.insert(id, remembered);
    }

    /// Returns and removes the statements of a process that is registered now; those of an earlier
    /// start are forgotten.
    pub fn take(&mut self, id: &str, started_at_ms: u64) -> Statements {
        let known = self.0.get(id).map(|known| known.started_at_ms);
        match known {
            // Of a later start than the registration, which is old.
            Some(known) if known > started_at_ms => Statements::new(),
            _ => {
                let remembered = self.0.remove(id);
                remembered
                    .filter(|remembered| remembered.started_at_ms == started_at_ms)
                    .map(|remembered| remembered.statements)
                    .unwrap_or_default()
            }
        }
    }

    /// The statements of a process, or `None` if a later start is known.
    pub fn get_mut(
        &mut self,
        id: &str,
        started_at_ms: u64,
        now: Timestamp,
    ) -> Option<&mut Statements> {
        let known = self.0.get(id).map(|known| known.started_at_ms);
        if known.is_some_and(|known| known > started_at_ms) {
            return None;
        }
        if known != Some(started_at_ms) {
            self.insert(id.to_owned(), started_at_ms, Statements::new(), now);
        }
        let remembered = self.0.get_mut(id)?;
        remembered.since = now;
        Some(&mut remembered.statements)
    }

    /// Forgets what is too old to matter.
    pub fn prune(&mut self, now: Timestamp) {
        self.0
            .retain(|_, remembered| now.since(remembered.since) < MEMORY);
    }
}
