//! Claims a request before its grant.

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

/// Prefix of the claims' keys in the key-value service.
const PREFIX: &str = "tamarackdale/claims/";

/// Time that a claim may take for a request that is served even if it is late.
const LATE_LIMIT: Duration = Duration::from_secs(4);

/// What came of a claim.
pub enum Claimed {
    /// The attempt may be granted.
    Held,
    /// Another attempt runs the request.
    Elsewhere {
        /// Its sidecar.
        peer: Peer,
        /// The attempt.
        attempt: Attempt,
    },
    /// The attempt must not be granted.
    Refused(Failure),
}

/// A claim under way.
pub struct Claim<'a> {
    context: &'a Context,
    placed: &'a Assignment,
    key: String,
    machine: Machine,
    /// The sidecar named by the record that was last read.
    rival: Option<Peer>,
}

/// Why an action has no event for the machine.
enum Stop {
    /// The key-value service cannot be used.
    Unavailable(Failure),
    /// What stands under the key cannot be understood.
    Unreadable,
}

impl<'a> Claim<'a> {
    /// A claim for the attempt at the sidecar that placement chose; `withdrawn` are the request's
    /// earlier attempts, which are not granted and will not be.
    pub fn new(
        context: &'a Context,
        request: &InboundRequest,
        placed: &'a Assignment,
        withdrawn: &[Attempt],
        deadline: Timestamp,
    ) -> Self {
        let record = Record {
            nonce: Nonce(rand::random()),
            incarnation: placed.peer.incarnation.clone(),
            attempt: placed.attempt,
            fingerprint: request.fingerprint(),
        };
        let late = context.clock.now().plus(LATE_LIMIT);
        let deadline = if request.finish_late { late } else { deadline };
        Self {
            context,
            placed,
            key: key(&request.id),
            machine: Machine::new(record, deadline).with_withdrawn(withdrawn),
            rival: None,
        }
    }

    /// Claims the request. Can be dropped halfway; nothing is granted then.
    pub async fn hold(mut self) -> Claimed {
        let mut step = self.machine.start();
        loop {
            if !step.delay.is_zero() {
                tokio::time::sleep(step.delay).await;
            }
            let event = match step.action {
                Action::Grant => return Claimed::Held,
                Action::Fail(failure) => return Claimed::Refused(failure),
                Action::Attach {
                    incarnation,
                    attempt,
                } => return self.elsewhere(&incarnation, attempt),
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
                Err(Stop::Unavailable(failure)) => self.machine.abandon(failure),
                Err(Stop::Unreadable) => self
                    .machine
                    .abandon(Failure::may_have_run(Reason::Duplicate)),
            };
            match next {
                Some(next) => step = next,
                None => return Claimed::Refused(Failure::may_have_run(Reason::Duplicate)),
            }
        }
    }

    async fn call(&mut self, call: Call) -> Result<Event, Stop> {
        let outcome = self.context.claims.call(&self.key, call).await;
        match outcome.map_err(Stop::Unavailable)? {
            Outcome::Written => Ok(Event::Written),
            Outcome::Conflict(entry) => Ok(Event::Conflict(self.decode(entry)?)),
            Outcome::Read(entry) => Ok(Event::Read(self.decode(entry)?)),
            Outcome::Lost => Ok(Event::Lost),
            Outcome::Down => {
                let known = self.context.claims.check_available().err();
                let failure = known.unwrap_or(Failure::not_run(Reason::StoreUnavailable));
                Err(Stop::Unavailable(failure))
            }
        }
    }

    /// Asks the sidecar of another attempt what became of it.
    async fn resume(&self, incarnation: &Incarnation, attempt: Attempt) -> Event {
        let Some(peer) = self.rival_at(incarnation) else {
            return Event::Gone;
        };
        let resume = Resume {
            attempt: attempt.into(),
            boot: incarnation.boot.0,
            offset: 0,
            head_received: false,
        };
        let mut frames = match self.context.peers.resume(peer, &resume).await {
            Ok(frames) => frames,
            Err(CallError::ConnectionRefused) => return Event::Gone,
            Err(CallError::NoAnswer) => return Event::Unreachable,
        };
        match frames.next().await {
            Ok(Frame::Failed(failure)) => Event::Resumed(not_running(failure_from_wire(failure))),
            Ok(_) => Event::Resumed(Resumption::Running),
            Err(_) => Event::Unreachable,
        }
    }

    fn elsewhere(&self, incarnation: &Incarnation, attempt: Attempt) -> Claimed {
        match self.rival_at(incarnation) {
            Some(peer) => Claimed::Elsewhere {
                peer: peer.clone(),
                attempt,
            },
            None => Claimed::Refused(Failure::may_have_run(Reason::Duplicate)),
        }
    }

    fn rival_at(&self, incarnation: &Incarnation) -> Option<&Peer> {
        self.rival
            .as_ref()
            .filter(|peer| peer.incarnation == *incarnation)
    }

    fn encode(&self, record: &Record) -> Vec<u8> {
        let record = claim::Record::new(record, self.address());
        let encoded = codec::encode(&record).expect("a record of numbers and names has a form");
        encoded.to_vec()
    }

    fn address(&self) -> SocketAddr {
        self.placed.peer.address
    }

    fn decode(&mut self, entry: Option<kv::Entry>) -> Result<Option<Version>, Stop> {
        let Some(entry) = entry else {
            return Ok(None);
        };
        let Ok(stored) = codec::decode::<claim::Record>(&entry.value) else {
            log::error!(key = self.key.as_str(); "the claim cannot be read");
            return Err(Stop::Unreadable);
        };
        let address = stored.address;
        let record = Record::from(stored);
        self.rival = Some(Peer {
            incarnation: record.incarnation.clone(),
            address,
        });
        Ok(Some(Version {
            record,
            revision: Revision(entry.revision),
        }))
    }
}

/// What a sidecar's refusal to resume says of the attempt.
fn not_running(failure: Failure) -> Resumption {
    match failure.verdict {
        Verdict::NotRun => Resumption::Voided,
        _ => Resumption::Unknown(failure),
    }
}

fn key(request: &id::Request) -> String {
    format!("{PREFIX}{request}")
}
