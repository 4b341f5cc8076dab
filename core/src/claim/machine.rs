//! The state machine by which a router makes a claim.

use {
    super::{Action, Event, Nonce, Record, Revision, Step, Version},
    crate::{
        attempt::Resumption,
        failure::{Failure, Reason},
        id::Attempt,
        retry::Backoff,
        time::Timestamp,
    },
    std::time::Duration,
};

/// Number of calls to the key-value store or to a sidecar that may get no response.
const MAX_FAILED_CALLS: u32 = 4;

/// Number of other attempts' records that are resolved before the machine gives up.
const MAX_CONFLICTS: u32 = 4;

/// Delays before a call is retried.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_millis(320));

/// Retry delay given to callers while the key-value store is unreachable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result that the machine waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Result of a write.
    Writing,
    /// Current record, after a write whose result is unknown.
    Reading,
    /// Outcome of another attempt, which holds this record.
    Resuming(Version),
    /// None: the final action has been returned.
    Closed,
}

/// Decides step by step whether an attempt of a non-idempotent request may be granted.
///
/// The caller performs each action and reports its result, until the action is `Grant`, `Attach` or
/// `Fail`. A machine may be dropped at any time, since it has granted nothing before that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    record: Record,
    deadline: Timestamp,
    state: State,
    /// Revision of the record to replace, whose attempt is proved void.
    voided: Option<Revision>,
    /// Attempts of this router that it has not granted and will not grant.
    withdrawn: Vec<Attempt>,
    failed_calls: u32,
    conflicts: u32,
}

impl Machine {
    /// Creates a machine that claims the request for the attempt in `record` before `deadline`.
    pub fn new(record: Record, deadline: Timestamp) -> Self {
        Self {
            record,
            deadline,
            state: State::Writing,
            voided: None,
            withdrawn: Vec::new(),
            failed_calls: 0,
            conflicts: 0,
        }
    }

    /// Sets the earlier attempts of this router that are no longer reserved in its grant tracker.
    /// Their records can be replaced without asking their sidecars, which may no longer exist,
    /// since only this router could grant them.
    pub fn with_withdrawn(mut self, attempts: &[Attempt]) -> Self {
        self.withdrawn = attempts.to_vec();
        self
    }

    /// Returns the first action.
    pub fn start(&mut self) -> Step {
        self.write()
    }

    /// The record that the machine writes.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Processes the result of the last action and returns the next one.
    ///
    /// After a result that does not match the last action the record is read again, which is safe
    /// in every state. After the final action results are ignored.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Option<Step> {
        let state = self.state.clone();
        let step = match (state, event) {
            (State::Closed, _) => return None,
            (State::Writing, Event::Written) => self.close(Action::Grant),
            (State::Writing, Event::Conflict(found)) => self.handle_record(found),
            (State::Reading, Event::Read(found)) => self.handle_record(found),
            (State::Resuming(other), Event::Resumed(resumption)) => {
                self.handle_resumption(other, resumption)
            }
            (State::Resuming(other), Event::Unreachable) => self.retry(resume_action(&other), now),
            (State::Resuming(_), Event::IncarnationEnded) => self.fail(duplicate_failure()),
            (State::Writing | State::Reading, Event::NoResponse) => {
                self.state = State::Reading;
                self.retry(Action::Read, now)
            }
            _ => self.read(),
        };
        Some(step)
    }

    /// Gives up, for example because the key-value store is known to be down.
    ///
    /// The verdict is `NotRun`, unless another attempt of the request is known and its outcome is
    /// not.
    pub fn abandon(&mut self, failure: Failure) -> Option<Step> {
        match self.state {
            State::Closed => None,
            State::Resuming(_) => Some(self.fail(duplicate_failure())),
            _ => Some(self.fail(failure)),
        }
    }

    /// Continues with the current record, if any.
    fn handle_record(&mut self, found: Option<Version>) -> Step {
        let Some(found) = found else {
            self.voided = None;
            return self.write();
        };
        if found.record.nonce == self.nonce() {
            return self.close(Action::Grant);
        }
        if found.record.fingerprint != self.record.fingerprint {
            return self.fail(Failure::may_have_run(Reason::KeyReused));
        }
        if self.withdrawn.contains(&found.record.attempt) {
            self.voided = Some(found.revision);
        }
        if self.voided == Some(found.revision) {
            return self.write();
        }
        self.conflicts += 1;
        if self.conflicts > MAX_CONFLICTS {
            return self.fail(duplicate_failure());
        }
        let action = resume_action(&found);
        self.state = State::Resuming(found);
        without_delay(action)
    }

    fn handle_resumption(&mut self, other: Version, resumption: Resumption) -> Step {
        match resumption {
            Resumption::Running | Resumption::Finished => self.close(Action::Attach {
                incarnation: other.record.incarnation,
                attempt: other.record.attempt,
            }),
            Resumption::Voided => {
                self.voided = Some(other.revision);
                self.write()
            }
            Resumption::Unknown(_) => self.fail(duplicate_failure()),
        }
    }

    /// Writes the record, replacing the one whose attempt is proved void, if any.
    fn write(&mut self) -> Step {
        self.state = State::Writing;
        let record = self.record.clone();
        without_delay(match self.voided {
            Some(revision) => Action::Replace { record, revision },
            None => Action::Create(record),
        })
    }

    fn read(&mut self) -> Step {
        self.state = State::Reading;
        without_delay(Action::Read)
    }

    /// Retries a call that got no response, unless the retries or the deadline are exhausted.
    fn retry(&mut self, action: Action, now: Timestamp) -> Step {
        let delay = BACKOFF.delay(self.failed_calls, self.nonce().0);
        self.failed_calls += 1;
        if self.failed_calls > MAX_FAILED_CALLS || now.plus(delay) >= self.deadline {
            let failure = Failure::not_run(Reason::StoreUnavailable);
            return match self.state {
                State::Resuming(_) => self.fail(duplicate_failure()),
                _ => self.fail(failure.with_retry_after(STORE_RETRY_AFTER)),
            };
        }
        Step { action, delay }
    }

    fn fail(&mut self, failure: Failure) -> Step {
        self.close(Action::Fail(failure))
    }

    fn close(&mut self, action: Action) -> Step {
        self.state = State::Closed;
        without_delay(action)
    }

    fn nonce(&self) -> Nonce {
        self.record.nonce
    }
}

fn without_delay(action: Action) -> Step {
    Step {
        action,
        delay: Duration::ZERO,
    }
}

fn resume_action(version: &Version) -> Action {
    Action::Resume {
        incarnation: version.record.incarnation.clone(),
        attempt: version.record.attempt,
    }
}

/// The failure of a request whose claim is held by another attempt that may have run.
fn duplicate_failure() -> Failure {
    Failure::may_have_run(Reason::Duplicate)
}
