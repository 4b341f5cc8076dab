//! The sidecar's table of attempts.

use {
    proptest::{
        prelude::*,
        test_runner::{RngAlgorithm, TestRng, TestRunner},
    },
    rstest::rstest,
    std::{collections::BTreeSet, time::Duration},
    tamarackdale_core::{
        attempt::{LIFETIME, Resumption, State, Table},
        failure::{Failure, Reason},
        id::{Attempt, Boot},
        time::Timestamp,
        verdict::Verdict,
    },
};

const BOOT: Boot = Boot(7);
const OTHER_BOOT: Boot = Boot(8);
const NOW: Timestamp = Timestamp::START;
const RETENTION: Duration = Duration::from_secs(10);
const SETTLED_CAPACITY: usize = 3;
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
fn attempt_is_enqueued_at_most_once(#[case] state: State, #[case] refusal: Option<Failure>) {
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
fn resume_voids_attempts_that_were_not_dispatched(
    #[case] state: State,
    #[case] expected: Resumption,
) {
    let mut table = table_at(state);

    let resumption = table.resume(attempt(5), BOOT, NOW);

    assert_eq!(resumption, expected);
    if expected == Resumption::Voided {
        assert!(table.enqueue(attempt(5), BOOT, NOW).is_err());
        assert!(table.grant(attempt(5), BOOT, NOW).is_err());
    }
}

#[test]
fn messages_for_other_boots_are_refused() {
    let mut table = table_at(State::Waiting);

    let enqueue = table.enqueue(attempt(6), OTHER_BOOT, NOW);
    let grant = table.grant(attempt(5), OTHER_BOOT, NOW);
    let resumption = table.resume(attempt(5), OTHER_BOOT, NOW);

    let unsure = Failure::may_have_run(Reason::WrongIncarnation);
    assert_eq!(enqueue, Err(unsure));
    assert_eq!(grant, Err(unsure));
    assert_eq!(resumption, Resumption::Unknown(unsure));
    assert_eq!(table.state(attempt(5)), State::Waiting);
}

#[test]
fn grant_is_refused_after_the_lifetime_of_the_attempt() {
    let mut table = table_at(State::Offered);
    let overdue = NOW.plus(LIFETIME + Duration::from_secs(1));

    let result = table.grant(attempt(5), BOOT, overdue);

    assert_eq!(result, Err(Failure::not_run(Reason::Void)));
    assert_eq!(table.state(attempt(5)), State::Voided);
}

#[test]
fn routers_beyond_the_capacity_get_may_have_run() {
    let mut table = table().with_capacities(0, 1);
    let [old, new, unknown] = [1, 2, 3].map(|router| Attempt {
        router: Boot(router),
        sequence: 0,
    });
    for attempt in [old, new] {
        table.enqueue(attempt, BOOT, NOW).expect("queued");
        table.grant(attempt, BOOT, NOW).expect("dispatched");
        table.finish(attempt, NOW);
        table.sweep(NOW);
    }

    let no_proof = Resumption::Unknown(Failure::may_have_run(Reason::Void));
    assert_eq!(table.resume(old, BOOT, NOW), no_proof);
    assert_eq!(table.resume(new, BOOT, NOW), no_proof);
    assert_eq!(table.resume(unknown, BOOT, NOW), no_proof);
    assert_eq!(table.enqueue(unknown, BOOT, NOW), Ok(()));
    assert_eq!(table.resume(unknown, BOOT, NOW), Resumption::Voided);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Operation {
    Enqueue,
    Offer,
    Grant,
    Void,
    Abort,
    Finish,
    Resume,
    Acknowledge,
    Sweep,
}

fn operations() -> impl Strategy<Value = Vec<(Operation, Attempt, u64)>> {
    let operation = prop::sample::select(vec![
        Operation::Enqueue,
        Operation::Enqueue,
        Operation::Offer,
        Operation::Grant,
        Operation::Grant,
        Operation::Void,
        Operation::Abort,
        Operation::Finish,
        Operation::Resume,
        Operation::Acknowledge,
        Operation::Sweep,
    ]);
    let attempt = (0..2u64, 0..6u64).prop_map(|(router, sequence)| Attempt {
        router: Boot(router),
        sequence,
    });
    prop::collection::vec((operation, attempt, 0..8_000u64), 1..120)
}

/// Reference model: what was actually sent to the backend server, and which attempts the table has
/// reported as not run.
#[derive(Default)]
struct Reference {
    granted: BTreeSet<Attempt>,
    sent: BTreeSet<Attempt>,
    not_run: BTreeSet<Attempt>,
}

impl Reference {
    /// Records that the table has reported the attempt as not run.
    fn record_not_run(&mut self, attempt: Attempt) {
        assert!(!self.sent.contains(&attempt), "{attempt} was sent");
        self.not_run.insert(attempt);
    }

    fn record_result(&mut self, attempt: Attempt, result: Result<(), Failure>) {
        if result.is_err_and(|failure| failure.verdict == Verdict::NotRun) {
            self.record_not_run(attempt);
        }
    }

    /// Applies one operation to the table and compares its result with what was sent.
    fn apply(&mut self, table: &mut Table, operation: Operation, attempt: Attempt, now: Timestamp) {
        match operation {
            Operation::Enqueue => self.record_result(attempt, table.enqueue(attempt, BOOT, now)),
            Operation::Grant => {
                let result = table.grant(attempt, BOOT, now);
                if result.is_ok() {
                    assert!(
                        !self.not_run.contains(&attempt),
                        "{attempt} was reported as not run"
                    );
                    assert!(self.granted.insert(attempt), "{attempt} was granted twice");
                    self.sent.insert(attempt);
                }
                self.record_result(attempt, result);
            }
            Operation::Void if table.void(attempt, now).is_ok() => self.record_not_run(attempt),
            Operation::Abort if table.abort(attempt, now) => {
                self.sent.remove(&attempt);
                self.record_not_run(attempt);
            }
            Operation::Resume => match table.resume(attempt, BOOT, now) {
                Resumption::Voided => self.record_not_run(attempt),
                Resumption::Unknown(_) => (),
                _ => assert!(self.sent.contains(&attempt), "{attempt} was not sent"),
            },
            Operation::Offer => _ = table.offer(attempt),
            Operation::Finish => table.finish(attempt, now),
            Operation::Acknowledge => table.acknowledge(attempt, now),
            Operation::Sweep => {
                table.sweep(now);
                assert!(table.counts().settled <= SETTLED_CAPACITY);
            }
            _ => (),
        }
    }
}

#[test]
fn results_match_what_was_sent() {
    let config = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let result = runner.run(&operations(), |operations| {
        let mut table = table().with_capacities(SETTLED_CAPACITY, 2);
        let mut reference = Reference::default();
        let mut now = NOW;
        for (operation, attempt, millis) in operations {
            now = now.plus(Duration::from_millis(millis));
            reference.apply(&mut table, operation, attempt, now);
        }
        Ok(())
    });

    assert_eq!(result, Ok(()));
}
