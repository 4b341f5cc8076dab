//! Rollouts of routers that share counts, against answers of good and of bad versions.

#[path = "rollout/harness.rs"]
mod harness;

use {
    self::harness::{Bench, Nature, RAMP, SERVICE, members, order, revision, seen, settings},
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        rollout::{
            Counts, Credit, Event, Invalid, Key, Order, Outcome, Pick, Schedule, Side, State,
            Statistics, Table, Verdict, Visibility, verdict,
        },
        time::Timestamp,
    },
};

const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

fn fails(random: &mut SmallRng, probability: f64) -> Outcome {
    Outcome {
        has_failed: random.random::<f64>() < probability,
        occupancy_ms: Some(50.0 * (0.4 * random.random::<f64>()).exp()),
        ..Outcome::default()
    }
}

/// Failures of the new version from a second on, on one route or on all.
fn bad_from(second: f64, probability: f64, only: Option<u32>) -> Nature {
    Box::new(move |random, is_new, route, now, _| {
        let is_bad = is_new && now >= second && only.is_none_or(|only| only == route);
        fails(random, if is_bad { probability } else { 0.002 })
    })
}

fn good() -> Nature {
    Box::new(|random, _, _, _, _| fails(random, 0.002))
}

/// Runs until the deadline, and returns the part of the requests that the new version got.
fn run_to_deadline(bench: &mut Bench) -> f64 {
    bench.begin();
    bench.run(RAMP);
    bench.new as f64
}

fn bound(bench: &Bench) -> f64 {
    SHARE * (bench.old + bench.new) as f64 + SLACK
}

// Guards against a version that is bad from the beginning, later, or on one route, and gets more than its
// share and the slack, or gets requests long after its 50th bad answer.
#[rstest]
#[case::at_once_8(8, 600.0, 0.0, 0.3, None)]
#[case::at_once_41(41, 1_400.0, 0.0, 0.3, None)]
#[case::at_once_103(103, 1_400.0, 0.0, 0.3, None)]
#[case::at_once_360(360, 1_400.0, 0.0, 0.3, None)]
#[case::always_fails(41, 1_400.0, 0.0, 1.0, None)]
#[case::on_one_route(41, 1_400.0, 0.0, 0.3, Some(1))]
#[case::one_in_ten(41, 1_400.0, 0.0, 0.1, None)]
#[case::in_the_middle(41, 1_400.0, 5.0, 0.3, None)]
#[case::in_the_rise_8(8, 600.0, 8.0, 0.5, None)]
#[case::in_the_rise_103(103, 1_400.0, 8.0, 0.5, None)]
#[case::before_0_7_of_the_ramp_8(8, 600.0, 8.3, 0.2, None)]
#[case::before_0_7_of_the_ramp_41(41, 1_400.0, 8.3, 0.2, None)]
#[case::before_0_7_of_the_ramp_103(103, 1_400.0, 8.3, 0.2, None)]
#[case::in_the_rise_360(360, 1_400.0, 8.0, 0.5, None)]
#[case::little_traffic(8, 20.0, 0.0, 0.5, None)]
fn bad_version_is_rolled_back_within_the_bounds(
    #[case] routers: usize,
    #[case] rate: f64,
    #[case] second: f64,
    #[case] probability: f64,
    #[case] only: Option<u32>,
) {
    let mut bench = Bench::new(routers, rate, 11, bad_from(second, probability, only));

    let new = run_to_deadline(&mut bench);

    assert_eq!(
        bench.state(),
        Some(State::RolledBack),
        "{} bad of {new}, {} of the old version: {:?}",
        bench.new_bad.len(),
        bench.old,
        bench.events
    );
    assert!(new <= bound(&bench), "{new} of {}", bench.old + bench.new);
    if let Some(fiftieth) = bench.new_bad.get(49) {
        let late = bench.last_new.since(*fiftieth);
        assert!(
            late <= Duration::from_millis(4_000),
            "{late:?} after the 50th"
        );
    }
}

