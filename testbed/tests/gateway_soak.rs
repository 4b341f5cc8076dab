//! Short soaks of gateways with fixed seeds; the example `gateway_soak` runs longer ones.

use {rstest::rstest, std::time::Duration, tamarackdale_testbed::platform::soak};

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test]
async fn random_faults_break_no_promise(#[case] seed: u64) {
    let report = soak::run(seed, Duration::from_secs(8)).await;

    let report = report.expect("the soak runs");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.served > report.requests / 4, "{report:#?}");
}
