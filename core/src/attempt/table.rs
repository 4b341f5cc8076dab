//! The table itself.

use {
    super::{Resumption, State, bound},
    crate::{
        failure::{Failure, Reason},
        id::{Attempt, Boot},
        time::Timestamp,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long an attempt can be granted after it was queued.
///
/// It is far shorter than the life of a claim ([`crate::claim::LEASE`]), so that a router that was
/// paused between claim and grant never grants after its claim has expired. Requests with a
/// longer deadline than this are voided here all the same.
pub const LIFETIME: Duration = Duration::from_secs(30 * 60);

/// How long a voided attempt, or a finished one whose answer was acknowledged, is remembered.
const RETENTION: Duration = Duration::from_secs(2 * 60);

/// How long a finished attempt is remembered if its answer is never acknowledged.
const UNACKNOWLEDGED_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Settled attempts remembered at most, whatever their age.
const SETTLED_CAPACITY: usize = 65_536;

/// Routers whose forgotten attempts are told apart.
const ROUTER_CAPACITY: usize = 65_536;

/// One attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: State,
    /// When the attempt was queued or, if it never was, voided.
    created: Timestamp,
    /// When the entry may be forgotten, if it is settled.
    expiry: Option<Timestamp>,
}

/// Attempts by where they stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queued, grant not asked for.
    pub waiting: usize,
    /// Queued, grant asked for.
    pub offered: usize,
    /// With the backend server.
    pub dispatched: usize,
    /// Finished or voided, and still remembered.
    pub settled: usize,
}

/// All attempts offered to one incarnation of a sidecar.
///
/// Queued and dispatched attempts are held as long as they last; their number is bounded by the
/// queue's capacity and the backend server's limit. Settled ones are forgotten after a retention,
/// or earlier beyond a fixed number of them. Forgetting is always safe, whenever it happens: a
/// router that asks for a forgotten attempt is told `MayHaveRun` unless the attempt was certainly
/// not dispatched. The retention only decides how long an answer can still be fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    boot: Boot,
    entries: BTreeMap<Attempt, Entry>,
    expiries: BTreeSet<(Timestamp, Attempt)>,
    forgotten: bound::Map,
    retention: Duration,
    unacknowledged_retention: Duration,
    settled_capacity: usize,
}

impl Table {
    /// The empty table of a sidecar that has just started as `boot`.
    pub fn new(boot: Boot) -> Self {
        Self {
            boot,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            forgotten: bound::Map::new(ROUTER_CAPACITY),
            retention: RETENTION,
            unacknowledged_retention: UNACKNOWLEDGED_RETENTION,
            settled_capacity: SETTLED_CAPACITY,
        }
    }

    /// Sets how long voided and acknowledged attempts are remembered.
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets how long finished attempts are remembered that nobody acknowledges.
    pub fn with_unacknowledged_retention(mut self, retention: Duration) -> Self {
        self.unacknowledged_retention = retention;
        self
    }

    /// Sets how many settled attempts and how many routers are remembered.
    pub fn with_capacities(mut self, settled: usize, routers: usize) -> Self {
        self.settled_capacity = settled;
        self.forgotten = bound::Map::new(routers);
        self
    }

    /// The incarnation's boot.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// Queues a new attempt.
    ///
    /// An attempt is queued once. A second enqueue is refused, and its verdict is `NotRun` only if
    /// the attempt is void. For another boot the verdict is `MayHaveRun`, since a copy of the
    /// enqueue may have reached that boot; a router that has not granted the attempt knows better
    /// ([`crate::grant::GrantTracker::refine_verdict`]).
    pub fn enqueue(&mut self, attempt: Attempt, boot: Boot, now: Timestamp) -> Result<(), Failure> {
        if boot != self.boot {
            return Err(Failure::may_have_run(Reason::WrongIncarnation));
        }
        self.forgotten.admit(attempt, now);
        match self.state(attempt) {
            State::Unknown => {
                self.put(attempt, State::Waiting, now, None);
                Ok(())
            }
            state => Err(state.refusal()),
        }
    }

    /// Records that the router is asked for a grant; false if the attempt is not waiting.
    pub fn offer(&mut self, attempt: Attempt) -> bool {
        let waiting = self.state(attempt) == State::Waiting;
        if waiting {
            self.advance(attempt, State::Offered, None);
        }
        waiting
    }

    /// Dispatches a queued attempt: on `Ok`, and only then, the caller sends the request.
    ///
    /// An attempt that has been queued for longer than [`LIFETIME`] is voided instead.
    /// The failure's verdict is `NotRun` if the attempt is void, which a grant for an unknown
    /// attempt makes it. For another boot the verdict is `MayHaveRun`, since a copy of the grant
    /// may have reached that boot.
    pub fn grant(&mut self, attempt: Attempt, boot: Boot, now: Timestamp) -> Result<(), Failure> {
        if boot != self.boot {
            return Err(Failure::may_have_run(Reason::WrongIncarnation));
        }
        if self.state(attempt).is_queued() && !self.is_overdue(attempt, now) {
            self.advance(attempt, State::Dispatched, None);
            return Ok(());
        }
        self.void(attempt, now).map_err(State::refusal)?;
        Err(State::Voided.refusal())
    }