// Guards against a good version that is rolled back by chance or does not get everything in time.
#[rstest]
#[case(8, 600.0)]
#[case(41, 1_400.0)]
#[case(103, 1_400.0)]
#[case(360, 1_400.0)]
#[case::little_traffic(8, 5.0)]
fn good_version_is_completed_in_time(#[case] routers: usize, #[case] rate: f64) {
    let seeds = if routers > 100 { 1 } else { 10 };
    for seed in 0..seeds {
        let mut bench = Bench::new(routers, rate, seed, good());

        run_to_deadline(&mut bench);

        assert_eq!(
            bench.state(),
            Some(State::Completed),
            "seed {seed}: {:?}",
            bench.events
        );
    }
}

// Guards against a verdict by chance where both versions fail now and then, and times differ widely.
#[rstest]
#[case(8, 600.0, 0.02)]
#[case(8, 100.0, 0.05)]
#[case(41, 1_400.0, 0.05)]
fn version_that_is_as_bad_as_the_old_one_is_completed(
    #[case] routers: usize,
    #[case] rate: f64,
    #[case] probability: f64,
) {
    for seed in 0..20 {
        let nature: Nature = Box::new(move |random, _, route, _, _| {
            let spread: f64 = (0..4).map(|_| random.random::<f64>()).sum();
            Outcome {
                has_failed: random.random::<f64>() < probability,
                first_ms: Some(0.2 * (1.4 * spread).exp()),
                event_ms: Some(f64::from(10 + route * 5) * (0.3 * spread).exp()),
                occupancy_ms: None,
            }
        });
        let mut bench = Bench::new(routers, rate, seed, nature);

        run_to_deadline(&mut bench);

        assert_eq!(
            bench.state(),
            Some(State::Completed),
            "seed {seed}: {:?}",
            bench.status
        );
    }
}

// Guards against a total of the canaries of many routers that have few requests each above the bound, at
// any time before the rise.
#[rstest]
#[case(8)]
#[case(41)]
#[case(103)]
#[case(360)]
fn exposure_before_the_rise_is_bounded_at_all_times(#[case] routers: usize) {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let schedule = Schedule::new(RAMP, Duration::ZERO, SHARE);
        let mut credits: Vec<Credit> = (0..routers)
            .map(|_| Credit::new(random.random(), 10.0 / routers as f64))
            .collect();
        let (mut all, mut new) = (0.0, 0.0);

        for _ in 0..4_000 {
            let router = random.random_range(0..routers);
            all += 1.0;
            let route = random.random_range(0..5);
            new += f64::from(u8::from(credits[router].take(
                route,
                schedule.canary(),
                false,
            )));

            assert!(new <= SHARE * all + SLACK, "seed {seed}: {new} of {all}");
        }

        assert!(
            (new / all - 0.08).abs() < 0.02,
            "seed {seed}: {new} of {all}"
        );
    }
}

// Guards against a verdict from failures that hit both versions alike.
#[test]
fn failures_of_both_versions_are_no_verdict() {
    let nature: Nature = Box::new(|random, _, _, now, _| {
        fails(
            random,
            if (3.0..5.0).contains(&now) {
                0.5
            } else {
                0.002
            },
        )
    });
    let mut bench = Bench::new(8, 600.0, 3, nature);

    run_to_deadline(&mut bench);

    assert_eq!(bench.state(), Some(State::Completed), "{:?}", bench.events);
}

// Guards against a verdict from the outage of one router's own link, also when the old version gets nothing
// any more.
#[rstest]
#[case::in_the_canary(2.0)]
#[case::at_the_end(9.8)]
fn failures_at_one_router_are_no_verdict(#[case] second: f64) {
    let nature: Nature = Box::new(move |random, _, _, now, router| {
        let is_cut = router == 2 && (second..second + 1.0).contains(&now);
        fails(random, if is_cut { 1.0 } else { 0.002 })
    });
    let mut bench = Bench::new(8, 600.0, 3, nature);

    run_to_deadline(&mut bench);

    assert_eq!(bench.state(), Some(State::Completed), "{:?}", bench.events);
}

