//! Shed floor: raising, merging of notices and expiry.

use {
    proptest::prelude::*,
    std::time::Duration,
    tamarackdale_core::{
        floor::{Floor, Notice, Settings},
        tier::Rank,
        time::Timestamp,
    },
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn notice(rank: u8, remaining_ms: u64) -> Notice {
    Notice {
        rank: Rank(rank),
        remaining: Duration::from_millis(remaining_ms),
    }
}

#[test]
fn raised_floor_holds_until_the_hold_time_after_the_last_shed() {
    let mut floor = Floor::new(Settings {
        hold: Duration::from_secs(1),
        ..Settings::default()
    });

    let changed = floor.raise(Rank(2), at(0));
    let renewed = floor.raise(Rank(2), at(600));

    assert!(changed && !renewed);
    assert!(floor.serves(Rank(2), at(1_500)));
    assert!(!floor.serves(Rank(3), at(1_500)));
    assert!(floor.serves(Rank(3), at(1_600)));
}

#[test]
fn most_urgent_floor_wins_and_less_urgent_ones_follow_when_it_ends() {
    let mut floor = Floor::new(Settings {
        hold: Duration::from_secs(1),
        ..Settings::default()
    });

    floor.merge(notice(1, 300), at(0));
    floor.merge(notice(3, 900), at(0));

    assert_eq!(floor.current(at(0)), Rank(1));
    assert_eq!(floor.current(at(300)), Rank(3));
    assert_eq!(floor.current(at(900)), Rank::LAST);
}

#[test]
fn disabled_floor_serves_all_ranks() {
    let mut floor = Floor::new(Settings {
        is_enabled: false,
        ..Settings::default()
    });

    floor.raise(Rank(0), at(0));

    assert_eq!(floor.notice(at(0)), Notice::OPEN);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Processes that exchange their floors in any order must not renew them: without a new shed,
    /// the floor ends everywhere once the hold time since the last shed has passed.
    #[test]
    fn floor_ends_however_often_it_is_exchanged(
        raises in proptest::collection::vec((0_usize..4, 0_u8..5), 1..10),
        exchanges in proptest::collection::vec((0_usize..4, 0_usize..4, 0_u64..50), 0..200),
    ) {
        let mut floors: Vec<Floor> = (0..4).map(|_| Floor::new(Settings::default())).collect();
        for (process, rank) in &raises {
            floors[*process].raise(Rank(*rank), at(0));
        }
        let mut now_ms = 0;

        for (from, to, delay_ms) in exchanges {
            now_ms += delay_ms;
            let notice = floors[from].notice(at(now_ms));
            floors[to].merge(notice, at(now_ms));
        }

        let most_urgent = raises.iter().map(|(_, rank)| Rank(*rank)).min().unwrap_or(Rank::LAST);
        let hold_ms = Settings::default().hold.as_millis() as u64;
        for floor in &floors {
            prop_assert!(!floor.current(at(now_ms)).is_more_urgent_than(most_urgent));
            prop_assert_eq!(floor.current(at(now_ms.max(hold_ms))), Rank::LAST);
        }
    }

    /// A rank is not served while a more urgent one is being shed.
    #[test]
    fn no_less_urgent_rank_is_served_after_a_raise(
        raises in proptest::collection::vec((0_u8..5, 0_u64..300), 1..50),
    ) {
        let mut floor = Floor::new(Settings::default());
        let mut now_ms = 0;

        for (rank, delay_ms) in raises {
            now_ms += delay_ms;
            floor.raise(Rank(rank), at(now_ms));

            prop_assert!((rank + 1..6).all(|lower| !floor.serves(Rank(lower), at(now_ms))));
        }
    }
}

/// One router of a large fleet sheds a rank once: summaries that repeat it for a while must not keep
/// the less urgent ranks away for longer at the others.
#[test]
fn repeated_notice_of_one_shed_does_not_extend_its_hold_time() {
    let settings = Settings {
        hold: Duration::from_millis(120),
        is_enabled: true,
    };
    let (mut shedding, mut other) = (Floor::new(settings), Floor::new(settings));
    shedding.raise_own(Rank(1), at(1_000));

    for now in [1_000, 1_060, 1_119] {
        let notice = shedding
            .own_notice(at(now))
            .expect("the rank was just shed");
        other.merge(notice, at(now));
    }

    assert!(!other.serves(Rank(2), at(1_119)));
    assert!(other.serves(Rank(2), at(1_121)));
}
