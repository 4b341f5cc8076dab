//! Documents offered in any order: the revision in force never decreases.

use {
    proptest::prelude::*,
    rstest::rstest,
    tamarackdale_core::{
        document::{Revision, example},
        document_registry::{OfferOutcome, Registry},
        quorum::{self, Answer},
    },
};

const SERVICE: &str = "ordre-app";

/// A valid text for most revisions; an invalid one or one of another service for some.
fn text(revision: i64) -> String {
    match revision % 7 {
        3 => "broken".to_owned(),
        5 => example::DISPATCH_APP.text.to_owned(),
        _ => format!("{}# {revision}\n", example::ORDRE_APP.text),
    }
}

fn is_valid(revision: i64) -> bool {
    ![3, 5].contains(&(revision % 7))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn revision_in_force_never_decreases(offers in prop::collection::vec(1_i64..40, 1..60)) {
        let mut registry = Registry::new();
        let mut newest_offered = 0;
        let mut in_force = Revision(0);

        for revision in offers {
            registry.offer(SERVICE, Revision(revision), &text(revision));

            let now = registry.revision(SERVICE);
            prop_assert!(now >= in_force);
            if is_valid(revision) && revision > newest_offered {
                prop_assert_eq!(now, Revision(revision));
            }
            newest_offered = newest_offered.max(revision);
            in_force = now;
        }

        let version = registry.get(SERVICE);
        prop_assert!(version.is_none_or(|version| version.text == text(version.revision.0)));
        prop_assert!(!registry.is_newer(SERVICE, Revision(newest_offered)));
    }
}

#[test]
fn refused_version_leaves_the_previous_one_in_force() {
    let mut registry = Registry::new();
    registry.offer(SERVICE, Revision(1), &text(1));

    let invalid = registry.offer(SERVICE, Revision(2), "broken");
    let mismatched = registry.offer(SERVICE, Revision(3), example::DISPATCH_APP.text);
    let repeated = registry.offer(SERVICE, Revision(3), example::DISPATCH_APP.text);
    let corrected = registry.offer(SERVICE, Revision(4), &text(4));

    assert!(matches!(invalid, OfferOutcome::Refused(_)));
    assert_eq!(
        mismatched,
        OfferOutcome::ServiceMismatch("dispatch-app".to_owned())
    );
    assert_eq!(repeated, OfferOutcome::NotNewer);
    assert_eq!(
        (corrected, registry.revision(SERVICE)),
        (OfferOutcome::Accepted, Revision(4))
    );
}

#[rstest]
#[case::nobody(&[], None)]
#[case::all_silent(&[Answer::NoAnswer, Answer::NoAnswer], None)]
#[case::newest_wins(&[held(4), held(7), held(7)], Some(7))]
#[case::half_is_too_few(&[held(7), Answer::NoAnswer], None)]
#[case::majority(&[held(7), held(6), Answer::NoAnswer], Some(7))]
#[case::others_do_not_count(&[held(7), Answer::NoDocument, Answer::NoDocument], Some(7))]
#[case::none_is_held(&[Answer::NoDocument, Answer::NoDocument], None)]
fn newest_revision_needs_a_majority_of_answers(
    #[case] answers: &[Answer],
    #[case] expected: Option<i64>,
) {
    assert_eq!(quorum::newest(answers), expected.map(Revision));
}

fn held(revision: i64) -> Answer {
    Answer::InForce(Revision(revision))
}
