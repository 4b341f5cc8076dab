//! The router's side of one claim.

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

/// Calls without an answer, to the key-value service or to a sidecar, before the machine gives up.
const MAX_LOST: u32 = 4;

/// Records of other attempts met before the machine gives up.
const MAX_RIVALS: u32 = 4;

/// Delays before a call is repeated.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_millis(320));

/// Delay after which a caller may try again that found the key-value service unreachable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Which result the machine waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The result of a write.
    Writing,
    /// The record as it stands, after a write whose result is unknown.
    Reading,
    /// What became of another attempt.
    Resuming(Version),
    /// Nothing: the last action has been given out.
    Closed,
}

/// Decides step by step whether an attempt of a non-idempotent request may be granted.
///
/// The caller carries out each action and reports its result, until the action is `Grant`,
/// `Attach` or `Fail`. Dropping a machine halfway is always safe, since it has granted nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    record: Record,
    deadline: Timestamp,
    state: State,
    /// Revision of a record whose attempt is proved void, the one to replace.
    voided: Option<Revision>,
    /// Attempts that this router did not grant and will not.
    withdrawn: Vec<Attempt>,
    lost: u32,
    rivals: u32,
}

impl Machine {
    /// A machine that is to claim a request for the attempt in `record` before `deadline`.
    pub fn new(record: Record, deadline: Timestamp) -> Self {
        Self {
            record,
            deadline,
            state: State::Writing,
            voided: None,
            withdrawn: Vec::new(),
            lost: 0,
            rivals: 0,
        }
    }

    /// Names earlier attempts of this router that it has released from its ledger. Their records
    /// can be replaced without asking their sidecars, which may have gone: nobody else grants them.
    pub fn with_withdrawn(mut self, attempts: &[Attempt]) -> Self {
        self.withdrawn = attempts.to_vec();
        self
    }

    /// The first action.
    pub fn start(&mut self) -> Step {
        self.write()
    }

    /// The record that the machine tries to write.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Takes in the result of the last action and gives the next one.
    ///
    /// A result that does not belong to the last action is answered by reading the record anew,
    /// which is safe in any state but the last; there it is ignored.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Option<Step> {
        let state = self.state.clone();
        let step = match (state, event) {
            (State::Closed, _) => return None,
            (State::Writing, Event::Written) => self.close(Action::Grant),
            (State::Writing, Event::Conflict(found)) => self.judge(found),
            (State::Reading, Event::Read(found)) => self.judge(found),
            (State::Resuming(rival), Event::Resumed(resumption)) => self.resume(rival, resumption),
            (State::Resuming(rival), Event::Unreachable) => self.retry(ask(&rival), now),
            (State::Resuming(_), Event::IncarnationEnded) => self.fail(duplicate()),
            (State::Writing | State::Reading, Event::NoResponse) => {
                self.state = State::Reading;
                self.retry(Action::Read, now)
            }
            _ => self.read(),
        };
        Some(step)
    }

    /// Gives up, for instance since the key-value service is known to be down.
    ///
    /// The verdict is `NotRun` unless another attempt of the request is known whose fate is not.
    pub fn abandon(&mut self, failure: Failure) -> Option<Step> {
        match self.state {
            State::Closed => None,
            State::Resuming(_) => Some(self.fail(duplicate())),
            _ => Some(self.fail(failure)),
        }
    }

    /// Goes on from what stands under the key.
    fn judge(&mut self, found: Option<Version>) -> Step {
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
        self.rivals += 1;
        if self.rivals > MAX_RIVALS {
            return self.fail(duplicate());
        }
        let action = ask(&found);
        self.state = State::Resuming(found);
        at_once(action)
    }

    fn resume(&mut self, rival: Version, resumption: Resumption) -> Step {
        match resumption {
            Resumption::Running | Resumption::Finished => self.close(Action::Attach {
                incarnation: rival.record.incarnation,
                attempt: rival.record.attempt,
            }),
            Resumption::Voided => {
                self.voided = Some(rival.revision);
                self.write()
            }
            Resumption::Unknown(_) => self.fail(duplicate()),
        }
    }

    /// Writes the record, over the one that is proved void if there is one.
    fn write(&mut self) -> Step {
        self.state = State::Writing;
        let record = self.record.clone();
        at_once(match self.voided {
            Some(revision) => Action::Replace { record, revision },
            None => Action::Create(record),
        })
    }

    fn read(&mut self) -> Step {
        self.state = State::Reading;
        at_once(Action::Read)
    }

    /// Repeats a call that was not answered, within bounds.
    fn retry(&mut self, action: Action, now: Timestamp) -> Step {
        let delay = BACKOFF.delay(self.lost, self.nonce().0);
        self.lost += 1;
        if self.lost > MAX_LOST || now.plus(delay) >= self.deadline {
            let failure = Failure::not_run(Reason::StoreUnavailable);
            return match self.state {
                State::Resuming(_) => self.fail(duplicate()),
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
        at_once(action)
    }

    fn nonce(&self) -> Nonce {
        self.record.nonce
    }
}

fn at_once(action: Action) -> Step {
    Step {
        action,
        delay: Duration::ZERO,
    }
}

fn ask(rival: &Version) -> Action {
    Action::Resume {
        incarnation: rival.record.incarnation.clone(),
        attempt: rival.record.attempt,
    }
}

/// The failure of a request whose claim is held by an attempt that may have run.
fn duplicate() -> Failure {
    Failure::may_have_run(Reason::Duplicate)
}