    /// Makes sure that an attempt is never dispatched.
    ///
    /// The error is the state of an attempt that was dispatched, or may have been.
    pub fn void(&mut self, attempt: Attempt, now: Timestamp) -> Result<(), State> {
        match self.state(attempt) {
            State::Unknown | State::Waiting | State::Offered => {
                let expiry = now.plus(self.retention);
                self.put(attempt, State::Voided, now, Some(expiry));
                Ok(())
            }
            State::Voided | State::ForgottenVoided => Ok(()),
            state => Err(state),
        }
    }

    /// Takes a dispatch back of which nothing was sent, for instance since no connection to the
    /// backend server could be opened; false if the attempt is not dispatched.
    pub fn abort(&mut self, attempt: Attempt, now: Timestamp) -> bool {
        let dispatched = self.state(attempt) == State::Dispatched;
        if dispatched {
            self.advance(attempt, State::Voided, Some(now.plus(self.retention)));
        }
        dispatched
    }

    /// Records that the backend server's answer is complete, or will never be.
    pub fn finish(&mut self, attempt: Attempt, now: Timestamp) {
        if self.state(attempt) == State::Dispatched {
            let expiry = now.plus(self.unacknowledged_retention);
            self.advance(attempt, State::Finished, Some(expiry));
        }
    }

    /// Tells a router what became of an attempt; one that has not been dispatched is voided.
    pub fn resume(&mut self, attempt: Attempt, boot: Boot, now: Timestamp) -> Resumption {
        if boot != self.boot {
            return Resumption::Unknown(Failure::may_have_run(Reason::WrongIncarnation));
        }
        match self.void(attempt, now) {
            Ok(()) => Resumption::Voided,
            Err(State::Dispatched) => Resumption::Running,
            Err(State::Finished) => Resumption::Finished,
            Err(state) => Resumption::Unknown(state.refusal()),
        }
    }

    /// Records that the whole answer of a finished attempt has been received.
    pub fn acknowledge(&mut self, attempt: Attempt, now: Timestamp) {
        let expiry = self.entries.get(&attempt).and_then(|entry| entry.expiry);
        if self.state(attempt) == State::Finished {
            let shorter = now.plus(self.retention);
            let expiry = expiry.map_or(shorter, |expiry| expiry.min(shorter));
            self.advance(attempt, State::Finished, Some(expiry));
        }
    }

    /// Forgets settled attempts that are past their retention or beyond the capacity.
    ///
    /// Returns the forgotten ones; their answers need not be kept.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<Attempt> {
        let mut forgotten = Vec::new();
        while let Some(&(expiry, attempt)) = self.expiries.first() {
            if expiry > now && self.expiries.len() <= self.settled_capacity {
                break;
            }
            self.forget(attempt, now);
            forgotten.push(attempt);
        }
        forgotten
    }

    /// Where an attempt stands.
    pub fn state(&self, attempt: Attempt) -> State {
        match self.entries.get(&attempt) {
            Some(entry) => entry.state,
            None if self.forgotten.may_have_run(attempt) => State::Forgotten,
            None if self.forgotten.may_have_settled(attempt) => State::ForgottenVoided,
            None => State::Unknown,
        }
    }

    /// Attempts by where they stand.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for entry in self.entries.values() {
            match entry.state {
                State::Waiting => counts.waiting += 1,
                State::Offered => counts.offered += 1,
                State::Dispatched => counts.dispatched += 1,
                _ => counts.settled += 1,
            }
        }
        counts
    }

    fn is_overdue(&self, attempt: Attempt, now: Timestamp) -> bool {
        self.entries
            .get(&attempt)
            .is_some_and(|entry| now.since(entry.created) > LIFETIME)
    }

    /// Changes the state of an attempt that is in the table.
    fn advance(&mut self, attempt: Attempt, state: State, expiry: Option<Timestamp>) {
        if let Some(entry) = self.entries.get(&attempt) {
            self.put(attempt, state, entry.created, expiry);
        }
    }

    fn put(
        &mut self,
        attempt: Attempt,
        state: State,
        created: Timestamp,
        expiry: Option<Timestamp>,
    ) {
        let entry = Entry {
            state,
            created,
            expiry,
        };
        let previous = self.entries.insert(attempt, entry);
        if let Some(expiry) = previous.and_then(|entry| entry.expiry) {
            self.expiries.remove(&(expiry, attempt));
        }
        if let Some(expiry) = expiry {
            self.expiries.insert((expiry, attempt));
        }
    }

    fn forget(&mut self, attempt: Attempt, now: Timestamp) {
        let Some(entry) = self.entries.remove(&attempt) else {
            return;
        };
        if let Some(expiry) = entry.expiry {
            self.expiries.remove(&(expiry, attempt));
        }
        let dispatched = entry.state.may_have_run();
        self.forgotten.forget(attempt, dispatched, now);
    }
}
