//! Prediction of a request's time from the latest ones.

use {rstest::rstest, std::time::Duration, tamarackdale_core::service_times::ServiceTimes};

#[rstest]
#[case::none(&[], &[], None)]
#[case::one(&[7], &[], Some(7))]
#[case::shorter_of_two(&[9, 4], &[], Some(4))]
#[case::without_outlier(&[3, 900, 5], &[800], Some(5))]
#[case::still_young(&[9, 9, 9], &[1, 2, 3, 4], Some(9))]
#[case::all_stand_still(&[3, 4], &[90, 91, 92], Some(90))]
#[case::none_has_ended(&[], &[6], Some(6))]
fn prediction_is_the_median(
    #[case] times: &[u64],
    #[case] running: &[u64],
    #[case] expected: Option<u64>,
) {
    let mut service_times = ServiceTimes::default();

    for time in times {
        service_times.record(Duration::from_millis(*time));
    }

    let running = running.iter().copied().map(Duration::from_millis);
    let expected = expected.map(Duration::from_millis);
    assert_eq!(service_times.predict(running), expected);
}

#[test]
fn former_times_are_forgotten() {
    let mut service_times = ServiceTimes::default();

    for time in [[1; 15], [8; 15]].concat() {
        service_times.record(Duration::from_millis(time));
    }

    assert_eq!(service_times.predict([]), Some(Duration::from_millis(8)));
}
