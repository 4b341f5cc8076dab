//! Confirmations of a configuration expire on a clock that includes suspension.

use {
    std::time::Duration,
    tamarackdale_core::freshness::{BootTime, Freshness},
};

const MAX_AGE: Duration = Duration::from_secs(4);

#[test]
fn new_freshness_has_no_confirmation() {
    let freshness = Freshness::new(MAX_AGE);

    assert!(!freshness.is_fresh(BootTime(1)));
    assert_eq!(freshness.age(BootTime(1)), None);
}

#[test]
fn confirmation_is_valid_from_the_time_it_was_requested_and_expires() {
    let mut freshness = Freshness::new(MAX_AGE);

    freshness.confirm(BootTime(1_000));

    assert!(freshness.is_fresh(BootTime(4_999)));
    assert!(!freshness.is_fresh(BootTime(5_000)));
}

#[test]
fn older_confirmation_has_no_effect() {
    let mut freshness = Freshness::new(MAX_AGE);

    freshness.confirm(BootTime(2_000));
    freshness.confirm(BootTime(1_000));

    assert_eq!(freshness.age(BootTime(3_000)), Some(Duration::from_secs(1)));
}

#[test]
fn confirmation_expires_while_the_machine_is_suspended() {
    let mut freshness = Freshness::new(MAX_AGE);
    freshness.confirm(BootTime(1_000));

    let after_suspension = BootTime(1_000 + 60_000);

    assert!(!freshness.is_fresh(after_suspension));
}
