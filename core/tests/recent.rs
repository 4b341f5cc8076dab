//! The most generous recent limit counts.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{freshness::BootTime, recent::Maximum},
};

const WINDOW: Duration = Duration::from_secs(2);

/// Guards against a limit that is forgotten, or kept for too long, in a series of changes.
#[rstest]
#[case::none_yet(&[], 0, None)]
#[case::first(&[(0, 5)], 0, Some(5))]
#[case::raised_counts_at_once(&[(0, 5), (100, 9)], 100, Some(9))]
#[case::lowered_counts_after_the_window(&[(0, 9), (100, 5)], 2_100, Some(5))]
#[case::former_counts_within_the_window(&[(0, 9), (100, 5)], 2_099, Some(9))]
#[case::raised_and_lowered_again(&[(0, 5), (100, 9), (200, 5)], 2_199, Some(9))]
#[case::window_counts_from_the_replacement(&[(0, 9), (5_000, 5)], 6_999, Some(9))]
#[case::lowered_in_steps(&[(0, 9), (1_000, 7), (2_000, 5)], 3_500, Some(7))]
#[case::lowered_and_raised(&[(0, 9), (100, 5), (200, 7)], 2_150, Some(7))]
#[case::same_again(&[(0, 9), (100, 9), (1_000, 5)], 2_500, Some(9))]
fn largest_recent_limit_counts(
    #[case] changes: &[(u64, u64)],
    #[case] now: u64,
    #[case] expected: Option<u64>,
) {
    let mut limit = Maximum::new();

    for (at, value) in changes {
        limit.set(*value, BootTime(*at), WINDOW);
    }

    assert_eq!(limit.get(BootTime(now), WINDOW), expected);
}

/// Compares with all values that were in force, for series that differ in each step.
#[test]
fn largest_recent_limit_is_that_of_the_whole_series() {
    let mut limit = Maximum::new();
    let mut series: Vec<(u64, u64)> = Vec::new();
    let mut random = 1_u64;

    for step in 0..5_000_u64 {
        random = random.wrapping_mul(6_364_136_223_846_793_005) + 1_442_695;
        let now = step * 150;
        let value = random >> 60;
        limit.set(value, BootTime(now), WINDOW);
        series.push((now, value));
        let ends = series.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let recent = series.iter().zip(ends);
        let expected = recent
            .filter(|(_, end)| now.saturating_sub(*end) < 2_000)
            .map(|((_, value), _)| *value)
            .max();
        assert_eq!(limit.get(BootTime(now), WINDOW), expected, "{now}");
    }
}
