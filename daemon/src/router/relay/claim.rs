//! Claims a request in the key-value store before it is granted.

use {
    crate::router::{
        claims::{Call, Outcome},
        context::Context,
        inbound::InboundRequest,
        peer::{CallError, Peer, failure_from_wire},
        placement::Assignment,
    },
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::{
        attempt::Resumption,
        claim::{Action, Event, Machine, Nonce, Record, Revision, Version},
        failure::{Failure, Reason},
        id::{self, Attempt, Incarnation},
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_store::kv,
    tamarackdale_wire::{Frame, claim, codec, message::Resume},
};

/// Prefix of the keys of claims in the key-value store.
const PREFIX: &str = "tamarackdale/claims/";

/// Time limit of a claim for a request that is served even after its deadline.
const LATE_CLAIM_LIMIT: Duration = Duration::from_secs(4);

/// Outcome of a claim.
pub enum ClaimOutcome {
    /// The attempt may be granted.
    Held,
    /// Another attempt runs the request.
    RunningElsewhere {
        /// Sidecar of the other attempt.
        peer: Peer,
        /// The other attempt.
        attempt: Attempt,
    },
    /// The attempt must not be granted.
    Refused(Failure),
}

/// A claim in progress.
pub struct Claim<'a> {
    context: &'a Context,
    assignment: &'a Assignment,
    key: String,
    machine: Machine,
    nonce: Nonce,
    withdrawn: &'a [Attempt],
    /// Whether the record that was last read is that of an attempt which may run.
    knows_other_attempt: bool,
    /// The sidecar named in the record that was last read.
    other_peer: Option<Peer>,
}

/// Error of an action, which ends the state machine instead of giving it an event.
enum ClaimError {
    /// The key-value store is not available.
    Unavailable(Failure),
    /// The entry under the key cannot be decoded.
    Unreadable,
}

impl<'a> Claim<'a> {
    /// Creates a claim for the assigned attempt. `withdrawn` are the earlier attempts of the
    /// request, which have not been granted and never will be.
    pub fn new(
        context: &'a Context,
        request: &InboundRequest,
        assignment: &'a Assignment,
        withdrawn: &'a [Attempt],
        deadline: Timestamp,
    ) -> Self {
        let record = Record {
            nonce: Nonce(rand::random()),
            incarnation: assignment.peer.incarnation.clone(),
            attempt: assignment.attempt,
            fingerprint: request.fingerprint(),
        };
        let nonce = record.nonce;
        let late = context.clock.now().plus(LATE_CLAIM_LIMIT);
        let deadline = if request.finish_late { late } else { deadline };
        Self {
            context,
            assignment,
            key: key(&request.id),
            machine: Machine::new(record, deadline).with_withdrawn(withdrawn),
            nonce,
            withdrawn,
            knows_other_attempt: false,
            other_peer: None,
        }
    }

    /// Claims the request. Cancel safe: nothing is granted if the future is dropped.
    pub async fn acquire(&mut self) -> ClaimOutcome {
        let mut step = self.machine.start();
        loop {
            if !step.delay.is_zero() {
                tokio::time::sleep(step.delay).await;
            }
            let event = match step.action {
                Action::Grant => return ClaimOutcome::Held,
                Action::Fail(failure) => return ClaimOutcome::Refused(failure),
                Action::Attach {
                    incarnation,
                    attempt,
                } => return self.running_elsewhere(&incarnation, attempt),
                Action::Create(record) => {
                    let value = self.encode(&record);
                    self.call(Call::Create(value)).await
                }
                Action::Replace { record, revision } => {
                    log::info!(
                        key = self.key.as_str(),
                        attempt:% = record.attempt;
                        "claim taken over"
                    );
                    let value = self.encode(&record);
                    let revision = revision.0;
                    self.call(Call::Replace { value, revision }).await
                }
                Action::Read => self.call(Call::Read).await,
                Action::Resume {
                    incarnation,
                    attempt,
                } => Ok(self.resume(&incarnation, attempt).await),
            };
            let next = match event {
                Ok(event) => self.machine.handle(event, self.context.clock.now()),
                Err(ClaimError::Unavailable(failure)) => self.machine.abandon(failure),
                Err(ClaimError::Unreadable) => self
                    .machine
                    .abandon(Failure::may_have_run(Reason::Duplicate)),
            };
            match next {
                Some(next) => step = next,
                None => return ClaimOutcome::Refused(Failure::may_have_run(Reason::Duplicate)),
            }
        }
    }

