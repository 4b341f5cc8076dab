//! Quotas that several routers enforce together.

use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{collections::HashMap, time::Duration},
    tamarackdale_core::{
        quota::{self, Ledger, Settings},
        routing_config::{Organisation, Quota, Unit},
        time::Timestamp,
    },
};

const RATE: f64 = 1_000.0;
const WINDOW_S: u64 = 8;

fn settings(is_first_start: bool) -> Settings {
    Settings {
        window: Duration::from_secs(WINDOW_S),
        overrun: 0.1,
        slack: 500.0,
        is_first_start,
    }
}

fn organisation() -> Organisation {
    Organisation {
        name: "large".to_owned(),
        rank: None,
        quota: Some(Quota {
            rate: RATE,
            burst: RATE,
            unit: Unit::Tokens { unstated: 1 },
        }),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Exchanges the use of every router with all others.
fn exchange(routers: &mut [Ledger], now: Timestamp) {
    for sender in 0..routers.len() {
        let usages: Vec<_> = routers[sender].usages(true, now).collect();
        for (receiver, ledger) in routers.iter_mut().enumerate() {
            if receiver != sender {
                usages
                    .iter()
                    .for_each(|usage| ledger.merge(sender as u64, usage, now));
            }
        }
    }
}

/// Maximum number of units within any window, from the times and units of the admissions.
fn most_in_window(admitted: &[(u64, f64)]) -> f64 {
    let window = WINDOW_S * 1_000;
    let sums = admitted.iter().map(|(start, _)| {
        let inside = admitted
            .iter()
            .filter(|(time, _)| (*start..start + window).contains(time));
        inside.map(|(_, units)| units).sum::<f64>()
    });
    sums.fold(0.0, f64::max)
}

/// The lag that routers assume if they exchange their use every `pause_ms`: one pause until the
/// report, and half a pause until it is counted.
fn assumed_lag(pause_ms: u64) -> Duration {
    Duration::from_millis(pause_ms + pause_ms / 2)
}

/// Offers several times the rate to random routers, which exchange their use every `lag_ms`.
fn overload(routers: &mut [Ledger], lag_ms: u64, from_ms: u64, to_ms: u64) -> Vec<(u64, f64)> {
    let mut random = StdRng::seed_from_u64(11);
    let organisation = organisation();
    let count = routers.len();
    routers
        .iter_mut()
        .for_each(|router| router.set_share(count, count, assumed_lag(lag_ms)));
    let mut admitted = Vec::new();
    for millis in (from_ms..to_ms).step_by(5) {
        let cost = random.random_range(5.0..60.0);
        let router = random.random_range(0..routers.len());
        if routers[router]
            .admit(&organisation, cost, at(millis))
            .is_ok()
        {
            admitted.push((millis, cost));
        }
        if millis.is_multiple_of(lag_ms) {
            exchange(routers, at(millis));
        }
    }
    admitted
}

#[test]
fn overload_of_one_organisation_stays_within_its_quota_over_all_routers() {
    let mut routers: Vec<Ledger> = (0..12).map(|_| Ledger::new(settings(true))).collect();

    let admitted = overload(&mut routers, 50, 0, 30_000);

    let allowed = (RATE * WINDOW_S as f64 + RATE) * 1.1 + 500.0;
    let most = most_in_window(&admitted);
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(
        most >= RATE * WINDOW_S as f64,
        "only {most} units were admitted"
    );
}

/// On small machines under load, summaries of other routers arrive late.
#[test]
fn overload_stays_within_the_quota_although_reports_arrive_late() {
    let mut routers: Vec<Ledger> = (0..32).map(|_| Ledger::new(settings(true))).collect();

    let admitted = overload(&mut routers, 400, 0, 30_000);

    let allowed = (RATE * WINDOW_S as f64 + RATE) * 1.1 + 500.0;
    let most = most_in_window(&admitted);
    assert!(most <= allowed, "{most} of {allowed}");
}

#[test]
fn burst_after_idle_time_is_not_refused() {
    let mut ledger = Ledger::new(settings(true));
    let organisation = organisation();

    let admitted = (0..80).all(|step| {
        let now = at(20_000 + step * 10);
        ledger.admit(&organisation, 100.0, now).is_ok()
    });

    assert!(admitted);
}

#[test]
fn quota_holds_when_all_routers_restart_under_overload() {
    let mut before: Vec<Ledger> = (0..4).map(|_| Ledger::new(settings(true))).collect();
    let mut admitted = overload(&mut before, 50, 0, 12_000);
    let history = before[0].usage_to_persist([&organisation()].into_iter(), at(12_000));
    let mut after: Vec<Ledger> = (0..4).map(|_| Ledger::new(settings(false))).collect();
    after
        .iter_mut()
        .for_each(|ledger| ledger.restore(history.clone(), at(0)));

    let again = overload(&mut after, 50, 0, 12_000);
    admitted.extend(
        again
            .into_iter()
            .map(|(time, units)| (time + 13_000, units)),
    );

    let allowed = (RATE * WINDOW_S as f64 + RATE) * 1.1 + 500.0;
    let most = most_in_window(&admitted);
    assert!(most <= allowed, "{most} of {allowed}");
}

#[test]
fn ordinary_use_is_admitted_after_a_restart() {
    let mut ledger = Ledger::new(settings(false));
    ledger.restore(HashMap::new(), at(0));
    let organisation = organisation();

    let admitted = (1..160).all(|step| {
        let now = at(step * 50);
        ledger.admit(&organisation, RATE * 0.05 * 0.6, now).is_ok()
    });

    assert!(admitted);
}

#[test]
fn isolated_router_uses_only_its_share_of_the_quota() {
    let mut ledger = Ledger::new(settings(true));
    let organisation = organisation();
    ledger.set_share(1, 4, Duration::ZERO);

    let admitted: f64 = (0..1_000)
        .filter(|step| ledger.admit(&organisation, 10.0, at(*step)).is_ok())
        .count() as f64
        * 10.0;

    assert!(admitted < (RATE * WINDOW_S as f64 + RATE) * 1.1 / 3.0);
}

#[test]
fn lowered_quota_applies_immediately() {
    let mut ledger = Ledger::new(settings(true));
    let mut organisation = organisation();
    assert!(ledger.admit(&organisation, 5_000.0, at(0)).is_ok());

    organisation.quota = organisation.quota.map(|quota| Quota {
        rate: 100.0,
        burst: 100.0,
        ..quota
    });
    let refused = ledger.admit(&organisation, 10.0, at(100));

    let excess = refused.expect_err("more than the lowered quota is used");
    let delay = excess.delay;
    assert!(delay > Duration::from_secs(7) && delay <= Duration::from_secs(9));
}

#[test]
fn repeated_report_is_counted_once() {
    let mut sender = Ledger::new(settings(true));
    let mut receiver = Ledger::new(settings(true));
    let organisation = organisation();
    sender
        .admit(&organisation, 100.0, at(0))
        .expect("the quota is not used up");
    let usage = sender
        .usages(true, at(5))
        .next()
        .expect("one organisation is known");

    receiver.merge(1, &usage, at(10));
    receiver.merge(1, &usage, at(20));

    assert_eq!(receiver.used("large"), 100.0);
}

/// Some of the admitted requests are refused later because of overload, and their units refunded.
#[test]
fn overload_with_refunds_stays_within_the_quota() {
    let mut random = StdRng::seed_from_u64(12);
    let organisation = organisation();
    let mut routers: Vec<Ledger> = (0..4).map(|_| Ledger::new(settings(true))).collect();
    routers
        .iter_mut()
        .for_each(|router| router.set_share(4, 4, assumed_lag(50)));
    let mut run = Vec::new();
    let mut waiting: Vec<(u64, usize, f64)> = Vec::new();
    for millis in (0..30_000).step_by(5) {
        let cost = random.random_range(5.0..60.0);
        let chosen = random.random_range(0..routers.len());
        let is_admitted = routers[chosen]
            .admit(&organisation, cost, at(millis))
            .is_ok();
        // For 1.5 of every 4 s, admitted requests are refused after a wait of 1.4 s.
        let is_overloaded = millis % 4_000 < 1_500;
        match (is_admitted, is_overloaded) {
            (true, true) => waiting.push((millis, chosen, cost)),
            (true, false) => run.push((millis, cost)),
            (false, _) => {}
        }
        for (admitted, router, cost) in
            waiting.extract_if(.., |(since, ..)| *since + 1_400 <= millis)
        {
            routers[router].refund("large", cost, at(admitted));
        }
        if millis.is_multiple_of(50) {
            exchange(&mut routers, at(millis));
        }
    }

    let allowed = (RATE * WINDOW_S as f64 + RATE) * 1.1 + 500.0;
    let most = most_in_window(&run);
    assert!(most <= allowed, "{most} of {allowed}");
}

#[test]
fn refunded_units_do_not_add_to_the_quota_later() {
    let organisation = organisation();
    let mut own = Ledger::new(settings(true));
    let mut peer = Ledger::new(settings(true));
    let report = |own: &Ledger, peer: &mut Ledger, millis: u64| {
        own.usages(false, at(millis))
            .for_each(|usage| peer.merge(1, &usage, at(millis)));
    };
    own.admit(&organisation, 1.0, at(0))
        .expect("the quota is not used up");
    report(&own, &mut peer, 1);

    own.admit(&organisation, 5_000.0, at(10))
        .expect("the quota is not used up");
    report(&own, &mut peer, 20);
    own.refund("large", 5_000.0, at(10));
    report(&own, &mut peer, 1_500);

    assert!((own.used("large"), peer.used("large")) == (1.0, 0.0));
    for ledger in [&mut own, &mut peer] {
        // After the admission has left the window, and before the refund has.
        let admitted = ledger.admit(&organisation, 1.0, at(9_000));
        assert!(admitted.is_ok() && ledger.used("large") >= 1.0);
    }
}

#[test]
fn cost_is_in_the_unit_of_the_quota() {
    assert_eq!(quota::cost(Unit::Requests, Some(70)), 1.0);
    assert_eq!(quota::cost(Unit::Tokens { unstated: 9 }, Some(70)), 70.0);
    assert_eq!(quota::cost(Unit::Tokens { unstated: 9 }, None), 9.0);
}

/// Routers restart one after the other, and each merges the history of the one before it.
#[test]
fn use_leaves_the_window_although_routers_restart_in_turn() {
    let organisation = organisation();
    let mut known = Ledger::new(settings(true));
    known
        .admit(&organisation, 5_000.0, at(0))
        .expect("the quota is not used up");
    let mut now = 0;

    for _ in 0..5 {
        now += 2_000;
        let usage = known
            .usages(true, at(now))
            .next()
            .expect("one organisation is known");
        let mut next = Ledger::new(settings(false));
        next.merge(1, &usage, at(now));
        next.mark_complete();
        known = next;
    }

    let admitted = known.admit(&organisation, 9_000.0, at(now + 100));
    assert!(
        admitted.is_ok(),
        "{} units are still counted",
        known.used("large")
    );
}

/// Numbers that are no units: a peer, or a program that writes to the store, may send them.
fn odd_numbers() -> [f64; 5] {
    [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        f64::MAX,
        f64::MIN,
    ]
}

/// Units that a ledger admits within one window.
fn admitted_in_window(ledger: &mut Ledger, now: Timestamp) -> f64 {
    let organisation = organisation();
    let admits = |_: &i32| ledger.admit(&organisation, 100.0, now).is_ok();
    (0..1_000).filter(admits).count() as f64 * 100.0
}

/// Guards against a quota that is not kept any more after one odd number of a peer, and against an
/// organisation that is refused for as long as it asks.
#[test]
fn odd_numbers_of_a_peer_leave_the_quota_in_force() {
    let stated = RATE * WINDOW_S as f64 + RATE;
    for number in odd_numbers() {
        for is_history in [false, true] {
            let mut ledger = Ledger::new(settings(true));
            let usage = |admitted: f64, history| quota::Usage {
                organisation: "large".to_owned(),
                admitted,
                refunded: 0.0,
                history,
            };
            let history = is_history.then(|| quota::UsageHistory(vec![number, 1.0]));
            ledger.merge(1, &usage(0.0, history), at(0));
            if !is_history {
                ledger.merge(1, &usage(number, None), at(10));
                ledger.merge(1, &usage(5.0, None), at(20));
            }

            let admitted = admitted_in_window(&mut ledger, at(30));

            assert!(
                (stated * 0.9..=stated * 1.2).contains(&admitted),
                "{number} (history: {is_history}): {admitted} of {stated} units admitted"
            );
        }
    }
}

/// Guards against the same numbers in what was saved.
#[test]
fn odd_numbers_in_saved_use_leave_the_quota_in_force() {
    let stated = RATE * WINDOW_S as f64 + RATE;
    for number in odd_numbers() {
        let mut ledger = Ledger::new(settings(true));
        let history = quota::UsageHistory(vec![number, 1.0]);
        let saved = HashMap::from([("large".to_owned(), history)]);
        ledger.restore(saved, at(0));

        let admitted = admitted_in_window(&mut ledger, at(30));

        assert!(
            (stated * 0.9..=stated * 1.2).contains(&admitted),
            "{number}: {admitted} of {stated} units admitted"
        );
    }
}
