//! Routing table: choice and refusal, correction of stale reports, and cache affinity.

use {
    proptest::prelude::*,
    rand::{SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{collections::BTreeMap, time::Duration},
    tamarackdale_core::{
        cost::{self, BLOCK_TOKENS, Cost, Rates},
        failure::Reason,
        floor,
        id::{Attempt, Boot, Incarnation, Instance},
        report::{Report, Share, WaitingWork},
        route::{Basis, Placement, Policy, Request, Table},
        tier::Rank,
        time::Timestamp,
    },
    xxhash_rust::xxh3::xxh3_64,
};

const NOW: Timestamp = Timestamp::START;
const ROUTER: Boot = Boot(7);

fn rng() -> StdRng {
    StdRng::seed_from_u64(5)
}

fn instance(number: usize) -> Instance {
    Instance(format!("slibe-{number}"))
}

/// An idle sidecar with eight slots, 1,000 tokens/s prefill rate and 10 tokens/s decode rate.
fn report(number: usize) -> Report {
    Report {
        incarnation: Incarnation {
            instance: instance(number),
            boot: Boot(1),
        },
        service: "slibe-llm".to_owned(),
        leaving: false,
        revision: 1,
        floor: floor::Notice::OPEN,
        limit: 8,
        running: 0,
        running_tokens: 0,
        unprefilled_tokens: 0,
        waiting: Vec::new(),
        rates: Rates::new(1_000.0, 10.0),
        evicted_prefixes: Vec::new(),
        seen: Vec::new(),
        notices: Vec::new(),
    }
}

fn loaded(number: usize, waiting: Vec<WaitingWork>) -> Report {
    Report {
        running: 8,
        running_tokens: 400,
        waiting,
        ..report(number)
    }
}

/// The same sidecar with an engine that is slower by a factor of ten.
fn slowed(number: usize) -> Report {
    Report {
        rates: Rates::new(100.0, 1.0),
        ..report(number)
    }
}

fn work(requests: u32) -> WaitingWork {
    WaitingWork {
        requests,
        prefill_tokens: requests * 100,
        decode_tokens: requests * 100,
        shares: Vec::new(),
    }
}

fn table(policy: Policy, reports: Vec<Report>) -> Table {
    let mut table = Table::new(policy, ROUTER);
    for report in reports {
        table.update(report, NOW);
    }
    table
}

fn cost(prefixes: Vec<u64>) -> Cost {
    Cost {
        prefill_tokens: 1_000,
        decode_tokens: 50,
        prefixes,
    }
}

/// A request of rank 1 with a service time of 6 s on an idle sidecar.
fn request(deadline_s: u64) -> Request {
    let deadline = NOW.plus(Duration::from_secs(deadline_s));
    Request::new(Rank(1), "joiners", cost(Vec::new()), deadline)
}

fn attempt(sequence: u64) -> Attempt {
    Attempt {
        router: ROUTER,
        sequence,
    }
}

fn dispatch(table: &mut Table, number: usize, sequence: u64, cost: &Cost) {
    table.record_dispatch(&instance(number), attempt(sequence), Rank(1), cost, NOW);
}

fn chosen(table: &mut Table, request: &Request) -> Instance {
    let choice = table
        .choose(request, &[], NOW, &mut rng())
        .expect("there is a sidecar");
    choice.incarnation.instance
}

#[rstest]
#[case::no_sidecar(Vec::new(), 60, Some(Reason::NoBackendServer))]
#[case::idle(vec![report(0)], 7, None)]
#[case::idle_but_too_slow(vec![report(0)], 4, Some(Reason::Infeasible))]
#[case::slow_under_load(vec![report(1), slowed(1)], 30, Some(Reason::Overload))]
#[case::too_loaded(vec![loaded(0, vec![work(0), work(80)])], 30, Some(Reason::Overload))]
#[case::loaded_with_less_urgent_rank(vec![loaded(0, vec![work(0), work(0), work(80)])], 30, None)]
#[case::loaded_with_more_urgent_rank(vec![loaded(0, vec![work(80)])], 30, Some(Reason::Overload))]
#[case::loaded_but_long_deadline(vec![loaded(0, vec![work(80)])], 300, None)]
fn request_is_refused_if_no_sidecar_can_meet_its_deadline(
    #[case] reports: Vec<Report>,
    #[case] deadline_s: u64,
    #[case] reason: Option<Reason>,
) {
    let mut table = table(Policy::default(), reports);

    let chosen = table.choose(&request(deadline_s), &[], NOW, &mut rng());

    let failure = chosen.err();
    assert_eq!(failure.map(|failure| failure.reason), reason);
    assert!(failure.is_none_or(|failure| failure.retry_after > Some(Duration::ZERO)));
}

#[test]
fn request_that_may_be_late_is_placed_despite_a_missed_deadline() {
    let mut table = table(Policy::default(), vec![report(0)]);

    let choice = table.choose(&request(1).with_may_be_late(true), &[], NOW, &mut rng());

    assert!(choice.is_ok());
}

#[test]
fn faster_and_less_loaded_sidecars_are_chosen() {
    let slow = Report {
        rates: Rates::new(100.0, 1.0),
        ..report(0)
    };
    let mut table = table(
        Policy::default(),
        vec![slow, loaded(1, vec![work(9)]), report(2)],
    );

    assert_eq!(chosen(&mut table, &request(300)), instance(2));
}

#[test]
fn excluded_leaving_and_removed_sidecars_are_not_chosen() {
    let leaving = Report {
        leaving: true,
        ..report(1)
    };
    let reports = vec![report(0), leaving, report(2), report(3), report(4)];
    let mut table = table(Policy::default(), reports);
    table.mark_leaving(&instance(2));
    table.remove(&instance(3));

    let choice = table.choose(&request(300), &[instance(0)], NOW, &mut rng());
    let last = table.choose(&request(300), &[instance(0), instance(4)], NOW, &mut rng());

    assert_eq!(
        choice.map(|choice| choice.incarnation.instance),
        Ok(instance(4))
    );
    assert_eq!(
        last.map_err(|failure| failure.reason).err(),
        Some(Reason::NoBackendServer)
    );
}

#[test]
fn report_does_not_cancel_the_leaving_state() {
    let mut table = table(Policy::default(), vec![report(0)]);
    table.mark_leaving(&instance(0));

    table.update(report(0), NOW);

    assert!(table.choose(&request(300), &[], NOW, &mut rng()).is_err());
}

#[test]
fn new_boot_replaces_a_leaving_sidecar() {
    let mut table = table(Policy::default(), vec![report(0)]);
    table.mark_leaving(&instance(0));
    let mut next = report(0);
    next.incarnation.boot = Boot(2);

    table.update(next, NOW);

    let choice = table.choose(&request(300), &[], NOW, &mut rng());
    assert_eq!(choice.map(|choice| choice.incarnation.boot), Ok(Boot(2)));
}

#[rstest]
#[case::corrected(true, 5)]
#[case::uncorrected(false, 0)]
fn correction_for_own_dispatches_spreads_load_despite_stale_reports(
    #[case] corrects_reports: bool,
    #[case] least: usize,
) {
    let policy = Policy {
        corrects_reports,
        ..Policy::default()
    };
    let full = |number| Report {
        limit: 2,
        ..report(number)
    };
    let mut table = table(policy, vec![full(0), full(1), full(2)]);
    let mut counts = BTreeMap::from([(instance(0), 0), (instance(1), 0), (instance(2), 0)]);

    for sequence in 0..15 {
        let mut generator = StdRng::seed_from_u64(0);
        let choice = table
            .choose(&request(300), &[], NOW, &mut generator)
            .expect("there is a sidecar");
        let chosen = choice.incarnation.instance;
        table.record_dispatch(&chosen, attempt(sequence), Rank(1), &request(300).cost, NOW);
        *counts.entry(chosen).or_default() += 1;
    }

    assert_eq!(counts.values().min(), Some(&least));
}

#[test]
fn dispatches_included_in_a_report_are_not_counted_twice() {
    let mut table = table(Policy::default(), vec![report(0)]);
    for sequence in 0..20 {
        dispatch(&mut table, 0, sequence, &cost(Vec::new()));
    }
    let predict = |table: &mut Table| {
        let choice = table.choose(&request(10_000), &[], NOW, &mut rng());
        choice.expect("there is a sidecar").predicted
    };
    let stale = predict(&mut table);

    let seen = Report {
        seen: vec![attempt(9)],
        ..report(0)
    };
    table.update(seen, NOW);
    let half = predict(&mut table);
    (10..20).for_each(|sequence| table.record_completion(attempt(sequence)));
    let idle = predict(&mut table);

    assert!(stale > half && half > idle, "{stale:?}, {half:?}, {idle:?}");
    assert_eq!(idle, Duration::from_secs(6));
}

#[test]
fn backlog_of_a_large_organisation_does_not_make_others_miss_their_deadline() {
    let share = |name: &str, tokens| Share {
        organisation: xxh3_64(name.as_bytes()),
        weight: 1,
        tokens,
    };
    let mut waiting = work(100);
    waiting.shares = vec![share("large", 19_000), share("small", 1_000)];
    let mut table = table(Policy::default(), vec![loaded(0, vec![work(0), waiting])]);
    let of = |organisation: &str| {
        let deadline = NOW.plus(Duration::from_secs(60));
        Request::new(Rank(1), organisation, cost(Vec::new()), deadline)
    };

    let small = table.choose(&of("small"), &[], NOW, &mut rng());
    let large = table.choose(&of("large"), &[], NOW, &mut rng());

    assert!(small.is_ok());
    assert_eq!(
        large.map_err(|failure| failure.reason).err(),
        Some(Reason::Overload)
    );
}

#[rstest]
#[case::used(true, Some(Basis::FastestWithPrefix), 2 * BLOCK_TOKENS)]
#[case::off(false, None, 0)]
fn sidecar_with_cached_prefix_is_preferred(
    #[case] uses_affinity: bool,
    #[case] basis: Option<Basis>,
    #[case] cached_tokens: u32,
) {
    let policy = Policy {
        uses_affinity,
        ..Policy::default()
    };
    let mut table = table(policy, (0..20).map(report).collect());
    dispatch(&mut table, 13, 0, &cost(vec![1, 2]));
    table.record_completion(attempt(0));
    // Long enough for the difference to exceed the margin within which candidates are drawn.
    let mut request = request(300);
    request.cost = Cost {
        prefill_tokens: 2 * BLOCK_TOKENS,
        decode_tokens: 1,
        prefixes: vec![1, 2, 3],
    };

    let choice = table
        .choose(&request, &[], NOW, &mut rng())
        .expect("there is a sidecar");

    assert_eq!(choice.candidates[0].cached_tokens, cached_tokens);
    assert_eq!(basis.is_none(), choice.basis == Basis::Fastest);
    assert_eq!(basis.is_some(), choice.incarnation.instance == instance(13));
}

#[test]
fn evicted_prefix_is_no_longer_counted_as_cached() {
    let mut table = table(Policy::default(), (0..20).map(report).collect());
    dispatch(&mut table, 13, 0, &cost(vec![1, 2]));
    let evicted = Report {
        evicted_prefixes: vec![1],
        ..report(13)
    };
    let mut request = request(300);
    request.cost.prefixes = vec![1, 2];

    table.update(evicted, NOW);

    let choice = table
        .choose(&request, &[], NOW, &mut rng())
        .expect("there is a sidecar");
    assert!(
        choice
            .candidates
            .iter()
            .all(|candidate| candidate.cached_tokens == 0)
    );
}

#[test]
fn choices_are_spread_over_equivalent_sidecars() {
    let mut table = table(Policy::default(), (0..20).map(report).collect());
    let mut generator = rng();
    let mut counts: BTreeMap<Instance, u32> = BTreeMap::new();

    for _ in 0..300 {
        let choice = table
            .choose(&request(300), &[], NOW, &mut generator)
            .expect("there is a sidecar");
        *counts.entry(choice.incarnation.instance).or_default() += 1;
    }

    assert!(counts.len() >= 3, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 150), "{counts:?}");
}

