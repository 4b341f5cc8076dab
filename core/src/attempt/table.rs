//! Table of attempts.

use {
    super::{Resumption, State, forgotten::ForgottenAttempts},
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

/// Time after queueing during which an attempt can be granted.
///
/// It is far shorter than the lifetime of a claim ([`crate::claim::LEASE`]), so that a router that
/// is paused between claim and grant cannot grant after its claim has expired. It also applies to
/// requests with a longer deadline.
pub const LIFETIME: Duration = Duration::from_secs(30 * 60);

/// Time for which voided attempts, and finished ones whose response was acknowledged, are kept.
const RETENTION: Duration = Duration::from_secs(2 * 60);

/// Time for which a finished attempt is kept if its response is never acknowledged.
const UNACKNOWLEDGED_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Maximum number of settled attempts that are kept, whatever their age.
const SETTLED_CAPACITY: usize = 65_536;

/// Maximum number of routers whose forgotten attempts are recorded separately.
const ROUTER_CAPACITY: usize = 65_536;

/// An attempt in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: State,
    /// When the attempt was queued or, if it never was, voided.
    created: Timestamp,
    /// When the entry may be forgotten, if it is settled.
    expiry: Option<Timestamp>,
}

/// Number of attempts by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queued, and the grant has not been requested.
    pub waiting: usize,
    /// Queued, and the grant has been requested.
    pub offered: usize,
    /// Sent to the backend server and not finished.
    pub dispatched: usize,
    /// Finished or voided, and still in the table.
    pub settled: usize,
}

/// All attempts offered to one incarnation of a sidecar.
///
/// Queued and dispatched attempts are never evicted; their number is bounded by the capacity of the
/// queue and the limit of the backend server. Settled ones are forgotten after a retention period,
/// or earlier if there are too many. An attempt can safely be forgotten at any time: a router that
/// asks for it gets `MayHaveRun` unless the attempt was certainly not dispatched. The retention
/// period only determines how long a response can still be fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    boot: Boot,
    entries: BTreeMap<Attempt, Entry>,
    expiries: BTreeSet<(Timestamp, Attempt)>,
    forgotten: ForgottenAttempts,
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
            forgotten: ForgottenAttempts::new(ROUTER_CAPACITY),
            retention: RETENTION,
            unacknowledged_retention: UNACKNOWLEDGED_RETENTION,
            settled_capacity: SETTLED_CAPACITY,
        }
    }

    /// Sets how long voided and acknowledged attempts are kept.
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets how long finished attempts are kept whose response is never acknowledged.
    pub fn with_unacknowledged_retention(mut self, retention: Duration) -> Self {
        self.unacknowledged_retention = retention;
        self
    }

    /// Sets how many settled attempts are kept, and for how many routers bounds are kept.
    pub fn with_capacities(mut self, settled: usize, routers: usize) -> Self {
        self.settled_capacity = settled;
        self.forgotten = ForgottenAttempts::new(routers);
        self
    }

    /// The boot of this incarnation.
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// Queues a new attempt.
    ///
    /// An attempt is queued at most once. A second enqueue is refused, and its verdict is `NotRun`
    /// only if the attempt is void. If `boot` is another boot, the verdict is `MayHaveRun`, since a
    /// copy of the message may have reached that boot; a router that has not granted the attempt
    /// can rule that out ([`crate::grant::GrantTracker::refine_verdict`]).
    pub fn enqueue(&mut self, attempt: Attempt, boot: Boot, now: Timestamp) -> Result<(), Failure> {
        if boot != self.boot {
            return Err(Failure::may_have_run(Reason::WrongIncarnation));
        }
        self.forgotten.prepare_enqueue(attempt, now);
        match self.state(attempt) {
            State::Unknown => {
                self.put(attempt, State::Waiting, now, None);
                Ok(())
            }
            state => Err(state.refusal()),
        }
    }

    /// Records that the router is asked for a grant; returns false if the attempt is not waiting.
    pub fn offer(&mut self, attempt: Attempt) -> bool {
        let waiting = self.state(attempt) == State::Waiting;
        if waiting {
            self.advance(attempt, State::Offered, None);
        }
        waiting
    }

    /// Dispatches a queued attempt. The caller must send the request if and only if this returns
    /// `Ok`.
    ///
    /// An attempt that has been queued for longer than [`LIFETIME`] is voided instead, and so is an
    /// unknown one. The verdict of the failure is `NotRun` if the attempt is void. If `boot` is
    /// another boot, it is `MayHaveRun`, since a copy of the grant may have reached that boot.
    pub fn grant(&mut self, attempt: Attempt, boot: Boot, now: Timestamp) -> Result<(), Failure> {
        if boot != self.boot {
            return Err(Failure::may_have_run(Reason::WrongIncarnation));
        }
        if self.state(attempt).is_queued() && !self.exceeds_lifetime(attempt, now) {
            self.advance(attempt, State::Dispatched, None);
            return Ok(());
        }
        self.void(attempt, now).map_err(State::refusal)?;
        Err(State::Voided.refusal())
    }

    /// Ensures that an attempt will never be dispatched.
    ///
    /// # Errors
    ///
    /// The state of the attempt if it was dispatched, or may have been.
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

    /// Voids a dispatched attempt of which nothing was sent, for example because no connection to
    /// the backend server could be opened; returns false if the attempt is not dispatched.
    pub fn abort(&mut self, attempt: Attempt, now: Timestamp) -> bool {
        let dispatched = self.state(attempt) == State::Dispatched;
        if dispatched {
            self.advance(attempt, State::Voided, Some(now.plus(self.retention)));
        }
        dispatched
    }

    /// Records that the backend server's response is complete, or will never be completed.
    pub fn finish(&mut self, attempt: Attempt, now: Timestamp) {
        if self.state(attempt) == State::Dispatched {
            let expiry = now.plus(self.unacknowledged_retention);
            self.advance(attempt, State::Finished, Some(expiry));
        }
    }

    /// Reports the outcome of an attempt to a router; voids the attempt if it was not dispatched.
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

    /// Records that the router has received the complete response of a finished attempt.
    pub fn acknowledge(&mut self, attempt: Attempt, now: Timestamp) {
        let expiry = self.entries.get(&attempt).and_then(|entry| entry.expiry);
        if self.state(attempt) == State::Finished {
            let earliest = now.plus(self.retention);
            let expiry = expiry.map_or(earliest, |expiry| expiry.min(earliest));
            self.advance(attempt, State::Finished, Some(expiry));
        }
    }

    /// Forgets settled attempts that are past their retention period or exceed the capacity.
    ///
    /// Returns these attempts; their responses need not be kept any longer.
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

    /// The state of an attempt.
    pub fn state(&self, attempt: Attempt) -> State {
        match self.entries.get(&attempt) {
            Some(entry) => entry.state,
            None if self.forgotten.may_have_run(attempt) => State::Forgotten,
            None if self.forgotten.may_have_settled(attempt) => State::ForgottenVoided,
            None => State::Unknown,
        }
    }

    /// The number of attempts in each state.
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

    fn exceeds_lifetime(&self, attempt: Attempt, now: Timestamp) -> bool {
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