    /// The failure of a claim that is given up for this reason before its outcome is known. The verdict
    /// is `NotRun` only if no attempt is known that may run.
    pub fn given_up(&self, reason: Reason) -> Failure {
        match self.knows_other_attempt {
            true => Failure::may_have_run(reason),
            false => Failure::not_run(reason),
        }
    }

    async fn call(&mut self, call: Call) -> Result<Event, ClaimError> {
        let outcome = self.context.claims.call(&self.key, call).await;
        match outcome.map_err(ClaimError::Unavailable)? {
            Outcome::Written => Ok(Event::Written),
            Outcome::Conflict(entry) => Ok(Event::Conflict(self.decode(entry)?)),
            Outcome::Read(entry) => Ok(Event::Read(self.decode(entry)?)),
            Outcome::Unknown => Ok(Event::NoResponse),
            Outcome::Down => {
                let known = self.context.claims.check_available().err();
                let failure = known.unwrap_or(Failure::not_run(Reason::StoreUnavailable));
                Err(ClaimError::Unavailable(failure))
            }
        }
    }

    /// Asks the sidecar of another attempt for the state of that attempt.
    async fn resume(&self, incarnation: &Incarnation, attempt: Attempt) -> Event {
        let Some(peer) = self.other_peer_at(incarnation) else {
            return Event::IncarnationEnded;
        };
        let resume = Resume {
            attempt: attempt.into(),
            boot: incarnation.boot.0,
            offset: 0,
            head_received: false,
        };
        let mut frames = match self.context.peers.resume(peer, &resume).await {
            Ok(frames) => frames,
            Err(CallError::ConnectionRefused) => return Event::IncarnationEnded,
            Err(CallError::NoResponse) => return Event::Unreachable,
        };
        match frames.next().await {
            Ok(Frame::Failed(failure)) => Event::Resumed(resumption(failure_from_wire(failure))),
            Ok(_) => Event::Resumed(Resumption::Running),
            Err(_) => Event::Unreachable,
        }
    }

    fn running_elsewhere(&self, incarnation: &Incarnation, attempt: Attempt) -> ClaimOutcome {
        match self.other_peer_at(incarnation) {
            Some(peer) => ClaimOutcome::RunningElsewhere {
                peer: peer.clone(),
                attempt,
            },
            None => ClaimOutcome::Refused(Failure::may_have_run(Reason::Duplicate)),
        }
    }

    fn other_peer_at(&self, incarnation: &Incarnation) -> Option<&Peer> {
        self.other_peer
            .as_ref()
            .filter(|peer| peer.incarnation == *incarnation)
    }

    fn encode(&self, record: &Record) -> Vec<u8> {
        let record = claim::Record::new(record, self.address());
        let encoded = codec::encode(&record).expect("claim records can always be encoded");
        encoded.to_vec()
    }

    fn address(&self) -> SocketAddr {
        self.assignment.peer.address
    }

    fn decode(&mut self, entry: Option<kv::Entry>) -> Result<Option<Version>, ClaimError> {
        let Some(entry) = entry else {
            return Ok(None);
        };
        let Ok(stored) = codec::decode::<claim::Record>(&entry.value) else {
            log::error!(key = self.key.as_str(); "failed to decode the claim");
            return Err(ClaimError::Unreadable);
        };
        let address = stored.address;
        let record = Record::from(stored);
        self.knows_other_attempt =
            record.nonce != self.nonce && !self.withdrawn.contains(&record.attempt);
        self.other_peer = Some(Peer {
            incarnation: record.incarnation.clone(),
            address,
        });
        Ok(Some(Version {
            record,
            revision: Revision(entry.revision),
        }))
    }
}

/// Returns what a sidecar's refusal to resume means for the attempt.
fn resumption(failure: Failure) -> Resumption {
    match failure.verdict {
        Verdict::NotRun => Resumption::Voided,
        _ => Resumption::Unknown(failure),
    }
}

fn key(request: &id::Request) -> String {
    format!("{PREFIX}{request}")
}
