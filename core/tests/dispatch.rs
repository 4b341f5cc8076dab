//! Retries of a request, in every order of failures.

use {
    proptest::prelude::*,
    rstest::rstest,
    tamarackdale_core::{
        dispatch::{Dispatch, SendFailure, Step},
        routing_config::RepeatPolicy,
        verdict::Verdict,
    },
};

#[rstest]
#[case(RepeatPolicy::Never, SendFailure::NotSent, Step::Resend)]
#[case(RepeatPolicy::Never, SendFailure::NotExecuted, Step::Resend)]
#[case(RepeatPolicy::Never, SendFailure::Lost, Step::Fail)]
#[case(RepeatPolicy::Stream, SendFailure::Lost, Step::Fail)]
#[case(RepeatPolicy::ResumableStream, SendFailure::Lost, Step::Resend)]
#[case(RepeatPolicy::Idempotent, SendFailure::Failed, Step::Resend)]
fn failure_determines_whether_the_request_is_sent_again(
    #[case] repeat_policy: RepeatPolicy,
    #[case] failure: SendFailure,
    #[case] expected: Step,
) {
    let mut dispatch = Dispatch::new(repeat_policy, 2);
    dispatch.send();

    assert_eq!(dispatch.fail(failure), expected);
}

#[test]
fn failed_connections_do_not_count_as_attempts() {
    let mut dispatch = Dispatch::new(RepeatPolicy::Never, 1);

    for _ in 0..5 {
        dispatch.send();
        assert_eq!(dispatch.fail(SendFailure::NotSent), Step::Resend);
    }
    dispatch.send();

    assert_eq!(dispatch.fail(SendFailure::NotExecuted), Step::Refuse);
}

#[test]
fn failed_connection_does_not_undo_an_earlier_attempt() {
    let mut dispatch = Dispatch::new(RepeatPolicy::Never, 2);
    dispatch.send();
    assert_eq!(dispatch.fail(SendFailure::NotExecuted), Step::Resend);

    assert_eq!(dispatch.fail(SendFailure::NotSent), Step::Resend);
    assert_eq!(dispatch.sent(), 1);
    dispatch.send();

    assert_eq!(dispatch.fail(SendFailure::NotExecuted), Step::Refuse);
}

#[test]
fn request_may_have_run_while_it_is_being_sent() {
    let mut dispatch = Dispatch::new(RepeatPolicy::Never, 2);

    dispatch.send();
    let during = dispatch.verdict();
    dispatch.fail(SendFailure::NotExecuted);

    assert_eq!(during, Verdict::MayHaveRun);
    assert_eq!(dispatch.verdict(), Verdict::NotRun);
}

fn failure() -> impl Strategy<Value = SendFailure> {
    prop_oneof![
        Just(SendFailure::NotSent),
        Just(SendFailure::NotExecuted),
        Just(SendFailure::Failed),
        Just(SendFailure::Lost),
    ]
}

fn repeat_policy() -> impl Strategy<Value = RepeatPolicy> {
    prop_oneof![
        Just(RepeatPolicy::Idempotent),
        Just(RepeatPolicy::Never),
        Just(RepeatPolicy::Stream),
        Just(RepeatPolicy::ResumableStream),
    ]
}

proptest! {
    #[test]
    fn request_that_may_have_run_is_never_refused_and_repeated_only_if_allowed(
        repeat_policy in repeat_policy(),
        attempts in 1_u32..5,
        failures in prop::collection::vec((any::<bool>(), failure()), 1..12),
    ) {
        let mut dispatch = Dispatch::new(repeat_policy, attempts);
        let mut may_have_run = false;
        let mut sent = 0;
        for (has_connection, failure) in failures {
            let failure = match has_connection {
                true => failure,
                false => SendFailure::NotSent,
            };
            if has_connection {
                dispatch.send();
            }
            sent += u32::from(failure != SendFailure::NotSent);
            may_have_run |= matches!(failure, SendFailure::Failed | SendFailure::Lost);
            let step = dispatch.fail(failure);

            prop_assert!(sent <= attempts);
            prop_assert_eq!(dispatch.sent(), sent);
            prop_assert_eq!(dispatch.verdict() == Verdict::NotRun, !may_have_run);
            match step {
                Step::Resend => prop_assert!(!may_have_run || repeat_policy.may_rerun()),
                Step::Refuse => prop_assert!(!may_have_run),
                Step::Fail => prop_assert!(may_have_run),
            }
            if step != Step::Resend {
                break;
            }
        }
    }
}
