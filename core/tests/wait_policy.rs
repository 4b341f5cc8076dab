//! Detection of retries by their stated remaining time.

use {rstest::rstest, std::time::Duration, tamarackdale_core::wait_policy};

const TIMEOUT: Duration = Duration::from_secs(12);

/// Callers state the whole time-out or somewhat less in their first request, and follow the retry
/// delay that they are given.
#[rstest]
#[case::whole(1.0)]
#[case::shortened(0.86)]
fn retries_are_distinguished_from_first_requests(
    #[case] stated_part: f64,
    #[values(0.0, 0.5, 0.999)] random: f64,
) {
    let stated = TIMEOUT.mul_f64(stated_part);

    let later = stated - wait_policy::retry_after(stated, random);

    assert!(!wait_policy::is_retry(stated, TIMEOUT));
    assert!(wait_policy::is_retry(later, TIMEOUT));
}

/// A zone of slow gateways: the requests that wait there are announced for long, and must not keep
/// all others from slots that stay free.
#[rstest]
#[case::nobody_waits(0, 0, false)]
#[case::full(0, 1, true)]
#[case::a_slot_for_each(1, 1, true)]
#[case::one_slow_router(2, 1, false)]
#[case::a_zone_of_slow_routers(100, 20, false)]
#[case::burst(5, 20, true)]
fn request_yields_only_while_slots_are_short(
    #[case] free_slots: usize,
    #[case] more_urgent_peers: usize,
    #[case] expected: bool,
) {
    assert_eq!(
        wait_policy::yields_to_peers(free_slots, more_urgent_peers),
        expected
    );
}
