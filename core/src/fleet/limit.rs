//! Limit that a backend server names: the requests a second that it takes from all routers together.
//!
//! One router, the keeper, hands out the starts at a limited server, so that their number does not
//! depend on how many routers there are. Each start is asked for when a request is about to be sent.

use {
    crate::time::{self, Timestamp},
    std::time::Duration,
};

/// Lowest limit that is applied, in requests per second. A server whose limit is over says so only in
/// an answer, so it must get a request now and then, whatever it has named.
const MIN_PER_SECOND: f64 = 0.1;

/// Highest limit that is applied, in requests per second: more than any server takes.
const MAX_PER_SECOND: f64 = 1e6;

/// Time in which the applied limit doubles after the end of a limit, so that all that wait do not go
/// to the server at once.
const RAMP_DOUBLING: Duration = Duration::from_secs(1);

/// Time from the end of a limit until none is applied: a sixteenfold rate.
const RAMP: Duration = Duration::from_secs(4);

/// Shortest time between two questions of a router for a start at the same server. Bounds the
/// questions of one request that waits.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Questions per second, about, that the keeper gets for one server from routers that it refused,
/// however many there are.
const ASKS_PER_SECOND: f64 = 100.0;

/// Time without a request to a limited server after which a router prefers it for one: only an answer
/// can say that the limit is over, and the server takes that many. Shorter than connections are kept
/// open, so that the next request does not need a new one.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for an answer of the keeper. Two peers are tens of milliseconds apart at most; a
/// longer silence means that the keeper is gone.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Requests per second that a backend server takes from all routers together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Limit(f64);

/// What a response says about the limit of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Notice {
    /// Nothing: its header cannot be read, or another server sent it.
    #[default]
    Unknown,
    /// There is none.
    Unlimited,
    /// There is this one.
    Limited(Limit),
}

impl Limit {
    /// Creates a limit, within the range that is applied. `None` if the value is not a number or is
    /// negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.clamp(MIN_PER_SECOND, MAX_PER_SECOND)))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Time between two starts, if the fraction `share` of the limit may be used.
    fn interval(self, share: f64) -> Duration {
        time::seconds(1.0 / (self.0 * share).max(MIN_PER_SECOND / 100.0))
    }
}

/// What a backend server has said about its limit, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// The last statement: a limit, or its end. `None` if it has never named one.
    pub last: Option<Statement>,
}

/// A limit, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// When a router received it.
    pub at: Timestamp,
    /// The limit that was named last.
    pub limit: Limit,
    /// Whether the server has stopped naming it.
    pub is_over: bool,
}

impl State {
    /// Records what the response to a request that was sent at `sent` says. Returns whether this is
    /// news to an operator.
    ///
    /// A response without a limit ends one only if its request was sent after the limit was named:
    /// an older response may arrive later.
    pub fn record(&mut self, notice: Notice, sent: Timestamp, now: Timestamp) -> bool {
        let known = self.last;
        match (notice, known) {
            (Notice::Limited(limit), _) => {
                let statement = Statement {
                    at: now,
                    limit,
                    is_over: false,
                };
                self.last = Some(statement);
                known.is_none_or(|known| known.is_over || known.limit != limit)
            }
            (Notice::Unlimited, Some(known)) if !known.is_over && sent >= known.at => {
                self.last = Some(Statement {
                    at: now,
                    is_over: true,
                    ..known
                });
                true
            }
            _ => false,
        }
    }

    /// Merges what another router was told; the newest statement holds.
    pub fn merge(&mut self, statement: Statement) {
        if self.last.is_none_or(|known| known.at < statement.at) {
            self.last = Some(statement);
        }
    }

    /// The limit to apply at `now`.
    pub fn limit(&self, now: Timestamp) -> Option<Limit> {
        let last = self.last?;
        if !last.is_over {
            return Some(last.limit);
        }
        let elapsed = now.since(last.at);
        let doublings = elapsed.as_secs_f64() / RAMP_DOUBLING.as_secs_f64();
        (elapsed < RAMP).then(|| Limit(last.limit.0 * doublings.exp2()))
    }
}

/// The starts that a keeper hands out at one backend server, evenly spaced.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// When the next start may be.
    next: Timestamp,
}

impl Pacer {
    /// Creates the pacer of a router that becomes the keeper at `now`. It hands out nothing for one
    /// interval: another router may have been the keeper until now.
    pub fn new(limit: Limit, share: f64, now: Timestamp) -> Self {
        Self {
            next: now.plus(limit.interval(share)),
        }
    }

    /// Takes one start, of which the fraction `share` of the limit is available. Fails with the time
    /// until the next one.
    pub fn take(&mut self, limit: Limit, share: f64, now: Timestamp) -> Result<(), Duration> {
        let interval = limit.interval(share);
        // The limit may have been raised since the last start.
        self.next = self.next.min(now.plus(interval));
        if now < self.next {
            return Err(self.next.since(now));
        }
        // A start that was taken late does not delay the next ones, up to one interval.
        self.next = self.next.max(now.minus(interval)).plus(interval);
        Ok(())
    }
}

/// When a router may ask for the next start at a limited backend server. One question is open at a
/// time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    next: Timestamp,
    /// When the last start was granted.
    last_grant: Timestamp,
}

impl Turn {
    /// Records that a start is asked for.
    pub fn begin(&mut self, now: Timestamp) {
        self.next = now.plus(ASK_TIMEOUT);
    }

    /// Records that the start was granted.
    pub fn record_grant(&mut self, now: Timestamp) {
        self.next = now;
        self.last_grant = now;
    }

    /// Records that the start was refused, and that the next is in `delay`.
    pub fn record_refusal(&mut self, delay: Duration, now: Timestamp) {
        self.next = now.plus(delay.max(MIN_ASK_INTERVAL));
    }

    /// Whether the server should get a request so that it can say whether it still has a limit.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.last_grant) >= PROBE_INTERVAL
    }

    /// Whether a start may be asked for now.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next
    }
}

/// Time after which one of `routers` that was refused asks again, where the next start is in `next`.
/// `random`, from 0 up to but not including 1, spreads the questions, which are more than the starts.
pub fn ask_delay(next: Duration, routers: usize, random: f64) -> Duration {
    let spread = time::seconds(routers as f64 / ASKS_PER_SECOND);
    next + spread.mul_f64(random)
}
