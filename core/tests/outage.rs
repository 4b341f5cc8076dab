//! Outages of the store and the time after them in which running servers register again.

use {
    std::time::Duration,
    tamarackdale_core::{
        outage::{Missing, Outage},
        time::Timestamp,
    },
};

const RECOVERY_TIME: Duration = Duration::from_millis(2_200);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn recovery_time_begins_at_the_last_failure() {
    let mut outage = Outage::new(RECOVERY_TIME);

    let is_first = [1_000, 2_000].map(|ms| outage.record_failure(at(ms)));

    assert_eq!(is_first, [true, false]);
    let left = outage.recovery_time_left(at(3_000));
    assert_eq!(left, Some(Duration::from_millis(1_200)));
    assert_eq!(outage.recovery_time_left(at(4_200)), None);
    assert_eq!(outage.grace(at(4_200)), None);
}

/// Guards against a recovery time that ends too early, because the last call before the return of the store
/// failed a while before it.
#[test]
fn recovery_time_begins_anew_at_the_first_success() {
    let mut outage = Outage::new(RECOVERY_TIME);
    outage.record_failure(at(1_000));

    outage.record_success(at(2_000));
    outage.record_success(at(3_000));

    let left = outage.recovery_time_left(at(3_000));
    assert_eq!(left, Some(Duration::from_millis(1_200)));
}

#[test]
fn outage_is_over_when_calls_have_succeeded_for_twice_the_recovery_time() {
    let mut outage = Outage::new(RECOVERY_TIME);
    outage.record_failure(at(500));
    outage.record_success(at(1_000));

    let early = outage.record_success(at(5_400));
    let was_recent = outage.is_recent();
    let late = outage.record_success(at(5_401));

    assert_eq!((early, was_recent, late), (false, true, true));
    assert!(!outage.is_recent());
}

#[test]
fn only_time_between_successful_calls_counts_as_available() {
    let mut outage = Outage::new(RECOVERY_TIME);
    outage.record_success(at(0));
    outage.record_success(at(500));
    outage.record_failure(at(900));
    outage.record_success(at(1_000));

    outage.record_success(at(1_300));

    let grace = outage.grace(at(1_400)).expect("recovering");
    assert_eq!(grace.available, Duration::from_millis(800));
    assert_eq!(grace.limit, RECOVERY_TIME);
}

/// Guards against a registration that is excused for as long as the store fails now and then.
#[test]
fn missing_registration_is_excused_until_the_store_has_been_available_for_long_enough() {
    let mut outage = Outage::new(RECOVERY_TIME);
    let mut missing = Missing::default();
    let limit = Duration::from_secs(8);
    outage.record_success(at(0));
    let mut is_excused = |ms: u64| {
        outage.record_success(at(ms));
        let grace = outage.grace_of(limit);
        (missing.is_excused("a", grace), missing.has_overdue(grace))
    };

    let excused = [1_000, 8_900, 9_000].map(&mut is_excused);

    assert_eq!(excused, [(true, false), (true, false), (false, true)]);
}
