//! Division of a fleet of routers into cells.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::cell::{Layout, Scope},
};

fn layout(same_data_centre: usize, other_data_centres: usize) -> Layout {
    Layout {
        same_data_centre,
        other_data_centres,
    }
}

#[test]
fn small_fleet_is_one_cell_whatever_the_data_centre() {
    let fleet = layout(3, 8);

    let scopes = [true, false].map(|is_same| fleet.scope(is_same));

    assert_eq!(scopes, [Scope::Near, Scope::Near]);
    assert_eq!(fleet.peers(Scope::Far), 0);
    assert_eq!(fleet.max_remote_candidates(), None);
}

#[test]
fn large_fleet_has_a_cell_per_data_centre() {
    let fleet = layout(20, 82);

    let scopes = [true, false].map(|is_same| fleet.scope(is_same));

    assert_eq!(scopes, [Scope::Near, Scope::Far]);
    assert_eq!(
        (fleet.peers(Scope::Near), fleet.peers(Scope::Far)),
        (20, 82)
    );
    assert!(fleet.max_remote_candidates().is_some());
}

#[rstest]
#[case::alone(0, 0)]
#[case::small(3, 8)]
#[case::several_data_centres(20, 82)]
#[case::at_the_target(72, 288)]
#[case::one_data_centre(359, 0)]
fn messages_of_a_router_are_bounded_whatever_the_size(#[case] same: usize, #[case] other: usize) {
    let fleet = layout(same, other);

    let interval_per_peer = |scope| match u32::try_from(fleet.peers(scope)) {
        Ok(peers @ 1..) => fleet.interval(scope) / peers,
        _ => Duration::MAX,
    };

    // At most 2,000 and 1,334 summaries a second.
    assert!(interval_per_peer(Scope::Near) >= Duration::from_micros(500));
    assert!(interval_per_peer(Scope::Far) >= Duration::from_micros(750));
}

#[test]
fn growth_of_other_data_centres_does_not_age_what_a_cell_knows() {
    let before = layout(20, 20).interval(Scope::Near);

    let after = layout(20, 340).interval(Scope::Near);

    assert_eq!(before, after);
    assert_eq!(after, Duration::from_millis(10));
}
