//! Fits, readings and tables of capacity measurements.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_testbed::capacity::{
        fit::{Fit, Point},
        reading::{Counters, Reading},
        report::{self, Report},
        series::Series,
    },
};

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|(x, y)| Point::new(*x, *y)).collect()
}

fn assert_near(found: f64, expected: f64) {
    assert!((found - expected).abs() < 1e-9, "{found} for {expected}");
}

#[test]
fn points_on_a_line_are_fitted_exactly() {
    let points = points(&[(10.0, 25.0), (25.0, 55.0), (50.0, 105.0), (100.0, 205.0)]);

    let fit = Fit::of(&points).expect("four points determine a line");

    assert_near(fit.slope, 2.0);
    assert_near(fit.intercept, 5.0);
    assert_near(fit.r2, 1.0);
    assert_near(fit.deviation, 0.0);
    assert_near(fit.at(2_600.0), 5_205.0);
}

#[test]
fn spread_is_told_by_r2_and_deviation() {
    // Residuals -1, 2, -1 from y = 2: no slope, so that the line explains nothing.
    let points = points(&[(0.0, 1.0), (1.0, 4.0), (2.0, 1.0)]);

    let fit = Fit::of(&points).expect("three points determine a line");

    assert_near(fit.slope, 0.0);
    assert_near(fit.intercept, 2.0);
    assert_near(fit.r2, 0.0);
    assert_near(fit.deviation, 6.0_f64.sqrt());
}

#[rstest]
#[case::nothing(&[])]
#[case::one_point(&[(1.0, 2.0)])]
#[case::one_size(&[(1.0, 2.0), (1.0, 3.0)])]
fn no_line_through(#[case] pairs: &[(f64, f64)]) {
    assert_eq!(Fit::of(&points(pairs)), None);
}

#[test]
fn counters_become_rates() {
    let before = Counters {
        processor: Duration::from_millis(100),
        link_bytes: 1_000,
        store_reads: 10,
        ..Counters::default()
    };
    let after = Counters {
        processor: Duration::from_millis(180),
        memory_bytes: 12_000_000,
        link_bytes: 61_000,
        store_reads: 18,
        store_writes: 4,
    };

    let reading = Reading::between(before, after, Duration::from_secs(2));

    let expected = Reading {
        processor_percent: 4.0,
        memory_mb: 12.0,
        traffic_kb_per_s: 30.0,
        store_reads_per_s: 4.0,
        store_writes_per_s: 2.0,
    };
    assert_eq!(reading, expected);
}

#[rstest]
#[case::within(Some(15.0), Some(true), "| 15 | yes |")]
#[case::over(Some(11.0), Some(false), "| 11 | **no** |")]
#[case::without_budget(None, None, "|  |  |")]
fn target_is_compared_with_the_budget(
    #[case] budget: Option<f64>,
    #[case] within: Option<bool>,
    #[case] cells: &str,
) {
    let mut series = Series::new("router", "sidecars", "traffic, KB/s", 100.0);
    series.budget = budget;
    series.push(10.0, 3.0);
    series.push(20.0, 4.0);

    let report = Report::new(vec![series.clone()]);

    assert_eq!(series.is_within_budget(), within);
    let row = "| router | sidecars | traffic, KB/s | 10: 3, 20: 4 | 2 + 0.1·x | 1.000 | 0 | 100 \
               | 12 ";
    let markdown = report.markdown();
    assert!(markdown.contains(row), "{markdown}");
    assert!(markdown.trim_end().ends_with(cells), "{markdown}");
    assert_eq!(report.json()[0]["within_budget"], serde_json::json!(within));
}

#[rstest]
#[case(0.0, "0")]
#[case(0.012_34, "0.0123")]
#[case(0.5, "0.5")]
#[case(1.234, "1.23")]
#[case(45.67, "45.7")]
#[case(1_234.5, "1234")]
#[case(-2.5, "-2.5")]
fn numbers_are_short(#[case] value: f64, #[case] expected: &str) {
    assert_eq!(report::number(value), expected);
}
