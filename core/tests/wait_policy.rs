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
