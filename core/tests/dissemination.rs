//! Dissemination topology: every change reaches every instance, and the numbers of watchers of the
//! store, of sources and of followers are bounded.

use {
    rstest::rstest,
    std::collections::{HashMap, HashSet},
    tamarackdale_core::{
        dissemination::{self, Candidate},
        rendezvous,
    },
};

fn fleet(data_centres: usize, instances: usize) -> Vec<Candidate> {
    (0..data_centres * instances)
        .map(|index| Candidate {
            instance: format!("instance-{index}"),
            data_centre: format!("dc-{}", index % data_centres),
        })
        .collect()
}

#[rstest]
#[case::one(1, 1, 1)]
#[case::two_processes(1, 2, 2)]
#[case::current_fleet(3, 8, 6)]
#[case::target_fleet(13, 228, 52)]
fn changes_reach_every_instance_from_any_watcher(
    #[case] data_centres: usize,
    #[case] instances: usize,
    #[case] watching: usize,
) {
    let fleet = fleet(data_centres, instances);

    let watchers = dissemination::all_watchers(&fleet);
    let sources: HashMap<&str, HashSet<&str>> = fleet
        .iter()
        .map(|own| {
            let sources = dissemination::sources(&fleet, own);
            (
                own.instance.as_str(),
                sources
                    .iter()
                    .map(|source| source.instance.as_str())
                    .collect(),
            )
        })
        .collect();

    assert_eq!(watchers.len(), watching);
    for start in &watchers {
        assert_eq!(reached(start, &fleet, &sources), fleet.len(), "{start:?}");
    }
    for (own, sources) in &sources {
        assert!(!sources.contains(own));
        assert!(sources.len() <= dissemination::LOCAL_SOURCES + dissemination::REMOTE_SOURCES);
    }
    let followers = |name: &str| sources.values().filter(|of| of.contains(name)).count();
    let most = fleet.iter().map(|own| followers(&own.instance)).max();
    assert!(
        most <= Some(4 * dissemination::INSTANCES_PER_WATCHER),
        "{most:?}"
    );
}

/// Number of instances that are reached by a change that only `start` knows at first.
fn reached(
    start: &Candidate,
    fleet: &[Candidate],
    sources: &HashMap<&str, HashSet<&str>>,
) -> usize {
    let mut known = HashSet::from([start.instance.as_str()]);
    loop {
        let before = known.len();
        for own in fleet {
            if sources[own.instance.as_str()]
                .iter()
                .any(|source| known.contains(source))
            {
                known.insert(&own.instance);
            }
        }
        if known.len() == before {
            return before;
        }
    }
}

#[test]
fn lost_watcher_is_replaced_without_moving_the_others() {
    let fleet = fleet(1, 20);
    let before: Vec<Candidate> = dissemination::watchers(&fleet, "dc-0")
        .into_iter()
        .cloned()
        .collect();

    let rest: Vec<Candidate> = fleet
        .into_iter()
        .filter(|candidate| *candidate != before[0])
        .collect();
    let after = dissemination::watchers(&rest, "dc-0");

    assert_eq!(after.len(), before.len());
    assert!(after.contains(&&before[1]));
}

#[test]
fn rendezvous_choice_is_even_and_independent_of_candidate_order() {
    let names: Vec<String> = (0..10).map(|index| format!("instance-{index}")).collect();
    let reversed: Vec<String> = names.iter().rev().cloned().collect();
    let mut chosen: HashMap<&str, usize> = HashMap::new();

    for key in 0..1_000 {
        let key = key.to_string();
        let one = rendezvous::choose(&key, &names, String::as_str, 1);
        let other = rendezvous::choose(&key, &reversed, String::as_str, 1);
        assert_eq!(one, other);
        *chosen.entry(one[0]).or_default() += 1;
    }

    assert!(
        chosen.values().all(|count| (50..200).contains(count)),
        "{chosen:?}"
    );
}
