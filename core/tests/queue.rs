//! Scheduling order, eviction, expiry and fairness of the queue.

use {
    proptest::prelude::*,
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::{
        cost::{Cost, Rates},
        failure::Reason,
        id::{Attempt, Boot},
        queue::{Entry, LatePolicy, Order, Queue, Settings},
        tier::Rank,
        time::Timestamp,
    },
};

const NOW: Timestamp = Timestamp::START;

fn rates() -> Rates {
    Rates::new(1_000.0, 10.0)
}

fn attempt(sequence: u64) -> Attempt {
    Attempt {
        router: Boot(1),
        sequence,
    }
}

fn entry(sequence: u64, rank: u8, organisation: &str) -> Entry {
    Entry {
        attempt: attempt(sequence),
        rank: Rank(rank),
        organisation: organisation.to_owned(),
        weight: 1,
        cost: cost(50, 50),
        deadline: NOW.plus(Duration::from_secs(1_000)),
        late: LatePolicy::Drop,
        enqueued: NOW,
    }
}

fn cost(prefill_tokens: u32, decode_tokens: u32) -> Cost {
    Cost {
        prefill_tokens,
        decode_tokens,
        prefixes: Vec::new(),
    }
}

fn queue(max_requests: usize) -> Queue {
    Queue::new(Settings {
        max_requests,
        ..Settings::default()
    })
}

fn sequences(entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|entry| entry.attempt.sequence).collect()
}

fn pop_all(queue: &mut Queue) -> Vec<Entry> {
    std::iter::from_fn(|| queue.pop(NOW, rates())).collect()
}

#[test]
fn earliest_deadline_goes_first_within_an_organisation() {
    let mut queue = queue(10);
    for (sequence, deadline_s) in [(1, 300), (2, 100), (3, 200)] {
        let deadline = NOW.plus(Duration::from_secs(deadline_s));
        let entry = Entry {
            deadline,
            ..entry(sequence, 0, "carvers")
        };
        queue.push(entry, NOW).expect("the queue has room");
    }

    let popped = pop_all(&mut queue);

    assert_eq!(sequences(&popped), [2, 3, 1]);
}

#[test]
fn first_in_first_out_ignores_tier_and_deadline() {
    let mut queue = Queue::new(Settings {
        order: Order::FirstIn,
        ..Settings::default()
    });
    for (sequence, rank) in [(1, 3), (2, 0), (3, 2)] {
        let enqueued = Timestamp::from_millis(sequence);
        let entry = Entry {
            enqueued,
            ..entry(sequence, rank, "carvers")
        };
        queue.push(entry, NOW).expect("the queue has room");
    }

    let popped = pop_all(&mut queue);

    assert_eq!(sequences(&popped), [1, 2, 3]);
}

#[test]
fn full_queue_evicts_less_urgent_entries_before_it_refuses() {
    let mut queue = queue(3);
    for (sequence, rank) in [(1, 1), (2, 2), (3, 3)] {
        queue
            .push(entry(sequence, rank, "clerks"), NOW)
            .expect("the queue has room");
    }

    let first = queue
        .push(entry(4, 0, "residents"), NOW)
        .map(|evicted| sequences(&evicted));
    let second = queue
        .push(entry(5, 1, "clerks"), NOW)
        .map(|evicted| sequences(&evicted));
    let third = queue.push(entry(6, 1, "clerks"), NOW);

    assert_eq!(first, Ok(vec![3]));
    assert_eq!(second, Ok(vec![2]));
    assert_eq!(
        third.map_err(|failure| failure.reason).err(),
        Some(Reason::Overload)
    );
}

#[test]
fn nothing_is_evicted_for_an_entry_that_would_still_not_fit() {
    let mut queue = Queue::new(Settings {
        max_tokens: 1_000,
        ..Settings::default()
    });
    queue
        .push(entry(1, 2, "clerks"), NOW)
        .expect("the queue has room");
    let large = Entry {
        cost: cost(1_001, 0),
        ..entry(2, 0, "residents")
    };

    let refused = queue.push(large, NOW);

    assert!(refused.is_err());
    assert!(queue.contains(attempt(1)));
}

#[test]
fn full_queue_evicts_from_the_organisation_with_the_largest_backlog() {
    let mut queue = queue(4);
    for sequence in 1..=4 {
        queue
            .push(entry(sequence, 1, "large"), NOW)
            .expect("the queue has room");
    }

    let evicted = queue
        .push(entry(5, 1, "small"), NOW)
        .expect("an entry of the large organisation is evicted");

    assert_eq!(evicted.len(), 1);
    assert_eq!(evicted[0].organisation, "large");
}