// Guards against a slow version that is taken for a good one: all of its answers, or a fifth of them.
#[rstest]
#[case::twice_as_long(2.2, 1.0)]
#[case::a_fifth_of_them(6.0, 0.2)]
fn slow_version_is_rolled_back(#[case] factor: f64, #[case] part: f64) {
    let nature: Nature = Box::new(move |random, is_new, _, _, _| {
        let usual = 50.0 * (0.8 * random.random::<f64>()).exp();
        let is_slow = is_new && random.random::<f64>() < part;
        Outcome {
            occupancy_ms: Some(if is_slow { usual * factor } else { usual }),
            ..Outcome::default()
        }
    });
    let mut bench = Bench::new(8, 600.0, 5, nature);

    let new = run_to_deadline(&mut bench);

    assert_eq!(bench.state(), Some(State::RolledBack));
    assert!(new <= bound(&bench), "{new}");
}

// Guards against a rollout that stops when the router that writes its status dies.
#[rstest]
#[case::good(0.002, State::Completed)]
#[case::bad(0.4, State::RolledBack)]
fn next_router_finishes_the_rollout(#[case] probability: f64, #[case] expected: State) {
    let mut bench = Bench::new(8, 600.0, 7, bad_from(4.0, probability, None));
    bench.begin();
    bench.run(Duration::from_secs(3));

    bench.kill(0);
    bench.run(Duration::from_secs(9));

    assert_eq!(bench.state(), Some(expected), "{:?}", bench.events);
}

// Guards against a completion that takes effect before the store has it, and against one that is lost with
// an outage of the store.
#[rstest]
#[case::good(0.002, State::Completed)]
#[case::bad(0.4, State::RolledBack)]
fn outage_of_the_store_delays_only_the_status(#[case] probability: f64, #[case] expected: State) {
    let mut bench = Bench::new(8, 600.0, 9, bad_from(4.0, probability, None));
    bench.begin();
    bench.run(Duration::from_secs(3));

    bench.store_down = true;
    bench.run(Duration::from_secs(8));
    let before = bench.state();
    let completions = bench
        .events
        .iter()
        .filter(|(.., event)| *event == Event::Completed);
    let completions = completions.count();
    bench.store_down = false;
    bench.run(Duration::from_secs(1));

    assert_eq!(before, Some(State::Running));
    assert_eq!(completions, 0);
    assert_eq!(bench.state(), Some(expected));
    assert!((bench.new as f64) < bound(&bench) || expected == State::Completed);
}

