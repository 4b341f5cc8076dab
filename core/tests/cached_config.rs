//! The configuration cached by a router, under any order of the store's responses.

use {
    proptest::prelude::*,
    std::time::Duration,
    tamarackdale_core::{cached_config::CachedConfig, freshness::BootTime},
};

const MAX_AGE: Duration = Duration::from_millis(1_000);

/// One step of a generated history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator writes the next version.
    Write,
    /// The router sends a request that names its cached version.
    Request,
    /// The response to the request `back` before the last one arrives, possibly again. It reflects
    /// the store at the time of the request.
    Response { back: usize },
    /// The process restarts without a cached configuration.
    Restart,
    /// Time passes.
    Wait { millis: u64 },
}

/// A request that was sent, with the newest version in the store at that time.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent: BootTime,
    cached: Option<u64>,
    newest: u64,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Write),
        4 => Just(Step::Request),
        6 => (0_usize..4).prop_map(|back| Step::Response { back }),
        1 => Just(Step::Restart),
        4 => (1_u64..600).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Handles the response to a request as the router does.
fn handle_response(
    cached: Option<CachedConfig<u64>>,
    request: Request,
) -> Option<CachedConfig<u64>> {
    let is_unchanged = request.cached == Some(request.newest);
    match cached {
        Some(cached) if is_unchanged => {
            Some(cached.confirmed(request.newest, request.sent, MAX_AGE))
        }
        Some(cached) if !cached.is_older_than(request.newest) => Some(cached),
        None if is_unchanged => None,
        _ => Some(CachedConfig::new(
            request.newest,
            request.newest,
            request.sent,
            MAX_AGE,
        )),
    }
}

proptest! {
    #[test]
    fn version_never_decreases_and_is_fresh_only_if_no_newer_one_is_older_than_the_limit(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut now = BootTime(1);
        // Time at which each version was written, by version number.
        let mut versions = vec![now];
        let mut requests: Vec<Request> = Vec::new();
        let mut cached: Option<CachedConfig<u64>> = None;
        for step in steps {
            match step {
                Step::Write => versions.push(now),
                Step::Request => requests.push(Request {
                    sent: now,
                    cached: cached.as_ref().map(|cached| cached.revision),
                    newest: versions.len() as u64 - 1,
                }),
                Step::Response { back } => {
                    let Some(at) = requests.len().checked_sub(back + 1) else { continue };
                    let before = cached.as_ref().map(|cached| cached.revision);
                    cached = handle_response(cached, requests[at]);
                    let after = cached.as_ref().map(|cached| cached.revision);
                    prop_assert!(before <= after, "{before:?} to {after:?}");
                }
                Step::Restart => {
                    cached = None;
                    requests.clear();
                }
                Step::Wait { millis } => now = BootTime(now.0 + millis),
            }
            let Some(cached) = &cached else { continue };
            prop_assert_eq!(*cached.value, cached.revision);
            if cached.freshness.is_fresh(now)
                && let Some(superseded) = versions.get(cached.revision as usize + 1)
            {
                prop_assert!(now.since(*superseded) < MAX_AGE);
            }
        }
    }
}
