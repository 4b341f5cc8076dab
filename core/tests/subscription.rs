//! Selection of the sidecars that a router follows: coverage, stability under churn, and size.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::collections::BTreeSet,
    tamarackdale_core::subscription::{MIN_FOLLOWED, Member, REMOTE_FOLLOWERS, followed},
};

/// Routers and sidecars, each with its data centre.
#[derive(Clone, Debug)]
struct Fleet {
    routers: Vec<(String, String)>,
    sidecars: Vec<(String, String)>,
}

impl Fleet {
    /// A fleet from the data centre number of each router and sidecar.
    fn new(routers: &[usize], sidecars: &[usize]) -> Self {
        let named = |role: &str, data_centres: &[usize]| {
            let names = data_centres.iter().enumerate();
            names
                .map(|(index, number)| (format!("{role}-{index}"), format!("dc-{number}")))
                .collect()
        };
        Self {
            routers: named("router", routers),
            sidecars: named("sidecar", sidecars),
        }
    }

    fn even(routers: usize, sidecars: usize, data_centres: usize) -> Self {
        let spread = |count: usize| (0..count).map(|n| n % data_centres).collect::<Vec<_>>();
        Self::new(&spread(routers), &spread(sidecars))
    }

    fn followed(&self, router: usize) -> BTreeSet<&str> {
        let routers = members(&self.routers);
        followed(routers[router], &routers, &members(&self.sidecars))
    }

    /// Number of routers that follow a sidecar, in its data centre and in others.
    fn followers(&self, sidecar: usize) -> (usize, usize) {
        let (name, data_centre) = &self.sidecars[sidecar];
        let follows = |router: &usize| self.followed(*router).contains(name.as_str());
        let (local, remote): (Vec<usize>, Vec<usize>) = (0..self.routers.len())
            .filter(follows)
            .partition(|router| self.routers[*router].1 == *data_centre);
        (local.len(), remote.len())
    }

    fn routers_in(&self, data_centre: &str) -> usize {
        let is_there = |router: &&(String, String)| router.1 == data_centre;
        self.routers.iter().filter(is_there).count()
    }

    fn without_router(&self, router: usize) -> Self {
        let mut fleet = self.clone();
        fleet.routers.remove(router);
        fleet
    }

    fn without_sidecar(&self, sidecar: usize) -> Self {
        let mut fleet = self.clone();
        fleet.sidecars.remove(sidecar);
        fleet
    }
}

fn members(named: &[(String, String)]) -> Vec<Member<'_>> {
    named
        .iter()
        .map(|(instance, data_centre)| Member {
            instance,
            data_centre,
        })
        .collect()
}

fn fleets() -> impl Strategy<Value = Fleet> {
    let routers = prop::collection::vec(0..5_usize, 2..12);
    let sidecars = prop::collection::vec(0..5_usize, 1..120);
    (routers, sidecars).prop_map(|(routers, sidecars)| Fleet::new(&routers, &sidecars))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_sidecar_is_followed(fleet in fleets(), picked in any::<prop::sample::Index>()) {
        let sidecar = picked.index(fleet.sidecars.len());
        let local_routers = fleet.routers_in(&fleet.sidecars[sidecar].1);

        let (local, remote) = fleet.followers(sidecar);

        prop_assert_eq!(local, local_routers);
        prop_assert!(remote >= REMOTE_FOLLOWERS.min(fleet.routers.len() - local_routers));
    }

    #[test]
    fn removal_of_a_sidecar_adds_at_most_one_other(
        fleet in fleets(),
        router in any::<prop::sample::Index>(),
        removed in any::<prop::sample::Index>(),
    ) {
        let router = router.index(fleet.routers.len());
        let removed = removed.index(fleet.sidecars.len());
        let smaller = fleet.without_sidecar(removed);

        let mut before = fleet.followed(router);
        let after = smaller.followed(router);

        before.remove(fleet.sidecars[removed].0.as_str());
        prop_assert!(after.is_superset(&before));
        prop_assert!(after.len() <= before.len() + 1);
    }

    #[test]
    fn removal_of_a_router_adds_only_sidecars_that_it_followed(
        fleet in fleets(),
        router in any::<prop::sample::Index>(),
        removed in any::<prop::sample::Index>(),
    ) {
        let router = router.index(fleet.routers.len() - 1);
        let removed = (router + 1 + removed.index(fleet.routers.len() - 1)) % fleet.routers.len();
        let smaller = fleet.without_router(removed);
        let moved = router - usize::from(removed < router);

        let before = fleet.followed(router);
        let after = smaller.followed(moved);

        let gained: BTreeSet<&str> = after.difference(&before).copied().collect();
        prop_assert!(gained.is_subset(&fleet.followed(removed)));
        prop_assert!(before.difference(&after).count() <= gained.len());
    }
}

#[rstest]
#[case::workshop(6, 20, 3, 20..=20)]
#[case::one_data_centre(2, 100, 1, 100..=100)]
#[case::no_sidecar(3, 0, 3, 0..=0)]
#[case::many_data_centres(26, 260, 13, MIN_FOLLOWED..=64)]
// 200 local sidecars and a mean sample of 2 × 2,600 / 360 = 14.4.
#[case::target(360, 2_600, 13, 200..=240)]
fn number_of_followed_sidecars_is_bounded(
    #[case] routers: usize,
    #[case] sidecars: usize,
    #[case] data_centres: usize,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let fleet = Fleet::even(routers, sidecars, data_centres);

    let counts = [0, routers / 2, routers - 1].map(|router| fleet.followed(router).len());

    let are_expected = counts.iter().all(|count| expected.contains(count));
    assert!(are_expected, "{counts:?} are not in {expected:?}");
}

#[test]
fn router_that_is_not_listed_follows_its_data_centre() {
    let fleet = Fleet::even(3, 200, 2);
    let own = Member {
        instance: "new",
        data_centre: "dc-1",
    };

    let found = followed(own, &members(&fleet.routers), &members(&fleet.sidecars));

    assert!(found.len() >= 100);
    assert!(found.contains("sidecar-1"));
}
