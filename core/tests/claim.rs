//! Transitions of the claim state machine.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        attempt::Resumption,
        claim::{Action, Event, Machine, Nonce, Record, Revision, Version},
        failure::{Failure, Reason},
        id::{Attempt, Boot, Incarnation, Instance},
        time::Timestamp,
    },
};

const NOW: Timestamp = Timestamp::START;
const DEADLINE: Timestamp = Timestamp::from_millis(60_000);
const FINGERPRINT: u64 = 99;
const OWN: u64 = 1;
const OTHER: u64 = 2;

fn record(writer: u64) -> Record {
    Record {
        nonce: Nonce(writer),
        incarnation: incarnation(writer),
        attempt: attempt(writer),
        fingerprint: FINGERPRINT,
    }
}

fn incarnation(writer: u64) -> Incarnation {
    Incarnation {
        instance: Instance(format!("sidecar-{writer}")),
        boot: Boot(writer),
    }
}

fn attempt(writer: u64) -> Attempt {
    Attempt {
        router: Boot(writer),
        sequence: 0,
    }
}

fn version(writer: u64, revision: i64) -> Option<Version> {
    Some(Version {
        record: record(writer),
        revision: Revision(revision),
    })
}

fn other_payload() -> Option<Version> {
    let mut found = version(OTHER, 5);
    if let Some(version) = &mut found {
        version.record.fingerprint += 1;
    }
    found
}

fn create() -> Action {
    Action::Create(record(OWN))
}

fn replace(revision: i64) -> Action {
    Action::Replace {
        record: record(OWN),
        revision: Revision(revision),
    }
}

fn resume(writer: u64) -> Action {
    Action::Resume {
        incarnation: incarnation(writer),
        attempt: attempt(writer),
    }
}

fn attach() -> Action {
    Action::Attach {
        incarnation: incarnation(OTHER),
        attempt: attempt(OTHER),
    }
}

fn unavailable() -> Action {
    let failure = Failure::not_run(Reason::StoreUnavailable);
    Action::Fail(failure.with_retry_after(Duration::from_secs(1)))
}

fn unknown(reason: Reason) -> Action {
    Action::Fail(Failure::may_have_run(reason))
}

fn resumed(resumption: Resumption) -> Event {
    Event::Resumed(resumption)
}

fn no_proof() -> Event {
    resumed(Resumption::Unknown(Failure::may_have_run(Reason::Void)))
}

/// Feeds events to a machine and returns all its actions.
fn run(events: Vec<Event>, deadline: Timestamp) -> Vec<Action> {
    let mut machine = Machine::new(record(OWN), deadline);
    let mut actions = vec![machine.start().action];
    for event in events {
        let step = machine.handle(event, NOW);
        actions.extend(step.map(|step| step.action));
    }
    actions
}

