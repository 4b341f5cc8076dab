//! Proofs of a configuration age on a clock that counts suspension.

use {
    std::time::Duration,
    tamarackdale_core::freshness::{BootTime, Freshness},
};

const LIMIT: Duration = Duration::from_secs(4);

#[test]
fn nothing_is_proved_at_first() {
    let freshness = Freshness::new(LIMIT);

    assert!(!freshness.is_fresh(BootTime(1)));
    assert_eq!(freshness.age(BootTime(1)), None);
}

#[test]
fn proof_counts_from_its_question_and_ends() {
    let mut freshness = Freshness::new(LIMIT);

    freshness.confirm(BootTime(1_000));

    assert!(freshness.is_fresh(BootTime(4_999)));
    assert!(!freshness.is_fresh(BootTime(5_000)));
}

#[test]
fn answer_that_was_overtaken_changes_nothing() {
    let mut freshness = Freshness::new(LIMIT);

    freshness.confirm(BootTime(2_000));
    freshness.confirm(BootTime(1_000));

    assert_eq!(freshness.age(BootTime(3_000)), Some(Duration::from_secs(1)));
}

#[test]
fn machine_that_was_suspended_does_not_believe_its_old_proof() {
    let mut freshness = Freshness::new(LIMIT);
    freshness.confirm(BootTime(1_000));

    let after_suspension = BootTime(1_000 + 60_000);

    assert!(!freshness.is_fresh(after_suspension));
}
