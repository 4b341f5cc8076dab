//! A request's sendings, in every order of setbacks.

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
fn setback_decides_whether_the_request_is_sent_again(
    #[case] repetition: RepeatPolicy,
    #[case] setback: SendFailure,
    #[case] expected: Step,
) {
    let mut dispatch = Dispatch::new(repetition, 2);
    dispatch.send();

    assert_eq!(dispatch.fail(setback), expected);
}

#[test]
fn only_what_was_sent_counts_as_an_attempt() {
    let mut dispatch = Dispatch::new(RepeatPolicy::Never, 1);

    for _ in 0..5 {
        dispatch.send();
        assert_eq!(dispatch.fail(SendFailure::NotSent), Step::Resend);
    }
    dispatch.send();

    assert_eq!(dispatch.fail(SendFailure::NotExecuted), Step::Refuse);
}

#[test]
fn connection_that_never_came_about_gives_no_earlier_attempt_back() {
    let mut dispatch = Dispatch::new(RepeatPolicy::Never, 2);
    dispatch.send();
    assert_eq!(dispatch.fail(SendFailure::NotExecuted), Step::Resend);

    assert_eq!(dispatch.fail(SendFailure::NotSent), Step::Resend);
    assert_eq!(dispatch.sent(), 1);
    dispatch.send();

    assert_eq!(dispatch.fail(SendFailure::NotExecuted), Step::Refuse);
}

#[test]
fn request_that_is_being_sent_may_have_run() {
    let mut dispatch = Dispatch::new(RepeatPolicy::Never, 2);

    dispatch.send();
    let during = dispatch.verdict();
    dispatch.fail(SendFailure::NotExecuted);

    assert_eq!(during, Verdict::MayHaveRun);
    assert_eq!(dispatch.verdict(), Verdict::NotRun);
}

fn setback() -> impl Strategy<Value = SendFailure> {
    prop_oneof![
        Just(SendFailure::NotSent),
        Just(SendFailure::NotExecuted),
        Just(SendFailure::Failed),
        Just(SendFailure::Lost),
    ]
}

fn repetition() -> impl Strategy<Value = RepeatPolicy> {
    prop_oneof![
        Just(RepeatPolicy::Idempotent),
        Just(RepeatPolicy::Never),
        Just(RepeatPolicy::Stream),
        Just(RepeatPolicy::ResumableStream),
    ]
}

proptest! {
    #[test]
    fn a_request_that_may_have_run_is_never_refused_or_repeated_without_leave(
        repetition in repetition(),
        attempts in 1_u32..5,
        setbacks in prop::collection::vec((any::<bool>(), setback()), 1..12),
    ) {
        let mut dispatch = Dispatch::new(repetition, attempts);
        let mut may_have_run = false;
        let mut sent = 0;
        for (has_connection, setback) in setbacks {
            let setback = match has_connection {
                true => setback,
                false => SendFailure::NotSent,
            };
            if has_connection {
                dispatch.send();
            }
            sent += u32::from(setback != SendFailure::NotSent);
            may_have_run |= matches!(setback, SendFailure::Failed | SendFailure::Lost);
            let step = dispatch.fail(setback);

            prop_assert!(sent <= attempts);
            prop_assert_eq!(dispatch.sent(), sent);
            prop_assert_eq!(dispatch.verdict() == Verdict::NotRun, !may_have_run);
            match step {
                Step::Resend => prop_assert!(!may_have_run || repetition.may_rerun()),
                Step::Refuse => prop_assert!(!may_have_run),
                Step::Fail => prop_assert!(may_have_run),
            }
            if step != Step::Resend {
                break;
            }
        }
    }
}
