//! Exploration of the whole protocol: routers, sidecars and store with the real decision logic,
//! under lost answers, restarts, pauses, and messages that are late, reordered or doubled.

#[path = "protocol/explorer.rs"]
mod explorer;
#[path = "protocol/model.rs"]
mod model;
#[path = "protocol/router.rs"]
mod router;
#[path = "protocol/world.rs"]
mod world;

use {
    explorer::{Outcome, exhaust, walk},
    model::{Faults, Model, Safeguard},
    router::Told,
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

/// The same where the first router may make a second attempt, at the only sidecar.
fn moved(faults: Faults) -> Model {
    Model {
        sidecars: 1,
        offers: [2, 1],
        ..claimed(faults)
    }
}

/// One idempotent request whose router offers it to two sidecars.
fn unclaimed(faults: Faults) -> Model {
    Model {
        offers: [2, 0],
        claimed: false,
        ..claimed(faults)
    }
}

fn show(outcome: &Outcome) -> String {
    format!("{} states, {:#?}", outcome.states, outcome.violation)
}

#[rstest]
#[case::restart(claimed(Faults { restarts: 1, inquiries: 1, timeouts: 1, ..NONE }))]
#[case::restart_and_sweep(claimed(Faults { restarts: 1, sweeps: 1, timeouts: 1, ..NONE }))]
#[case::duplicate(claimed(Faults { duplicates: 1, timeouts: 1, ..NONE }))]
#[case::lost_answers(claimed(Faults { timeouts: 2, ..NONE }))]
#[case::pause(claimed(Faults { pauses: 1, timeouts: 1, ..NONE }))]
#[case::abort(moved(Faults { aborts: 1, inquiries: 1, timeouts: 1, ..NONE }))]
#[case::shed(moved(Faults { sheds: 1, timeouts: 1, ..NONE }))]
#[case::moved(moved(Faults { restarts: 1, duplicates: 1, ..NONE }))]
#[case::unclaimed(unclaimed(Faults { restarts: 1, duplicates: 1, inquiries: 1, sheds: 1, ..NONE }))]
fn no_interleaving_breaks_a_promise(#[case] model: Model) {
    let outcome = exhaust(&model);

    assert!(outcome.violation.is_none(), "{}", show(&outcome));
    assert!(outcome.states > 50_000, "{}", show(&outcome));
}

#[test]
fn random_walks_under_many_faults_break_no_promise() {
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

    let outcome = walk(&model, 20_000, SEED);

    assert!(outcome.violation.is_none(), "{}", show(&outcome));
    assert!(outcome.states > 500_000, "{}", show(&outcome));
}

/// What the exploration must reach for its silence to mean something.
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

    let outcome = exhaust(&claimed(faults));

    let reached = |told: [Told; 2], writes| {
        let told = told.map(Some).to_vec();
        outcome.reached.contains(&(told, writes))
    };
    let attached = reached([Told::Ran(first), Told::Ran(first)], 1);
    let taken_over = reached([Told::NotRun, Told::Ran(second)], 2);
    let unsure = reached([Told::MayHaveRun, Told::Ran(second)], 1);
    let neither = reached([Told::NotRun, Told::NotRun], 2);
    assert!(
        attached && taken_over && unsure && neither,
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
#[case::compare_and_swap(Safeguard::CompareAndSwap, moved(NONE))]
#[case::lifetime(Safeguard::Lifetime, claimed(Faults { pauses: 1, ..NONE }))]
fn each_safeguard_is_needed(#[case] safeguard: Safeguard, #[case] model: Model) {
    let without = Model {
        disabled: Some(safeguard),
        ..model
    };

    let found = exhaust(&without);
    let kept = exhaust(&model);

    assert!(found.violation.is_some(), "{}", show(&found));
    assert!(kept.violation.is_none(), "{}", show(&kept));
}
