//! The history checker finds every kind of broken promise, and none in a clean history.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{failure::Reason, tier::Rank, verdict::Verdict},
    tamarackdale_testbed::history::{
        Execution, Floor, History, Name, Submission, Tiered, Violation,
    },
};

const SERVICE: &str = "ordre-app";
const ANSWER: u64 = 7;
const OTHER_ANSWER: u64 = 8;

fn name() -> Name {
    Name::new(SERVICE, "key")
}

fn call() -> Submission {
    Submission::new(name(), "organisation", 1)
}

fn booking() -> Submission {
    call().with_non_idempotent()
}

fn not_run(call: Submission) -> Submission {
    call.with_failure(Verdict::NotRun, Reason::StoreUnavailable)
}

fn unsure(call: Submission) -> Submission {
    call.with_failure(Verdict::MayHaveRun, Reason::ConnectionLost)
}

fn run(output: u64) -> Execution {
    Execution::new(name(), output)
}

fn at(rank: u8, millis: u64) -> Tiered {
    Tiered {
        service: SERVICE.to_owned(),
        rank: Rank(rank),
        at: Duration::from_millis(millis),
    }
}

fn floor(rank: u8, from: u64, until: u64) -> Floor {
    Floor {
        service: SERVICE.to_owned(),
        rank: Rank(rank),
        from: Duration::from_millis(from),
        until: Duration::from_millis(until),
    }
}

fn ran_again() -> Option<Violation> {
    let request = name();
    Some(Violation::RanAgain { request, runs: 2 })
}

fn dispatched_again(submissions: usize, runs: usize) -> Option<Violation> {
    Some(Violation::DispatchedAgain {
        request: name(),
        submissions,
        runs,
    })
}

fn not_run_ran(submissions: usize, not_run: usize) -> Option<Violation> {
    Some(Violation::NotRunRan {
        request: name(),
        submissions,
        not_run,
        runs: 1,
    })
}

fn wrong_answer() -> Option<Violation> {
    Some(Violation::WrongAnswer { request: name() })
}

#[rstest]
#[case::whole(vec![call().with_answer(ANSWER)], vec![run(ANSWER)], None)]
#[case::not_run(vec![not_run(booking())], vec![], None)]
#[case::unsure_and_run(vec![unsure(booking())], vec![run(ANSWER)], None)]
#[case::unsure_and_not_run(vec![unsure(booking())], vec![], None)]
#[case::lost_then_attached(vec![booking(), booking().with_answer(ANSWER)], vec![run(ANSWER)], None)]
#[case::not_run_then_run(
    vec![not_run(booking()), booking().with_answer(ANSWER)],
    vec![run(ANSWER)],
    None,
)]
#[case::idempotent_retry(
    vec![unsure(call()), call().with_answer(ANSWER)],
    vec![run(ANSWER), run(ANSWER)],
    None,
)]
#[case::booked_twice(
    vec![unsure(booking()), booking().with_answer(ANSWER)],
    vec![run(ANSWER), run(ANSWER)],
    ran_again(),
)]
#[case::one_call_booked_twice(vec![booking()], vec![run(ANSWER), run(ANSWER)], ran_again())]
#[case::one_call_dispatched_twice(
    vec![call().with_answer(ANSWER)],
    vec![run(ANSWER), run(ANSWER)],
    dispatched_again(1, 2),
)]
#[case::not_run_but_ran(vec![not_run(booking())], vec![run(ANSWER)], not_run_ran(1, 1))]
#[case::all_not_run_but_ran(
    vec![not_run(call()), not_run(call())],
    vec![run(ANSWER)],
    not_run_ran(2, 2),
)]
#[case::other_answer(vec![call().with_answer(OTHER_ANSWER)], vec![run(ANSWER)], wrong_answer())]
#[case::answer_from_nowhere(vec![call().with_answer(ANSWER)], vec![], wrong_answer())]
#[case::unsubmitted(vec![], vec![run(ANSWER)], Some(Violation::Unsubmitted { request: name() }))]
fn requests_are_checked(
    #[case] submissions: Vec<Submission>,
    #[case] executions: Vec<Execution>,
    #[case] expected: Option<Violation>,
) {
    let history = History {
        submissions,
        executions,
        ..History::new()
    };

    let violations = history.violations();

    assert_eq!(violations, Vec::from_iter(expected));
}

#[rstest]
#[case::shed_at_the_floor(vec![at(1, 50)], vec![], vec![floor(1, 10, 90)], None)]
#[case::shed_below_the_floor(vec![at(2, 50)], vec![], vec![floor(1, 10, 90)], None)]
#[case::shed_above_the_floor(
    vec![at(0, 50)],
    vec![],
    vec![floor(1, 10, 90)],
    Some(Violation::ShedWithoutFloor { service: SERVICE.into(), rank: Rank(0), at: Duration::from_millis(50) }),
)]
#[case::shed_before_the_floor(
    vec![at(1, 5)],
    vec![],
    vec![floor(1, 10, 90)],
    Some(Violation::ShedWithoutFloor { service: SERVICE.into(), rank: Rank(1), at: Duration::from_millis(5) }),
)]
#[case::served_at_the_floor(vec![], vec![at(1, 50)], vec![floor(1, 10, 90)], None)]
#[case::served_before_it_is_known(vec![], vec![at(2, 20)], vec![floor(1, 10, 90)], None)]
#[case::served_afterwards(vec![], vec![at(2, 90)], vec![floor(1, 10, 90)], None)]
#[case::served_below_the_floor(
    vec![at(1, 40)],
    vec![at(2, 50)],
    vec![floor(1, 10, 90)],
    Some(Violation::ServedBelowFloor {
        service: SERVICE.into(),
        rank: Rank(2),
        floor: Rank(1),
        at: Duration::from_millis(50),
    }),
)]
fn tier_order_is_checked(
    #[case] sheds: Vec<Tiered>,
    #[case] starts: Vec<Tiered>,
    #[case] floors: Vec<Floor>,
    #[case] expected: Option<Violation>,
) {
    let history = History {
        sheds,
        starts,
        floors,
        ..History::new().with_propagation(Duration::from_millis(20))
    };

    let violations = history.violations();

    assert_eq!(violations, Vec::from_iter(expected));
}