#[rstest]
#[case::in_time(LatePolicy::Drop, 10_000, 0)]
#[case::just_in_time(LatePolicy::Drop, 5_050, 0)]
#[case::in_time_if_the_load_decreases(LatePolicy::Drop, 3_550, 0)]
#[case::too_late(LatePolicy::Drop, 3_060, 1)]
#[case::deadline_passed(LatePolicy::Drop, 0, 1)]
#[case::late_but_finished(LatePolicy::Finish, 0, 0)]
fn expire_removes_entries_that_cannot_meet_their_deadline(
    #[case] late: LatePolicy,
    #[case] deadline_ms: u64,
    #[case] expired: usize,
) {
    let mut queue = queue(10);
    let deadline = Timestamp::from_millis(deadline_ms);
    let entry = Entry {
        deadline,
        late,
        ..entry(1, 0, "joiners")
    };
    queue.push(entry, NOW).expect("the queue has room");

    let failures = queue.expire(NOW, rates());

    assert_eq!(failures.len(), expired);
    assert!(
        failures
            .iter()
            .all(|(_, failure)| failure.retry_after.is_some())
    );
    assert_eq!(queue.pop(NOW, rates()).is_some(), expired == 0);
}

#[test]
fn expire_uses_the_current_rates() {
    let mut queue = queue(10);
    let deadline = NOW.plus(Duration::from_secs(10));
    let entry = Entry {
        deadline,
        ..entry(1, 0, "joiners")
    };
    queue.push(entry, NOW).expect("the queue has room");

    let before = queue.expire(NOW, rates());
    let after = queue.expire(NOW, Rates::new(100.0, 1.0));

    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
}

#[test]
fn entry_that_can_no_longer_meet_its_deadline_is_expired_instead_of_started() {
    let mut queue = queue(10);
    let deadline = NOW.plus(Duration::from_secs(10));
    for sequence in 1..=2 {
        let entry = Entry {
            deadline,
            ..entry(sequence, 0, "joiners")
        };
        queue.push(entry, NOW).expect("the queue has room");
    }
    let later = NOW.plus(Duration::from_millis(6_600));

    let popped = queue.pop(later, rates());
    let expired = queue.expire(later, rates());

    assert!(popped.is_none());
    assert_eq!(expired.len(), 2);
}

#[test]
fn late_entry_to_be_finished_goes_after_those_that_can_be_in_time() {
    let mut queue = queue(10);
    for (sequence, deadline_s) in [(1, 1), (2, 2), (3, 60)] {
        let entry = Entry {
            deadline: NOW.plus(Duration::from_secs(deadline_s)),
            late: LatePolicy::Finish,
            ..entry(sequence, 2, "carvers")
        };
        queue.push(entry, NOW).expect("the queue has room");
    }

    let popped = pop_all(&mut queue);

    assert_eq!(sequences(&popped), [3, 1, 2]);
}

#[test]
fn retry_after_follows_the_drain_rate() {
    let mut queue = queue(1_000);
    for sequence in 0..100 {
        queue
            .push(entry(sequence, 1, "clerks"), NOW)
            .expect("the queue has room");
    }
    let mut now = NOW;
    for _ in 0..50 {
        now = now.plus(Duration::from_millis(100));
        queue.pop(now, rates());
    }

    let delay = queue.retry_after(Rank(1)).as_secs_f64();

    assert!(
        (4.0..=6.0).contains(&delay),
        "50 entries at 10 per second: {delay} s"
    );
}

/// A burst after a quiet time: the callers that it turns away must not be told to stay away for as
/// long as the queue was idle.
#[test]
fn quiet_time_does_not_lengthen_the_retry_delay() {
    let mut queue = queue(1_000);
    let mut now = NOW;
    for burst in 0..2 {
        for sequence in 0..100 {
            queue
                .push(entry(burst * 100 + sequence, 1, "clerks"), now)
                .expect("the queue has room");
        }
        for _ in 0..50 {
            now = now.plus(Duration::from_millis(100));
            queue.pop(now, rates());
        }
        if burst == 0 {
            pop_all(&mut queue);
            now = now.plus(Duration::from_secs(600));
        }
    }

    let delay = queue.retry_after(Rank(1)).as_secs_f64();

    assert!(
        (4.0..=6.0).contains(&delay),
        "50 entries at 10 per second: {delay} s"
    );
}

#[test]
fn raised_floor_sheds_and_refuses_less_urgent_ranks_until_lowered() {
    let mut queue = queue(10);
    for (sequence, rank) in [(1, 0), (2, 1), (3, 2), (4, 255)] {
        queue
            .push(entry(sequence, rank, "clerks"), NOW)
            .expect("the queue has room");
    }

    let shed = queue.raise_floor(Rank(1));
    let refused = queue.push(entry(5, 2, "clerks"), NOW);
    queue.lower_floor(Rank::LAST);
    let accepted = queue.push(entry(6, 2, "clerks"), NOW);

    assert_eq!(sequences(&shed), [3, 4]);
    assert!(refused.is_err());
    assert!(accepted.is_ok());
    assert_eq!(sequences(&queue.drain()), [1, 2, 6]);
    assert!(queue.is_empty());
}

