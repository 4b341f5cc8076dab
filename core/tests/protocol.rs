//! Model checking of the protocol: routers, sidecars and store run the real decision logic, under
//! lost responses, restarts, pauses, and messages that are delayed, reordered or duplicated.

#[path = "protocol/explorer.rs"]
mod explorer;
#[path = "protocol/model.rs"]
mod model;
#[path = "protocol/router.rs"]
mod router;
#[path = "protocol/world.rs"]
mod world;

use {
    explorer::{Outcome, explore_all, random_walks},
    model::{Faults, Model, Safeguard},
    router::Reply,
    rstest::rstest,
    tamarackdale_core::id::{Attempt, Boot},
};

const SEED: u64 = 4;

const NONE: Faults = Faults {
    restarts: 0,
    duplicates: 0,
    timeouts: 0,
    inquiries: 0,
    sheds: 0,
    sweeps: 0,
    aborts: 0,
    pauses: 0,
};

/// Two submissions of one non-idempotent request, at two routers with one attempt each.
fn claimed(faults: Faults) -> Model {
    Model {
        sidecars: 2,
        offers: [1, 1],
        claimed: true,
        disabled: None,
        faults,
    }
}

/// Like [`claimed`], but with one sidecar, and the first router may make two attempts.
fn repeated(faults: Faults) -> Model {
    Model {
        sidecars: 1,
        offers: [2, 1],
        ..claimed(faults)
    }
}

/// One idempotent request, which its router may offer to two sidecars.
fn unclaimed(faults: Faults) -> Model {
    Model {
        offers: [2, 0],
        claimed: false,
        ..claimed(faults)
    }
}

fn describe(outcome: &Outcome) -> String {
    format!("{} states, {:#?}", outcome.states, outcome.violation)
}

#[rstest]
#[case::restart(claimed(Faults { restarts: 1, inquiries: 1, timeouts: 1, ..NONE }))]
#[case::restart_and_sweep(claimed(Faults { restarts: 1, sweeps: 1, timeouts: 1, ..NONE }))]
#[case::duplicate(claimed(Faults { duplicates: 1, timeouts: 1, ..NONE }))]
#[case::lost_responses(claimed(Faults { timeouts: 2, ..NONE }))]
#[case::pause(claimed(Faults { pauses: 1, timeouts: 1, ..NONE }))]
#[case::abort(repeated(Faults { aborts: 1, inquiries: 1, timeouts: 1, ..NONE }))]
#[case::shed(repeated(Faults { sheds: 1, timeouts: 1, ..NONE }))]
#[case::repeated(repeated(Faults { restarts: 1, duplicates: 1, ..NONE }))]
#[case::unclaimed(unclaimed(Faults { restarts: 1, duplicates: 1, inquiries: 1, sheds: 1, ..NONE }))]
fn no_interleaving_violates_a_guarantee(#[case] model: Model) {
    let outcome = explore_all(&model);

    assert!(outcome.violation.is_none(), "{}", describe(&outcome));
    assert!(outcome.states > 50_000, "{}", describe(&outcome));
}

#[test]
fn random_walks_under_many_faults_violate_no_guarantee() {
    let faults = Faults {
        restarts: 1,
        duplicates: 2,
        timeouts: 4,
        inquiries: 2,
        sheds: 2,
        sweeps: 1,
        aborts: 1,
        pauses: 1,
    };
    let model = Model {
        offers: [3, 2],
        ..claimed(faults)
    };

    let outcome = random_walks(&model, 20_000, SEED);

    assert!(outcome.violation.is_none(), "{}", describe(&outcome));
    assert!(outcome.states > 500_000, "{}", describe(&outcome));
}

/// Guards against an exploration that finds no violation only because it reaches too few outcomes.
#[test]
fn exploration_reaches_every_kind_of_outcome() {
    let faults = Faults {
        restarts: 1,
        ..NONE
    };
    let [first, second] = [0, 1].map(|router| Attempt {
        router: Boot(router),
        sequence: 0,
    });

    let outcome = explore_all(&claimed(faults));

    let reached = |replies: [Reply; 2], writes| {
        let replies = replies.map(Some).to_vec();
        outcome.reached.contains(&(replies, writes))
    };
    let attached = reached([Reply::Ran(first), Reply::Ran(first)], 1);
    let taken_over = reached([Reply::NotRun, Reply::Ran(second)], 2);
    let may_have_run = reached([Reply::MayHaveRun, Reply::Ran(second)], 1);
    let neither = reached([Reply::NotRun, Reply::NotRun], 2);
    assert!(
        attached && taken_over && may_have_run && neither,
        "{:#?}",
        outcome.reached
    );
}

#[rstest]
#[case::grant_before_dispatch(Safeguard::GrantBeforeDispatch, claimed(NONE))]
#[case::one_grant(Safeguard::OneGrant, unclaimed(NONE))]
#[case::void_before_takeover(Safeguard::VoidBeforeTakeover, claimed(NONE))]
#[case::boot_id(Safeguard::BootId, claimed(Faults { restarts: 1, ..NONE }))]
#[case::nonce(Safeguard::Nonce, claimed(Faults { timeouts: 1, ..NONE }))]
#[case::compare_and_swap(Safeguard::CompareAndSwap, repeated(NONE))]
#[case::lifetime(Safeguard::Lifetime, claimed(Faults { pauses: 1, ..NONE }))]
fn each_safeguard_is_needed(#[case] safeguard: Safeguard, #[case] model: Model) {
    let without = Model {
        disabled: Some(safeguard),
        ..model
    };

    let unsafe_outcome = explore_all(&without);
    let safe_outcome = explore_all(&model);

    assert!(
        unsafe_outcome.violation.is_some(),
        "{}",
        describe(&unsafe_outcome)
    );
    assert!(
        safe_outcome.violation.is_none(),
        "{}",
        describe(&safe_outcome)
    );
}