fn table(versions: &[&str], now: Timestamp) -> Table {
    let mut table = Table::new(settings());
    table.observe_servers(&members(&["v1"]), now);
    table.observe_servers(&members(versions), now);
    table
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

fn is_barred(table: &Table, version: &str, now: Timestamp) -> bool {
    let barred = table.barred(SERVICE, Pick::Any, false, now);
    barred.iter().any(|known| known == version)
}

// Guards against requests to a new version before its order was read, and against reads for nothing.
#[test]
fn unchecked_version_gets_nothing_until_its_order_was_read() {
    let mut table = table(&["v1", "v2"], at(0));
    let before = is_barred(&table, "v2", at(10));
    let checks = table.work(false, at(10)).checks;

    table.observe(&seen(Some(1), None, None), 0.5, at(20));

    assert!(before);
    assert_eq!(checks.get(SERVICE), Some(&1));
    assert!(!is_barred(&table, "v2", at(30)));
    assert!(!table.is_active());
    assert!(table.work(false, at(30)).checks.is_empty());
}

// Guards against reads at the start of a router beside one version only, and with rollouts disabled.
#[test]
fn nothing_is_read_for_one_version_or_without_the_guarantee() {
    let mut single = Table::new(settings());
    single.observe_servers(&members(&["v1"]), at(0));
    let mut disabled = Table::new(Default::default());
    disabled.observe_servers(&members(&["v1", "v2"]), at(0));

    assert!(single.work(false, at(0)).checks.is_empty());
    assert_eq!(disabled.work(true, at(0)), Default::default());
    assert_eq!(disabled.pick(SERVICE, 0, 0, at(0)), Pick::Any);
}

// Guards against a version that is withheld for ever because the store does not answer, and one that gets
// everything unchecked.
#[test]
fn unchecked_version_gets_a_canary_after_five_seconds() {
    let mut table = table(&["v1", "v2"], at(0));
    table.update(|_, _| 0, 0.5, at(4_900));
    let early = is_barred(&table, "v2", at(4_900));

    table.update(|_, _| 0, 0.5, at(5_100));
    let mut new = 0;
    for step in 0..400 {
        let now = at(5_100 + step * 100);
        table.update(|_, _| 0, 0.5, now);
        new += u32::from(table.pick(SERVICE, 0, 0, now) == Pick::New);
    }

    assert!(early);
    assert!((28..=50).contains(&new), "{new} of 400");
}

// Guards against a version that gets requests again after its rollback, by a stream or by a restart of the
// router, and against one that never gets any after a newer order.
#[test]
fn rolled_back_version_gets_nothing_until_a_newer_order() {
    let mut table = table(&["v1", "v2"], at(0));
    let state = Some((12, State::RolledBack));
    table.observe(&seen(Some(1), Some(order(11, "v2")), state), 0.5, at(10));
    let stopped = table.is_stopped(SERVICE, "v2", at(20));
    let bound = table.barred(SERVICE, Pick::Any, true, at(20));
    for second in 0..40 {
        table.observe_servers(&members(&["v1", "v2"]), at(second * 1_000));
        table.update(|_, _| 0, 0.5, at(second * 1_000));
    }
    let later = table.is_stopped(SERVICE, "v2", at(40_000));

    table.observe(&seen(None, Some(order(20, "v2")), state), 0.99, at(40_000));
    table.update(|_, _| 0, 0.5, at(40_010));

    assert!(stopped && later);
    assert_eq!(bound, ["v2"]);
    assert_eq!(table.pick(SERVICE, 0, 0, at(40_020)), Pick::New);
}

// Guards against a rolled back version that another one's newer order makes eligible, and the other way
// around.
#[test]
fn newest_order_wins() {
    let mut table = table(&["v1", "v2", "v3"], at(0));
    table.observe(&seen(Some(1), Some(order(11, "v2")), None), 0.5, at(10));
    table.observe(&seen(None, Some(order(12, "v3")), None), 0.5, at(20));

    table.observe(&seen(None, Some(order(11, "v2")), None), 0.5, at(30));

    let rollout = table.rollout(SERVICE).expect("there is one");
    assert_eq!(rollout.target.to, "v3");
    assert_eq!(rollout.revision, Some(revision(12)));
    assert!(table.is_stopped(SERVICE, "v2", at(40)));
}

// Guards against a status for a withdrawn order, and against a share that changes after it.
#[test]
fn withdrawn_order_keeps_its_share_and_has_no_status() {
    let mut table = table(&["v1", "v2"], at(0));
    table.observe(&seen(Some(1), Some(order(11, "v2")), None), 0.5, at(0));
    table.update(|_, _| 0, 0.5, at(100));
    table.observe(&seen(None, None, None), 0.5, at(1_000));

    for step in 0..130 {
        table.update(|_, _| 0, 0.5, at(1_000 + step * 100));
    }

    let share = table
        .rollout(SERVICE)
        .map(|known| known.share(&settings(), at(13_900)));
    assert!(
        share.is_some_and(|share| (share - 0.08).abs() < 1e-9),
        "{share:?}"
    );
    assert!(table.work(true, at(13_900)).writes.is_empty());

    table.observe_servers(&members(&["v2"]), at(14_000));
    table.update(|_, _| 0, 0.5, at(14_000));
    assert!(!is_barred(&table, "v2", at(14_010)));
}

// Guards against an order that cannot be carried out and stays without an answer.
#[test]
fn invalid_order_is_answered_with_a_reason() {
    let mut table = table(&["v1", "v2"], at(0));
    let invalid = Order {
        revision: revision(11),
        target: Err(Invalid {
            to: "v2".to_owned(),
            reason: "ramp_s is not positive".to_owned(),
        }),
    };

    table.observe(&seen(Some(1), Some(invalid), None), 0.5, at(10));

    let writes = table.work(true, at(20)).writes;
    assert_eq!(writes.len(), 1);
    assert_eq!(writes[0].status.state, State::RolledBack);
    assert_eq!(
        writes[0].status.reason.as_deref(),
        Some("ramp_s is not positive")
    );
    assert!(table.is_stopped(SERVICE, "v2", at(20)));
}

// Guards against a rollout without servers of its version that stays open after the deadline.
#[test]
fn order_without_servers_is_rolled_back_at_its_deadline() {
    let mut table = Table::new(settings());
    table.observe_servers(&members(&["v1"]), at(0));
    table.observe(&seen(None, Some(order(11, "v2")), None), 0.5, at(0));
    for step in 0..=120 {
        table.update(|_, _| 0, 0.5, at(step * 100));
    }

    let writes = table.work(true, at(12_000)).writes;

    assert_eq!(writes[0].status.state, State::RolledBack);
    assert_eq!(
        writes[0].status.reason.as_deref(),
        Some("no server of version v2")
    );
}

// Guards against requests to a version that was rolled back while the process was halted.
#[test]
fn version_gets_nothing_after_a_halt_until_peers_are_heard() {
    let mut table = table(&["v1", "v2"], at(0));
    table.observe(&seen(Some(1), Some(order(11, "v2")), None), 0.99, at(0));
    table.update(|_, _| 0, 0.5, at(100));

    let halted = table.is_stopped(SERVICE, "v2", at(1_900));
    table.update(|_, _| 0, 0.5, at(2_000));
    let recovering = table.is_stopped(SERVICE, "v2", at(2_100));
    table.update(|_, _| 0, 0.5, at(2_400));

    assert!(halted && recovering);
    assert!(!table.is_stopped(SERVICE, "v2", at(2_450)));
}

// Guards against a completion while a request runs at an old server of a peer, and against one that waits
// for it beyond the deadline.
#[test]
fn completion_waits_for_requests_at_the_old_version_until_a_second_before_the_deadline() {
    let mut table = table(&["v1", "v2"], at(0));
    let visible = Visibility {
        connected: 0,
        has_unreachable: false,
    };
    table.set_visibility(visible, 1);
    table.observe(
        &seen(Some(1), Some(order(11, "v2")), Some((12, State::Running))),
        0.5,
        at(0),
    );
    let mut written = Vec::new();
    for step in 0..=115 {
        table.update(|_, _| 1, 0.5, at(step * 100));
        if !table.work(true, at(step * 100)).writes.is_empty() {
            written.push(step);
        }
    }

    assert_eq!(written.first(), Some(&110));
}

// Guards against the verdict of the page's example, 8 of 10 against none of 200, that takes longer.
#[test]
fn large_difference_needs_few_answers() {
    let mut statistics = Statistics::new();
    for number in 0..200 {
        let key = Key {
            side: if number < 10 { Side::New } else { Side::Old },
            route: 0,
        };
        let has_failed = number < 8;
        statistics.record(
            key,
            Outcome {
                has_failed,
                ..Outcome::default()
            },
        );
    }

    assert!(matches!(verdict::judge(&statistics), Verdict::Bad(_)));
}

// Guards against counts of another router that are no counts.
#[rstest]
#[case(f64::NAN, 0.0)]
#[case(-1.0, 0.0)]
#[case(2e9, 0.0)]
#[case(1.0, 2.0)]
fn counts_out_of_range_are_not_valid(#[case] answers: f64, #[case] bad: f64) {
    let counts = Counts {
        answers,
        bad,
        ..Counts::default()
    };

    assert!(!counts.is_valid());
}
