//! Who waits for how long, and who has come back.

use {rstest::rstest, std::time::Duration, tamarackdale_core::wait_policy};

const TIMEOUT: Duration = Duration::from_secs(12);

/// Callers that differ in what they state when they first ask, and come back as they are told to.
#[rstest]
#[case::whole(1.0)]
#[case::impatient(0.86)]
fn callers_that_come_back_are_told_from_impatient_ones(
    #[case] stated_part: f64,
    #[values(0.0, 0.5, 0.999)] random: f64,
) {
    let stated = TIMEOUT.mul_f64(stated_part);

    let later = stated - wait_policy::retry_after(stated, random);

    assert!(!wait_policy::is_retry(stated, TIMEOUT));
    assert!(wait_policy::is_retry(later, TIMEOUT));
}
