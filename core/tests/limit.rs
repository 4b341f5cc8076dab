//! Organisation limits over several routers, the retry budget and the retry backoff.

use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        failure::Reason,
        limit::{Limiter, Limits, RouterShare},
        retry::{Backoff, Budget, Settings},
        time::Timestamp,
    },
};

const RATE: Limits = Limits {
    rate: Some(100.0),
    concurrency: None,
};

const CONCURRENCY: Limits = Limits {
    rate: None,
    concurrency: Some(10),
};

fn routers(count: u32) -> Vec<Limiter> {
    (0..count)
        .map(|index| Limiter::new(RouterShare::new(index, count)))
        .collect()
}

/// Offers ten times the rate limit to random routers for `seconds`. Returns the number of accepted
/// requests.
fn offer(routers: &mut [Limiter], from_s: u64, seconds: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(5);
    let mut accepted = 0;
    for millisecond in from_s * 1_000..(from_s + seconds) * 1_000 {
        let router = rng.random_range(0..routers.len());
        let now = Timestamp::from_millis(millisecond);
        accepted += u64::from(routers[router].acquire("large", RATE, now).is_ok());
    }
    accepted
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(7)]
fn total_rate_over_all_routers_is_within_ten_percent_of_the_limit(#[case] count: u32) {
    let mut routers = routers(count);
    offer(&mut routers, 0, 5);

    let accepted = offer(&mut routers, 5, 20);

    assert!((1_800..=2_200).contains(&accepted), "{accepted} of 2,000");
}

#[test]
fn rate_limit_holds_after_a_router_fails_and_after_it_returns() {
    let mut routers = routers(3);
    offer(&mut routers, 0, 5);

    let mut two = routers.split_off(1);
    for (index, router) in (0..).zip(&mut two) {
        router.set_share(RouterShare::new(index, 2));
    }
    offer(&mut two, 5, 2);
    let with_two = offer(&mut two, 7, 20);
    routers.append(&mut two);
    for (index, router) in (0..).zip(&mut routers) {
        router.set_share(RouterShare::new(index, 3));
    }
    offer(&mut routers, 27, 2);
    let with_three = offer(&mut routers, 29, 20);

    assert!((1_800..=2_200).contains(&with_two), "{with_two} of 2,000");
    assert!(
        (1_800..=2_200).contains(&with_three),
        "{with_three} of 2,000"
    );
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(4)]
#[case(20)]
fn concurrency_shares_add_up_to_the_limit(#[case] count: u32) {
    let mut routers = routers(count);

    let mut accepted = 0;
    for router in &mut routers {
        while router
            .acquire("large", CONCURRENCY, Timestamp::START)
            .is_ok()
        {
            accepted += 1;
        }
    }

    assert_eq!(accepted, 10);
}

#[test]
fn refusal_has_a_retry_delay_and_does_not_affect_other_organisations() {
    let mut limiter = Limiter::new(RouterShare::new(0, 1));
    let bound = Limits {
        rate: Some(1.0),
        concurrency: None,
    };
    limiter
        .acquire("large", bound, Timestamp::START)
        .expect("the first fits");

    let refused = limiter.acquire("large", bound, Timestamp::from_millis(250));
    let other = limiter.acquire("small", bound, Timestamp::from_millis(250));
    let later = limiter.acquire("large", bound, Timestamp::from_millis(1_000));

    let failure = refused.expect_err("the second is too early");
    assert_eq!(failure.reason, Reason::OrganisationLimit);
    assert_eq!(failure.retry_after, Some(Duration::from_millis(750)));
    assert!(other.is_ok() && later.is_ok());
}

#[test]
fn released_request_frees_its_slot() {
    let mut limiter = Limiter::new(RouterShare::new(0, 1));
    while limiter
        .acquire("large", CONCURRENCY, Timestamp::START)
        .is_ok()
    {}

    limiter.release("large", Duration::from_secs(2));

    assert!(
        limiter
            .acquire("large", CONCURRENCY, Timestamp::START)
            .is_ok()
    );
    assert!(
        limiter
            .acquire("large", CONCURRENCY, Timestamp::START)
            .is_err()
    );
}

#[test]
fn retries_stay_within_the_budget() {
    let settings = Settings::default();
    let mut budget = Budget::new(settings);

    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt();
        retries += u32::from(budget.try_retry());
    }

    let bound = 10_000.0 * settings.ratio + settings.burst;
    assert!(
        f64::from(retries) <= bound && f64::from(retries) >= bound - 1.0,
        "{retries}"
    );
}

/// Guards against shares of a budget whose smallest burst, of one retry at each router, adds up to more
/// than the budget: the requests of a quiet window all fail at once.
#[rstest]
fn retries_of_all_routers_together_stay_within_the_budget(
    #[values(8, 41, 103, 360)] routers: usize,
    #[values(50, 500, 5_000, 50_000)] requests: u32,
) {
    /// Retries per request that the platform allows, and retries beside them.
    const RATIO: f64 = 0.2;
    const EXTRA: f64 = 104.0;
    /// Fraction that routers use, as the gateway does.
    const USED: f64 = 0.8;
    let settings = Settings {
        ratio: RATIO * USED,
        burst: EXTRA * USED / routers as f64,
    };
    let mut random = StdRng::seed_from_u64(routers as u64);
    let mut budgets: Vec<Budget> = (0..routers).map(|_| Budget::new(settings)).collect();

    let mut retries = 0;
    for _ in 0..requests {
        let budget = &mut budgets[random.random_range(0..routers)];
        budget.record_first_attempt();
        // Each request fails at two servers.
        for _ in 0..2 {
            let is_granted = budget.try_retry() || budget.try_fraction(random.random());
            retries += u32::from(is_granted);
        }
    }

    let allowed = f64::from(requests) * RATIO + EXTRA;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    let earned = f64::from(requests) * RATIO * USED;
    assert!(f64::from(retries) > earned * 0.8, "{retries} of {earned}");
}

#[test]
fn backoff_delays_have_jitter_and_are_bounded() {
    let (base, cap) = (Duration::from_millis(5), Duration::from_millis(500));
    let backoff = Backoff::new(base, cap);

    let first: Vec<Duration> = (0..100).map(|seed| backoff.delay(0, seed)).collect();
    let capped: Vec<Duration> = (0..100).map(|seed| backoff.delay(20, seed)).collect();

    assert!(first.iter().all(|delay| (base / 2..=base).contains(delay)));
    assert!(capped.iter().all(|delay| (cap / 2..=cap).contains(delay)));
    assert!(capped.iter().any(|delay| *delay > cap * 7 / 8));
    assert!(capped.iter().any(|delay| *delay < cap * 5 / 8));
}
