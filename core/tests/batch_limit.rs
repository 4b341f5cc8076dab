//! The adaptive limit and the measured rates, tested against a simple engine model.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        batch_limit::{BatchLimit, Settings},
        cost::Rates,
        tier::Rank,
        time::Timestamp,
    },
};

/// Engine with continuous batching: a step produces one token for each running request and takes
/// `base + per_request * batch`. There are always requests waiting.
struct Engine {
    base: Duration,
    per_request: Duration,
    now: Timestamp,
    limit: BatchLimit,
}

impl Engine {
    fn new(base_us: u64, per_request_us: u64, settings: Settings) -> Self {
        Self {
            base: Duration::from_micros(base_us),
            per_request: Duration::from_micros(per_request_us),
            now: Timestamp::START,
            limit: BatchLimit::new(settings),
        }
    }

    fn run(&mut self, duration: Duration, slowness: u32) {
        let end = self.now.plus(duration);
        while self.now < end {
            while self.limit.running() < self.limit.current() {
                self.limit.started(self.now);
                self.limit
                    .first_token(1, Duration::from_micros(250), self.now);
            }
            while self.limit.running() > self.limit.current() {
                self.limit.finished(self.now);
            }

            let gap = (self.base + self.per_request * self.limit.running()) * slowness;
            self.now = self.now.plus(gap);
            for _ in 0..self.limit.running() {
                self.limit.token_gap(1, gap, self.now);
            }
        }
    }

    fn gap(&self) -> f64 {
        1.0 / self.limit.rates(self.now).decode
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The relative gain in throughput falls to 0.3 of that in batch size at a batch of
/// 7/3 * base / per_request.
#[rstest]
#[case::grows(20_000, 1_000, 46.7)]
#[case::shrinks(10_000, 4_000, 5.8)]
#[case::stays(10_000, 1_500, 15.6)]
fn limit_settles_at_the_minimum_relative_gain(
    #[case] base_us: u64,
    #[case] per_request_us: u64,
    #[case] expected: f64,
) {
    let mut engine = Engine::new(base_us, per_request_us, Settings::default());

    engine.run(seconds(90), 1);

    let limit = f64::from(engine.limit.current());
    assert!(
        (limit / expected).ln().abs() < 0.35,
        "limit {limit}, expected {expected}"
    );
}

#[test]
fn rates_and_limit_follow_an_engine_that_slows_tenfold_and_recovers() {
    let mut engine = Engine::new(20_000, 1_000, Settings::default());
    engine.run(seconds(90), 1);
    let (limit, gap) = (f64::from(engine.limit.current()), engine.gap());

    engine.run(seconds(10), 10);
    let slow_gap = engine.gap();
    engine.run(seconds(110), 10);
    let slow_limit = f64::from(engine.limit.current());
    engine.run(seconds(5), 1);
    let recovered_gap = engine.gap();
    engine.run(seconds(60), 1);
    let recovered_limit = f64::from(engine.limit.current());

    assert!(slow_gap > 6.0 * gap, "gap {gap} s, slow {slow_gap} s");
    assert!(
        slow_limit > limit / 2.0 && slow_limit < limit * 2.0,
        "limit {limit}, slow {slow_limit}"
    );
    assert!(
        recovered_gap < 1.5 * gap,
        "gap {gap} s, recovered {recovered_gap} s"
    );
    assert!(
        (recovered_limit / limit).ln().abs() < 0.35,
        "limit {limit}, recovered {recovered_limit}"
    );
}

/// Guards against an engine that counts as slow for good after it stood still for a moment: routers that
/// know a faster one send it nothing by which its speed could be measured again.
#[test]
fn moment_without_tokens_counts_for_no_more_than_it_lasted() {
    const STALL: Duration = Duration::from_millis(300);
    let mut engine = Engine::new(2_000, 10, Settings::default());
    engine.run(seconds(10), 1);
    let gap = engine.gap();
    let base = engine.base;

    engine.base = STALL;
    engine.run(Duration::from_millis(1), 1);
    engine.base = base;
    engine.run(Duration::from_millis(100), 1);

    let after = engine.gap();
    assert!(after < 3.0 * gap, "gap {gap} s, after the stall {after} s");
}

#[test]
fn fixed_limit_does_not_adapt() {
    let settings = Settings {
        is_adaptive: false,
        ..Settings::default()
    };
    let mut engine = Engine::new(20_000, 1_000, settings);

    engine.run(seconds(30), 1);

    assert_eq!(engine.limit.current(), settings.initial);
}

#[test]
fn decode_rate_falls_while_no_token_arrives() {
    let mut engine = Engine::new(20_000, 1_000, Settings::default());
    engine.run(seconds(10), 1);

    let rates = engine.limit.rates(engine.now.plus(seconds(4)));

    assert!(rates.decode <= 0.25, "{}", rates.decode);
}

#[test]
fn prefill_rate_follows_the_time_to_the_first_token() {
    let mut limit = BatchLimit::new(Settings {
        rates: Rates::new(4_000.0, 30.0),
        ..Settings::default()
    });
    limit.started(Timestamp::START);

    for second in 1..=20 {
        limit.first_token(1_000, seconds(1), Timestamp::from_millis(second * 1_000));
    }

    let rates = limit.rates(Timestamp::from_millis(20_000));
    assert!(
        (900.0..1_200.0).contains(&rates.prefill),
        "{}",
        rates.prefill
    );
}

#[rstest]
#[case::most_urgent(0, true)]
#[case::other(1, false)]
fn only_the_most_urgent_rank_exceeds_the_limit(#[case] rank: u8, #[case] admitted: bool) {
    let mut limit = BatchLimit::new(Settings {
        is_adaptive: false,
        ..Settings::default()
    });
    for _ in 0..limit.current() {
        limit.started(Timestamp::START);
    }

    assert_eq!(limit.admits(Rank(rank)), admitted);
}

#[test]
fn queued_prefill_in_the_engine_is_limited() {
    let limit = BatchLimit::new(Settings {
        rates: Rates::new(4_000.0, 30.0),
        ..Settings::default()
    });

    assert!(limit.has_prefill_room(700, Timestamp::START));
    assert!(!limit.has_prefill_room(900, Timestamp::START));
}

#[test]
fn decode_rate_does_not_change_during_the_first_prefill() {
    let mut limit = BatchLimit::new(Settings::default());
    let before = limit.rates(Timestamp::START).decode;
    limit.started(Timestamp::START);

    let rates = limit.rates(Timestamp::START.plus(seconds(4)));

    assert_eq!(rates.decode, before);
}

#[test]
fn first_measurement_replaces_the_assumed_rates() {
    let mut limit = BatchLimit::new(Settings::default());
    limit.started(Timestamp::START);

    limit.first_token(40, Duration::from_millis(400), Timestamp::START);
    limit.token_gap(1, Duration::from_millis(250), Timestamp::START);

    let rates = limit.rates(Timestamp::START);
    assert_eq!(rates.decode, 4.0);
    assert!((rates.prefill - 100.0).abs() < 1e-6, "{}", rates.prefill);
}
