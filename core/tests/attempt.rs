//! The sidecar's table of attempts.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        attempt::{Resumption, State, Table},
        failure::{Failure, Reason},
        id::{Attempt, Boot},
        time::Timestamp,
    },
};

const BOOT: Boot = Boot(7);
const OTHER_BOOT: Boot = Boot(8);
const NOW: Timestamp = Timestamp::START;
const RETENTION: Duration = Duration::from_secs(10);
const LATER: Timestamp = Timestamp::from_millis(60 * 60 * 1_000);

fn attempt(sequence: u64) -> Attempt {
    Attempt {
        router: Boot(1),
        sequence,
    }
}

fn table() -> Table {
    Table::new(BOOT)
        .with_retention(RETENTION)
        .with_unacknowledged_retention(RETENTION)
}

/// A table in which attempt 5 is in the given state.
fn table_at(state: State) -> Table {
    let mut table = table();
    if state == State::Unknown {
        return table;
    }
    table.enqueue(attempt(5), BOOT, NOW).expect("queued");
    if matches!(state, State::Voided | State::ForgottenVoided) {
        table.void(attempt(5), NOW).expect("voided");
    }
    if state == State::Offered {
        assert!(table.offer(attempt(5)));
    }
    if state.may_have_run() {
        table.grant(attempt(5), BOOT, NOW).expect("dispatched");
    }
    if matches!(state, State::Finished | State::Forgotten) {
        table.finish(attempt(5), NOW);
    }
    if matches!(state, State::ForgottenVoided | State::Forgotten) {
        table.sweep(LATER);
    }
    assert_eq!(table.state(attempt(5)), state);
    table
}

#[rstest]
#[case(State::Unknown, None)]
#[case(State::Waiting, Some(Failure::may_have_run(Reason::Void)))]
#[case(State::Offered, Some(Failure::may_have_run(Reason::Void)))]
#[case(State::Dispatched, Some(Failure::may_have_run(Reason::Void)))]
#[case(State::Finished, Some(Failure::may_have_run(Reason::Void)))]
#[case(State::Voided, Some(Failure::not_run(Reason::Void)))]
#[case(State::ForgottenVoided, Some(Failure::not_run(Reason::Void)))]
#[case(State::Forgotten, Some(Failure::may_have_run(Reason::Void)))]
fn enqueue_happens_once(#[case] state: State, #[case] refusal: Option<Failure>) {
    let mut table = table_at(state);

    let result = table.enqueue(attempt(5), BOOT, NOW);

    assert_eq!(result.err(), refusal);
}

#[rstest]
#[case(State::Unknown, Some(Failure::not_run(Reason::Void)), State::Voided)]
#[case(State::Waiting, None, State::Dispatched)]
#[case(State::Offered, None, State::Dispatched)]
#[case(
    State::Dispatched,
    Some(Failure::may_have_run(Reason::Void)),
    State::Dispatched
)]
#[case(
    State::Finished,
    Some(Failure::may_have_run(Reason::Void)),
    State::Finished
)]
#[case(State::Voided, Some(Failure::not_run(Reason::Void)), State::Voided)]
#[case(
    State::ForgottenVoided,
    Some(Failure::not_run(Reason::Void)),
    State::ForgottenVoided
)]
#[case(
    State::Forgotten,
    Some(Failure::may_have_run(Reason::Void)),
    State::Forgotten
)]
fn grant_dispatches_queued_attempts_only(
    #[case] state: State,
    #[case] refusal: Option<Failure>,
    #[case] after: State,
) {
    let mut table = table_at(state);

    let result = table.grant(attempt(5), BOOT, NOW);

    assert_eq!(result.err(), refusal);
    assert_eq!(table.state(attempt(5)), after);
}

#[rstest]
#[case(State::Unknown, Resumption::Voided)]
#[case(State::Waiting, Resumption::Voided)]
#[case(State::Offered, Resumption::Voided)]
#[case(State::Dispatched, Resumption::Running)]
#[case(State::Finished, Resumption::Finished)]
#[case(State::Voided, Resumption::Voided)]
#[case(State::ForgottenVoided, Resumption::Voided)]
#[case(
    State::Forgotten,
    Resumption::Unknown(Failure::may_have_run(Reason::Void))
)]
fn resume_voids_what_was_not_dispatched(#[case] state: State, #[case] expected: Resumption) {
    let mut table = table_at(state);

    let resumption = table.resume(attempt(5), BOOT, NOW);

    assert_eq!(resumption, expected);
    if expected == Resumption::Voided {
        assert!(table.enqueue(attempt(5), BOOT, NOW).is_err());
        assert!(table.grant(attempt(5), BOOT, NOW).is_err());
    }
}

#[test]
fn other_boots_are_refused() {
    let mut table = table_at(State::Waiting);

    let enqueue = table.enqueue(attempt(6), OTHER_BOOT, NOW);
    let grant = table.grant(attempt(5), OTHER_BOOT, NOW);
    let resumption = table.resume(attempt(5), OTHER_BOOT, NOW);

    let unsure = Failure::may_have_run(Reason::WrongIncarnation);
    assert_eq!(enqueue, Err(Failure::not_run(Reason::WrongIncarnation)));
    assert_eq!(grant, Err(unsure));
    assert_eq!(resumption, Resumption::Unknown(unsure));
    assert_eq!(table.state(attempt(5)), State::Waiting);
}
