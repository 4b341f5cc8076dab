//! Quotas that several routers keep together.

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

/// Lets every router hear of all others.
fn exchange(routers: &mut [Ledger], now: Timestamp) {
    for teller in 0..routers.len() {
        let usages: Vec<_> = routers[teller].usages(true, now).collect();
        for (listener, ledger) in routers.iter_mut().enumerate() {
            if listener != teller {
                usages
                    .iter()
                    .for_each(|usage| ledger.merge(teller as u64, usage, now));
            }
        }
    }
}

/// Most units within any window among those admitted at the given times.
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

/// What routers that exchange every `pause_ms` assume: a pause to tell, and half as much to count.
fn assumed_lag(pause_ms: u64) -> Duration {
    Duration::from_millis(pause_ms + pause_ms / 2)
}

/// Offers several times the rate at random routers, which hear of each other every `lag_ms`.
fn flood(routers: &mut [Ledger], lag_ms: u64, from_ms: u64, to_ms: u64) -> Vec<(u64, f64)> {
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
fn flood_of_one_organisation_stays_within_its_quota_over_all_routers() {
    let mut routers: Vec<Ledger> = (0..12).map(|_| Ledger::new(settings(true))).collect();

    let admitted = flood(&mut routers, 50, 0, 30_000);

    let allowed = (RATE * WINDOW_S as f64 + RATE) * 1.1 + 500.0;
    let most = most_in_window(&admitted);
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(
        most >= RATE * WINDOW_S as f64,
        "{most} is refused too early"
    );
}

/// Small machines under load hear of each other late.
#[test]
fn flood_stays_within_the_quota_though_routers_hear_late() {
    let mut routers: Vec<Ledger> = (0..32).map(|_| Ledger::new(settings(true))).collect();

    let admitted = flood(&mut routers, 400, 0, 30_000);

    let allowed = (RATE * WINDOW_S as f64 + RATE) * 1.1 + 500.0;
    let most = most_in_window(&admitted);
    assert!(most <= allowed, "{most} of {allowed}");
}

#[test]
fn burst_after_quiet_seconds_is_not_refused() {
    let mut ledger = Ledger::new(settings(true));
    let organisation = organisation();

    let admitted = (0..80).all(|step| {
        let now = at(20_000 + step * 10);
        ledger.admit(&organisation, 100.0, now).is_ok()
    });

    assert!(admitted);
}

#[test]
fn all_routers_start_again_while_one_organisation_floods() {
    let mut before: Vec<Ledger> = (0..4).map(|_| Ledger::new(settings(true))).collect();
    let mut admitted = flood(&mut before, 50, 0, 12_000);
    let kept = before[0].usage_to_persist([&organisation()].into_iter(), at(12_000));
    let mut after: Vec<Ledger> = (0..4).map(|_| Ledger::new(settings(false))).collect();
    after
        .iter_mut()
        .for_each(|ledger| ledger.restore(kept.clone(), at(0)));

    let again = flood(&mut after, 50, 0, 12_000);
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
fn ordinary_use_goes_on_after_a_start() {
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
fn routers_out_of_touch_share_what_is_left() {
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
fn lowered_quota_holds_at_once() {
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
fn summary_told_twice_changes_nothing() {
    let mut teller = Ledger::new(settings(true));
    let mut listener = Ledger::new(settings(true));
    let organisation = organisation();
    teller
        .admit(&organisation, 100.0, at(0))
        .expect("there is room");
    let usage = teller
        .usages(true, at(5))
        .next()
        .expect("one organisation is known");

    listener.merge(1, &usage, at(10));
    listener.merge(1, &usage, at(20));

    assert_eq!(listener.used("large"), 100.0);
}

/// Overload refuses part of what a flood was admitted for.
#[test]
fn flood_whose_requests_are_partly_refused_stays_within_its_quota() {
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
        // Each burst of the flood is refused for the most part, after a wait.
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
fn units_that_were_given_back_make_no_room_later() {
    let organisation = organisation();
    let mut own = Ledger::new(settings(true));
    let mut peer = Ledger::new(settings(true));
    let tell = |own: &Ledger, peer: &mut Ledger, millis: u64| {
        own.usages(false, at(millis))
            .for_each(|usage| peer.merge(1, &usage, at(millis)));
    };
    own.admit(&organisation, 1.0, at(0)).expect("there is room");
    tell(&own, &mut peer, 1);

    own.admit(&organisation, 5_000.0, at(10))
        .expect("there is room");
    tell(&own, &mut peer, 20);
    own.refund("large", 5_000.0, at(10));
    tell(&own, &mut peer, 1_500);

    assert!((own.used("large"), peer.used("large")) == (1.0, 0.0));
    for ledger in [&mut own, &mut peer] {
        // Between the admission's leaving of the window and the refund's.
        let admitted = ledger.admit(&organisation, 1.0, at(9_000));
        assert!(admitted.is_ok() && ledger.used("large") >= 1.0);
    }
}

#[test]
fn cost_counts_tokens_where_the_quota_does() {
    assert_eq!(quota::cost(Unit::Requests, Some(70)), 1.0);
    assert_eq!(quota::cost(Unit::Tokens { unstated: 9 }, Some(70)), 70.0);
    assert_eq!(quota::cost(Unit::Tokens { unstated: 9 }, None), 9.0);
}

/// Routers start again one after the other, and each hears what the one before it knows.
#[test]
fn use_leaves_the_window_though_routers_start_in_turn() {
    let organisation = organisation();
    let mut known = Ledger::new(settings(true));
    known
        .admit(&organisation, 5_000.0, at(0))
        .expect("there is room");
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

    let refused = known.admit(&organisation, 9_000.0, at(now + 100));
    assert!(
        refused.is_ok(),
        "{} units are still counted",
        known.used("large")
    );
}
