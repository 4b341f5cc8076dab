//! The configuration that a router holds, under every order of the store's answers.

use {
    proptest::prelude::*,
    std::time::Duration,
    tamarackdale_core::{cached_config::CachedConfig, freshness::BootTime},
};

const LIMIT: Duration = Duration::from_millis(1_000);

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator puts the next version.
    Change,
    /// The router asks for the version that it holds.
    Ask,
    /// The store answers the question that was asked so many before the last one, once more or for
    /// the first time. It answers from the state at the time of the question.
    Answer { back: usize },
    /// The process starts again with nothing.
    Restart,
    /// Time passes.
    Pass { millis: u64 },
}

/// A question that was sent, with the version that the store had then.
#[derive(Clone, Copy, Debug)]
struct Question {
    sent: BootTime,
    held: Option<u64>,
    newest: u64,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Change),
        4 => Just(Step::Ask),
        6 => (0_usize..4).prop_map(|back| Step::Answer { back }),
        1 => Just(Step::Restart),
        4 => (1_u64..600).prop_map(|millis| Step::Pass { millis }),
    ]
}

/// Takes in the answer to a question as the router does.
fn take(held: Option<CachedConfig<u64>>, question: Question) -> Option<CachedConfig<u64>> {
    let is_unchanged = question.held == Some(question.newest);
    match held {
        Some(held) if is_unchanged => Some(held.confirmed(question.newest, question.sent, LIMIT)),
        Some(held) if !held.is_older_than(question.newest) => Some(held),
        None if is_unchanged => None,
        _ => Some(CachedConfig::new(
            question.newest,
            question.newest,
            question.sent,
            LIMIT,
        )),
    }
}

proptest! {
    #[test]
    fn version_never_goes_back_and_is_trusted_only_while_no_newer_one_can_be_older_than_the_limit(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut now = BootTime(1);
        // When each version came into force; the first one is number zero.
        let mut versions = vec![now];
        let mut questions: Vec<Question> = Vec::new();
        let mut held: Option<CachedConfig<u64>> = None;
        for step in steps {
            match step {
                Step::Change => versions.push(now),
                Step::Ask => questions.push(Question {
                    sent: now,
                    held: held.as_ref().map(|held| held.revision),
                    newest: versions.len() as u64 - 1,
                }),
                Step::Answer { back } => {
                    let Some(at) = questions.len().checked_sub(back + 1) else { continue };
                    let before = held.as_ref().map(|held| held.revision);
                    held = take(held, questions[at]);
                    let after = held.as_ref().map(|held| held.revision);
                    prop_assert!(before <= after, "{before:?} to {after:?}");
                }
                Step::Restart => {
                    held = None;
                    questions.clear();
                }
                Step::Pass { millis } => now = BootTime(now.0 + millis),
            }
            let Some(held) = &held else { continue };
            prop_assert_eq!(*held.value, held.revision);
            if held.freshness.is_fresh(now)
                && let Some(superseded) = versions.get(held.revision as usize + 1)
            {
                prop_assert!(now.since(*superseded) < LIMIT);
            }
        }
    }
}