#[rstest]
#[case(Placement::Random, 60..=140)]
#[case(Placement::RoundRobin, 100..=100)]
#[case(Placement::LeastOutstanding, 100..=100)]
fn baseline_policies_spread_evenly(
    #[case] placement: Placement,
    #[case] expected: std::ops::RangeInclusive<u32>,
) {
    let mut table = table(Policy::baseline(placement), (0..5).map(report).collect());
    let mut generator = rng();
    let mut counts: BTreeMap<Instance, u32> = BTreeMap::new();

    for sequence in 0..500 {
        let choice = table
            .choose(&request(1), &[], NOW, &mut generator)
            .expect("baselines refuse nothing");
        let chosen = choice.incarnation.instance;
        table.record_dispatch(&chosen, attempt(sequence), Rank(1), &request(1).cost, NOW);
        *counts.entry(chosen).or_default() += 1;
    }

    assert_eq!(counts.len(), 5);
    assert!(
        counts.values().all(|count| expected.contains(count)),
        "{counts:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The lower bound of the predicted time of a choice is within the deadline, and more load at a
    /// more urgent rank never turns a refusal into a choice.
    #[test]
    fn choice_can_meet_the_deadline_and_more_load_never_admits_a_refused_request(
        loads in proptest::collection::vec((0_u32..40, 0_u32..40, 0_u32..40), 1..10),
        more in 1_u32..20,
        deadline_s in 5_u64..100,
    ) {
        let reports = |extra: u32| -> Vec<Report> {
            let numbered = loads.iter().enumerate();
            numbered
                .map(|(number, (first, second, third))| {
                    loaded(number, vec![work(first + extra), work(*second), work(*third)])
                })
                .collect()
        };
        let request = request(deadline_s);

        let choice = table(Policy::default(), reports(0)).choose(&request, &[], NOW, &mut rng());
        let loaded = table(Policy::default(), reports(more)).choose(&request, &[], NOW, &mut rng());

        let predicted = choice
            .as_ref()
            .map_or(Duration::ZERO, |choice| choice.candidates[0].predicted);
        prop_assert!(cost::min_time(predicted) <= Duration::from_secs(deadline_s));
        prop_assert!(choice.is_ok() || loaded.is_err());
    }
}

/// Guards against arithmetic that overflows: a sidecar may report any numbers.
#[rstest]
#[case(0)]
#[case(u32::MAX)]
fn absurd_report_can_be_used(#[case] number: u32) {
    let work = WaitingWork {
        requests: number,
        prefill_tokens: number,
        decode_tokens: number,
        shares: vec![Share {
            organisation: 1,
            weight: number,
            tokens: number,
        }],
    };
    let absurd = Report {
        limit: number,
        running: number,
        running_tokens: number,
        unprefilled_tokens: number,
        waiting: vec![work; 300],
        rates: Rates::new(f64::from(number) * f64::MAX, 0.0),
        seen: vec![attempt(u64::from(number) << 32 | u64::from(number))],
        ..report(1)
    };
    let mut table = table(Policy::default(), vec![report(1), report(2)]);
    dispatch(&mut table, 1, 1, &cost(Vec::new()));
    table.update(absurd, NOW);

    let ranks = [Rank::FIRST, Rank(1), Rank(255)];
    let choices = ranks.map(|rank| {
        let deadline = NOW.plus(Duration::from_secs(60));
        let request = Request::new(rank, "joiners", cost(Vec::new()), deadline);
        table
            .choose(&request, &[], NOW, &mut rng())
            .map(|choice| choice.incarnation.instance)
    });

    for choice in choices {
        assert_eq!(choice.expect("a sidecar"), instance(2));
    }
}
