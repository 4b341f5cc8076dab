//! Text forms of verdicts and reasons, which are sent to callers and between processes.

use {
    rstest::rstest,
    tamarackdale_core::{failure::Reason, verdict::Verdict},
};

#[rstest]
#[case(Verdict::NotRun, "not-run")]
#[case(Verdict::MayHaveRun, "may-have-run")]
#[case(Verdict::Ran, "ran")]
fn verdict_round_trips(#[case] verdict: Verdict, #[case] name: &str) {
    let shown = verdict.to_string();

    assert_eq!(shown, name);
    assert_eq!(shown.parse::<Verdict>().ok(), Some(verdict));
}

#[rstest]
#[case(Reason::OrganisationLimit, "organisation-limit")]
#[case(Reason::Void, "void")]
fn reason_round_trips(#[case] reason: Reason, #[case] name: &str) {
    let shown = reason.to_string();

    assert_eq!(shown, name);
    assert_eq!(shown.parse::<Reason>().ok(), Some(reason));
}