#[rstest]
#[case::no_claim(vec![Event::Written], vec![create(), Action::Grant])]
#[case::no_response_but_written(
    vec![Event::NoResponse, Event::Read(version(OWN, 5))],
    vec![create(), Action::Read, Action::Grant],
)]
#[case::no_response_and_not_written(
    vec![Event::NoResponse, Event::Read(None), Event::Written],
    vec![create(), Action::Read, create(), Action::Grant],
)]
#[case::written_late(
    vec![Event::NoResponse, Event::Read(None), Event::Conflict(version(OWN, 5))],
    vec![create(), Action::Read, create(), Action::Grant],
)]
#[case::store_does_not_respond(
    vec![Event::NoResponse; 5],
    vec![create(), Action::Read, Action::Read, Action::Read, Action::Read, unavailable()],
)]
#[case::running_elsewhere(
    vec![Event::Conflict(version(OTHER, 5)), resumed(Resumption::Running)],
    vec![create(), resume(OTHER), attach()],
)]
#[case::finished_elsewhere(
    vec![Event::NoResponse, Event::Read(version(OTHER, 5)), resumed(Resumption::Finished)],
    vec![create(), Action::Read, resume(OTHER), attach()],
)]
#[case::voided_elsewhere(
    vec![Event::Conflict(version(OTHER, 5)), resumed(Resumption::Voided), Event::Written],
    vec![create(), resume(OTHER), replace(5), Action::Grant],
)]
#[case::takeover_no_response_but_written(
    vec![
        Event::Conflict(version(OTHER, 5)),
        resumed(Resumption::Voided),
        Event::NoResponse,
        Event::Read(version(OWN, 6)),
    ],
    vec![create(), resume(OTHER), replace(5), Action::Read, Action::Grant],
)]
#[case::takeover_no_response_and_not_written(
    vec![
        Event::Conflict(version(OTHER, 5)),
        resumed(Resumption::Voided),
        Event::NoResponse,
        Event::Read(version(OTHER, 5)),
        Event::Written,
    ],
    vec![create(), resume(OTHER), replace(5), Action::Read, replace(5), Action::Grant],
)]
#[case::takeover_conflicts_with_another(
    vec![
        Event::Conflict(version(OTHER, 5)),
        resumed(Resumption::Voided),
        Event::Conflict(version(3, 6)),
        resumed(Resumption::Voided),
        Event::Written,
    ],
    vec![create(), resume(OTHER), replace(5), resume(3), replace(6), Action::Grant],
)]
#[case::claim_expired_meanwhile(
    vec![
        Event::Conflict(version(OTHER, 5)),
        resumed(Resumption::Voided),
        Event::Conflict(None),
        Event::Written,
    ],
    vec![create(), resume(OTHER), replace(5), create(), Action::Grant],
)]
#[case::incarnation_ended(
    vec![Event::Conflict(version(OTHER, 5)), Event::IncarnationEnded],
    vec![create(), resume(OTHER), unknown(Reason::Duplicate)],
)]
#[case::no_proof(
    vec![Event::Conflict(version(OTHER, 5)), no_proof()],
    vec![create(), resume(OTHER), unknown(Reason::Duplicate)],
)]
#[case::sidecar_does_not_respond(
    vec![
        Event::Conflict(version(OTHER, 5)),
        Event::Unreachable,
        Event::Unreachable,
        Event::Unreachable,
        Event::Unreachable,
        Event::Unreachable,
    ],
    vec![
        create(),
        resume(OTHER),
        resume(OTHER),
        resume(OTHER),
        resume(OTHER),
        resume(OTHER),
        unknown(Reason::Duplicate),
    ],
)]
#[case::other_payload(
    vec![Event::Conflict(other_payload())],
    vec![create(), unknown(Reason::KeyReused)],
)]
#[case::closed_machines_ignore_results(
    vec![Event::Written, Event::Read(None), Event::NoResponse],
    vec![create(), Action::Grant],
)]
#[case::late_result_leads_to_a_read(
    vec![Event::NoResponse, Event::Written, Event::Read(version(OWN, 5))],
    vec![create(), Action::Read, Action::Read, Action::Grant],
)]
fn events_lead_to_actions(#[case] events: Vec<Event>, #[case] expected: Vec<Action>) {
    let actions = run(events, DEADLINE);

    assert_eq!(actions, expected);
}

#[test]
fn machine_does_not_wait_past_the_deadline() {
    let actions = run(vec![Event::NoResponse], NOW);

    assert_eq!(actions, vec![create(), unavailable()]);
}

#[rstest]
#[case::writing(vec![], Some(Failure::not_run(Reason::StoreUnavailable)))]
#[case::reading(vec![Event::NoResponse], Some(Failure::not_run(Reason::StoreUnavailable)))]
#[case::other_attempt_open(
    vec![Event::Conflict(version(OTHER, 5))],
    Some(Failure::may_have_run(Reason::Duplicate)),
)]
#[case::other_attempt_void(
    vec![Event::Conflict(version(OTHER, 5)), resumed(Resumption::Voided)],
    Some(Failure::not_run(Reason::StoreUnavailable)),
)]
#[case::closed(vec![Event::Written], None)]
fn abandoning_fails_with_the_known_verdict(
    #[case] events: Vec<Event>,
    #[case] expected: Option<Failure>,
) {
    let mut machine = Machine::new(record(OWN), DEADLINE);
    machine.start();
    for event in events {
        machine.handle(event, NOW);
    }

    let step = machine.abandon(Failure::not_run(Reason::StoreUnavailable));

    assert_eq!(step.map(|step| step.action), expected.map(Action::Fail));
}

#[test]
fn own_withdrawn_attempt_is_replaced_without_asking_its_sidecar() {
    let mut machine = Machine::new(record(OWN), DEADLINE).with_withdrawn(&[attempt(OTHER)]);
    machine.start();

    let replaced = machine.handle(Event::Conflict(version(OTHER, 5)), NOW);
    let granted = machine.handle(Event::Written, NOW);

    assert_eq!(replaced.map(|step| step.action), Some(replace(5)));
    assert_eq!(granted.map(|step| step.action), Some(Action::Grant));
}