#[test]
fn work_is_counted_by_rank() {
    let mut queue = queue(10);
    queue
        .push(entry(1, 0, "clerks"), NOW)
        .expect("the queue has room");
    queue
        .push(entry(2, 2, "clerks"), NOW)
        .expect("the queue has room");
    queue
        .push(entry(3, 2, "schools"), NOW)
        .expect("the queue has room");

    let work = queue.work();

    let requests: Vec<u32> = work.iter().map(|work| work.requests).collect();
    assert_eq!(requests, [1, 0, 2]);
    assert_eq!(work[2].decode_tokens, 100);
    assert_eq!(work[2].shares.len(), 2);
}

#[rstest]
#[case::equal_weights(1, 1, 0.5)]
#[case::three_to_one(3, 1, 0.75)]
fn organisations_share_by_weight_independent_of_their_load(
    #[case] large_weight: u32,
    #[case] small_weight: u32,
    #[case] large_part: f64,
) {
    let mut queue = queue(10_000);
    for sequence in 0..1_000 {
        let large = Entry {
            weight: large_weight,
            ..entry(sequence, 0, "large")
        };
        queue.push(large, NOW).expect("the queue has room");
    }
    for sequence in 1_000..1_100 {
        let small = Entry {
            weight: small_weight,
            ..entry(sequence, 0, "small")
        };
        queue.push(small, NOW).expect("the queue has room");
    }

    let popped: Vec<Entry> = (0..100).filter_map(|_| queue.pop(NOW, rates())).collect();

    let large = popped
        .iter()
        .filter(|entry| entry.organisation == "large")
        .count();
    let part = large as f64 / 100.0;
    assert!(
        (part - large_part).abs() <= 0.02,
        "the large organisation got {part}"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Push {
        rank: u8,
        organisation: u8,
        tokens: u32,
    },
    Pop,
    Remove {
        sequence: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0_u8..5, 0_u8..4, 1_u32..2_000).prop_map(|(rank, organisation, tokens)| Step::Push {
            rank,
            organisation,
            tokens,
        }),
        2 => Just(Step::Pop),
        1 => (0_u64..100).prop_map(|sequence| Step::Remove { sequence }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any sequence of operations: a popped entry has the most urgent waiting rank, evicted
    /// entries are not more urgent than the new one, an entry is only refused if no less urgent one
    /// is waiting, and no entry is lost or duplicated.
    #[test]
    fn tier_order_is_strict(steps in proptest::collection::vec(step(), 1..200)) {
        let mut queue = queue(20);
        let mut waiting: Vec<(u64, u8)> = Vec::new();
        for (sequence, step) in (0..).zip(steps) {
            match step {
                Step::Push { rank, organisation, tokens } => {
                    let pushed = Entry {
                        cost: cost(tokens, tokens),
                        ..entry(sequence, rank, &organisation.to_string())
                    };
                    match queue.push(pushed, NOW) {
                        Ok(evicted) => {
                            waiting.push((sequence, rank));
                            for victim in evicted {
                                prop_assert!(!victim.rank.is_more_urgent_than(Rank(rank)));
                                waiting.retain(|(known, _)| *known != victim.attempt.sequence);
                            }
                        }
                        Err(_) => prop_assert!(waiting.iter().all(|(_, other)| *other <= rank)),
                    }
                }
                Step::Pop => {
                    let most_urgent = waiting.iter().map(|(_, rank)| *rank).min();
                    let popped = queue.pop(NOW, rates());
                    prop_assert_eq!(popped.as_ref().map(|entry| entry.rank.0), most_urgent);
                    if let Some(popped) = popped {
                        waiting.retain(|(known, _)| *known != popped.attempt.sequence);
                    }
                }
                Step::Remove { sequence } => {
                    let is_known = waiting.iter().any(|(known, _)| *known == sequence);
                    prop_assert_eq!(queue.remove(attempt(sequence)).is_some(), is_known);
                    waiting.retain(|(known, _)| *known != sequence);
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            let counted: u32 = queue.work().iter().map(|work| work.requests).sum();
            prop_assert_eq!(counted as usize, waiting.len());
        }
    }

    /// An organisation with a large backlog is ahead of another by at most its fair share and one
    /// request.
    #[test]
    fn large_backlog_delays_another_organisation_by_at_most_one_request(
        offered in 10_usize..300,
        large_tokens in 10_u32..1_000,
        small_tokens in 10_u32..1_000,
    ) {
        let mut queue = queue(1_000);
        for sequence in 0..offered as u64 {
            let large = Entry { cost: cost(large_tokens, 0), ..entry(sequence, 0, "large") };
            queue.push(large, NOW).expect("the queue has room");
        }
        let small = (1_000..1_005).map(|sequence| Entry {
            cost: cost(small_tokens, 0),
            ..entry(sequence, 0, "small")
        });
        for small in small {
            queue.push(small, NOW).expect("the queue has room");
        }

        let popped = pop_all(&mut queue);

        let mut large_before = 0_u64;
        let mut small_before = 0_u64;
        for entry in popped {
            if entry.organisation == "small" {
                let bound = small_before + u64::from(large_tokens.max(small_tokens));
                prop_assert!(large_before <= bound + u64::from(large_tokens));
                small_before += entry.cost.tokens();
            } else {
                large_before += entry.cost.tokens();
            }
        }
    }
}
