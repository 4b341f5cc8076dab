//! Conversion of seconds that were computed or received.

use {rstest::rstest, std::time::Duration, tamarackdale_core::time};

const YEAR: Duration = Duration::from_secs(365 * 86_400);

/// Guards against values that are no time, as quotients of zeros are.
#[rstest]
#[case(1.5, Duration::from_millis(1_500))]
#[case(-1.0, Duration::ZERO)]
#[case(f64::NEG_INFINITY, Duration::ZERO)]
#[case(f64::INFINITY, YEAR)]
#[case(f64::MAX, YEAR)]
#[case(f64::NAN, YEAR)]
fn any_number_of_seconds_is_a_duration(#[case] seconds: f64, #[case] expected: Duration) {
    assert_eq!(time::seconds(seconds), expected);
}
