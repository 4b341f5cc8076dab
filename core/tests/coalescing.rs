//! Reads of the store that one router of a cell makes for the others.

#[path = "coalescing/cell_calls.rs"]
mod cell_calls;

use {
    cell_calls::{Fleet, Loss},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::{
        coalescing::{
            ANSWER_TIMEOUT,
            changes::{Answer, Change, ChangeBuffer},
            check_interval,
            checks::Checks,
            fallback::{DIRECT_CALL_SPREAD, Fallback},
        },
        peer_table::PeerTable,
        revision::Revision,
        time::Timestamp,
    },
};

fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn at(number: u64) -> Revision {
    Revision { era: 0, number }
}

fn written(key: &str, meaning: u32, item: &'static str) -> Change<&'static str, u32> {
    Change {
        key: Some(key.to_owned()),
        meaning: Some(meaning),
        item,
    }
}

fn removed(key: &str, item: &'static str) -> Change<&'static str, u32> {
    Change {
        key: Some(key.to_owned()),
        meaning: None,
        item,
    }
}

/// Guards against a key that is accepted after its removal: an answer of a call that was sent before the
/// question says nothing of the time in between.
#[test]
fn question_that_arrives_during_a_call_waits_for_the_next_one() {
    let mut checks = Checks::default();
    checks.set_interval(Duration::from_millis(350), ms(0));
    checks.push("before", ms(0)).expect("there is room");

    let first_call = checks.take(ms(10));
    checks.push("during", ms(11)).expect("there is room");
    let second_call = checks.take(ms(40));

    assert_eq!(first_call, ["before"]);
    assert_eq!(second_call, ["during"]);
}

/// Guards against the same in any order of questions, calls of any length and removals: no question that was
/// asked after a removal is answered by a call that the store carried out before it.
#[rstest]
fn no_confirmation_is_older_than_its_question(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut checks = Checks::default();
    checks.set_interval(Duration::from_millis(350), ms(0));
    let mut call: Option<(Timestamp, Timestamp, Vec<Timestamp>)> = None;
    let mut answered = 0;

    for now in (0..60_000).map(ms) {
        if random.random_bool(0.02) {
            checks.push(now, now).expect("there is room");
        }
        if let Some((sent, _, questions)) = call.take_if(|(_, end, _)| *end <= now) {
            answered += questions.len();
            assert!(questions.iter().all(|asked| *asked <= sent), "seed {seed}");
        }
        if call.is_none() && checks.due() <= now {
            let end = now.plus(Duration::from_millis(random.random_range(1..300)));
            call = Some((now, end, checks.take(now)));
        }
    }

    assert!(answered > 1_000, "{answered}");
}

/// Guards against a call for each question: those that are told the time of the next call share it.
#[test]
fn questions_that_follow_the_reader_share_its_regular_calls() {
    let mut checks = Checks::default();
    checks.set_interval(Duration::from_millis(350), ms(0));
    checks.take(ms(0));
    let next = checks.time_to_next_question(ms(20));

    let asked = ms(20).plus(next);
    for router in 0..20 {
        checks.push(router, asked).expect("there is room");
    }
    let due = checks.due();

    assert_eq!(due, ms(350));
    assert_eq!(checks.take(due).len(), 20);
}

/// Guards against an answer that comes after the timeout of the question although the store is fast.
#[test]
fn question_at_any_time_is_sent_on_well_before_its_timeout() {
    for asked in 1..1_400 {
        let mut checks = Checks::default();
        checks.set_interval(Duration::from_millis(1_350), ms(0));
        checks.take(ms(0));

        checks.push((), ms(asked)).expect("there is room");

        assert!(checks.due().since(ms(asked)) <= ANSWER_TIMEOUT / 2);
    }
}

/// Guards against memory that grows with the questions while the store does not answer.
#[test]
fn number_of_waiting_questions_is_bounded() {
    let mut checks = Checks::default();

    let accepted = (0..10_000).filter(|question| checks.push(*question, ms(0)).is_ok());

    assert_eq!(accepted.count(), 1_024);
}

/// Guards against a change that takes effect too late because the reader was lost just after a check.
#[rstest]
#[case::site(1_000, 2_000)]
#[case::slower(2_000, 2_000)]
#[case::drain_is_shorter(3_000, 1_500)]
fn loss_of_the_reader_leaves_time_for_a_direct_call(#[case] converge: u64, #[case] drain: u64) {
    let alone = Duration::from_millis(converge).mul_f64(0.7);
    let bound = Duration::from_millis(converge.min(drain));

    let interval = check_interval(alone, bound);

    let direct_call = interval + ANSWER_TIMEOUT + DIRECT_CALL_SPREAD;
    assert!(direct_call + Duration::from_millis(100) <= bound);
    assert!(interval <= alone);
}

/// Guards against a cell that calls the store at the same moment, or that returns to a dead reader at once.
#[test]
fn direct_calls_and_the_return_to_the_reader_are_spread() {
    let mut random = StdRng::seed_from_u64(7);
    let mut delays = Vec::new();
    let mut returns = Vec::new();
    for _ in 0..200 {
        let mut fallback = Fallback::default();
        let is_first = fallback.record_failure(ms(100), &mut random);
        let is_first_again = fallback.record_failure(ms(2_000), &mut random);
        assert_eq!((is_first, is_first_again), (true, false));
        delays.push(Fallback::call_delay(&mut random));
        let is_over = |now: &u64| !fallback.is_direct(ms(*now));
        returns.push((100..10_000).find(is_over).expect("returns"));
    }

    let early = |limit: u64| {
        delays
            .iter()
            .filter(move |it| it.as_millis() < limit.into())
    };
    assert_eq!(early(201).count(), 200);
    assert!((60..140).contains(&early(100).count()));
    assert!(returns.iter().all(|time| (5_100..=6_101).contains(time)));
    assert!(returns.iter().any(|time| *time > 5_600));
}

/// Guards against changes that a router misses between its own reads and the reader's buffer.
#[rstest]
#[case::before_the_buffer(9, Answer::Compacted)]
#[case::at_its_start(10, Answer::Changes(vec!["a1", "b1", "b2"], at(14)))]
#[case::between(12, Answer::Changes(vec!["b2"], at(14)))]
#[case::up_to_date(14, Answer::Changes(vec![], at(14)))]
#[case::ahead_of_the_reader(20, Answer::Changes(vec![], at(20)))]
fn watch_returns_all_changes_or_says_that_it_cannot(
    #[case] number: u64,
    #[case] expected: Answer<&'static str>,
) {
    let mut buffer = ChangeBuffer::new(at(10), []);
    buffer.append([written("a", 1, "a1"), written("b", 1, "b1")], at(12));
    buffer.append([written("b", 2, "b2")], at(14));

    let answer = buffer.since(at(number));

    assert_eq!(answer, expected);
}

/// Guards against revisions that a restored store has given out again for other writes.
#[test]
fn watch_from_another_era_is_not_answered_with_changes() {
    let later = Revision { era: 1, number: 10 };
    let buffer = ChangeBuffer::<&str, u32>::new(later, []);

    let answer = buffer.since(at(10));

    assert_eq!(answer, Answer::OtherEra(1));
}

/// Guards against memory that grows with the changes; what is dropped is answered as compacted.
#[test]
fn buffer_is_bounded() {
    let mut buffer = ChangeBuffer::new(at(0), []);
    for number in 1..=20_000 {
        let key = format!("server-{}", number % 3_000);
        buffer.append([written(&key, number, "x")], at(number.into()));
    }

    let Answer::Changes(kept, _) = buffer.since(at(20_000 - 8_192)) else {
        panic!("not kept");
    };

    assert_eq!(kept.len(), 8_192);
    assert_eq!(buffer.since(at(20_000 - 8_193)), Answer::Compacted);
}

/// Guards against heartbeats that fill the links of a large cell, and against a sequence number that is lost
/// with them: the last write before a removal is passed on with it.
#[test]
fn rewritten_entry_is_passed_on_only_when_it_changes() {
    let mut buffer = ChangeBuffer::new(at(1), [("a".to_owned(), 1)]);

    let has_news = buffer.append([written("a", 1, "heartbeat")], at(2));
    buffer.append([written("a", 1, "last heartbeat")], at(3));
    let after_heartbeats = buffer.since(at(1));
    buffer.append([removed("a", "removal")], at(4));
    buffer.append([written("a", 1, "again")], at(5));
    buffer.append([written("a", 2, "draining")], at(6));

    assert!(!has_news);
    assert_eq!(after_heartbeats, Answer::Changes(vec![], at(3)));
    assert_eq!(
        buffer.since(at(1)),
        Answer::Changes(
            vec!["last heartbeat", "removal", "again", "draining"],
            at(6)
        )
    );
}

/// Guards against gateways of a cell that choose several readers, and against a reader of another cell.
#[test]
fn routers_of_a_data_centre_choose_the_same_reader_among_those_that_are_connected() {
    let address = |number: u8| SocketAddr::from(([127, 0, 0, number], 8_003));
    let near = 1..=20;
    let table_of = |own: u8, lost: Option<u8>| {
        let mut table = PeerTable::new();
        for number in 1..=40 {
            let data_centre = if near.contains(&number) { "a" } else { "b" };
            if number != own {
                table.mark_reachable(address(number), data_centre);
            }
        }
        if let Some(lost) = lost {
            table.mark_unreachable(address(lost), ms(5));
        }
        table
    };
    let reader_of = |own: u8, lost| table_of(own, lost).reader("a", address(own));

    let first = reader_of(1, None).expect("chosen");
    let lost = near.clone().find(|own| address(*own) == first);
    let other = near.clone().find(|own| Some(*own) != lost);
    let second = reader_of(other.expect("another"), lost).expect("chosen");

    assert!(near.clone().all(|own| reader_of(own, None) == Some(first)));
    let mut left = near.clone().filter(|own| Some(*own) != lost);
    assert!(left.all(|own| reader_of(own, lost) == Some(second)));
    assert_ne!(first, second);
    assert_eq!(PeerTable::new().reader("a", address(1)), None);
}

/// Guards against calls that grow with the gateways. A fleet of one cell calls as before.
#[rstest]
#[case::one_cell(8, &[8])]
#[case::two_data_centres(41, &[21, 20])]
#[case::five_data_centres(103, &[21, 21, 21, 20, 20])]
#[case::thirteen_data_centres(360, &[28, 28, 28, 28, 28, 28, 28, 28, 28, 27, 27, 27, 27])]
fn calls_in_calm_grow_with_the_cells(#[case] gateways: usize, #[case] cells: &[usize]) {
    let mut fleet = Fleet::new(gateways, cells, 11);
    fleet.run(10_000);

    let calls = fleet.run(20_000).per_second();

    let alone = fleet.calls_alone();
    println!(
        "{gateways} gateways in calm: {:.1} checks/s and {:.1} watches/s; alone {:.0} and {:.0}",
        calls.checks, calls.watches, alone.checks, alone.watches
    );
    if cells.len() == 1 {
        assert!((calls.checks / alone.checks - 1.0).abs() < 0.05);
        assert!((calls.watches / alone.watches - 1.0).abs() < 0.05);
        return;
    }
    // The interval of a cell is 350 ms, that of a gateway alone 700 ms.
    let cells = cells.len() as f64;
    assert!(calls.checks <= 1.15 * cells / 0.35, "{}", calls.checks);
    assert!(calls.watches <= 1.05 * cells / 0.8, "{}", calls.watches);
}

/// Guards against a fleet that overloads the store when all readers are lost at once.
#[rstest]
fn calls_after_the_loss_of_all_readers_stay_within_the_limits_of_the_store(
    #[values(
        (8, &[8][..]),
        (41, &[21, 20][..]),
        (103, &[21, 21, 21, 20, 20][..]),
        (360, &[28, 28, 28, 28, 28, 28, 28, 28, 28, 27, 27, 27, 27][..])
    )]
    fleet: (usize, &[usize]),
    #[values(Loss::Killed, Loss::Frozen)] loss: Loss,
) {
    const WRITES_PER_S: f64 = 1_200.0;
    const READS_PER_S: f64 = 6_000.0;
    let (gateways, cells) = fleet;
    let mut fleet = Fleet::new(gateways, cells, 12);
    fleet.run(10_000);

    fleet.lose_readers(loss);
    let worst = fleet.run(10_000).worst_second();
    fleet.run(5_000);
    let after = fleet.run(10_000).per_second();

    println!(
        "{gateways} gateways after the loss of all readers ({loss:?}): at most {} checks and {} watches \
         in a second, {} calls in 10 ms; longest time without a confirmation {} ms; later {:.1} checks/s",
        worst.checks,
        worst.watches,
        worst.in_10_ms,
        fleet.longest_gap_ms(),
        after.checks
    );
    // The store counts a check as a write.
    assert!(worst.checks <= 0.75 * WRITES_PER_S, "{}", worst.checks);
    assert!(worst.watches <= 0.25 * READS_PER_S, "{}", worst.watches);
    assert!(worst.in_10_ms <= 0.2 * gateways as f64 + 5.0);
    assert!(
        fleet.longest_gap_ms() <= 1_000,
        "{}",
        fleet.longest_gap_ms()
    );
    let calm = match cells.len() {
        // Without readers, none is lost.
        1 => fleet.calls_alone().checks,
        cells => cells as f64 / 0.35,
    };
    assert!(after.checks <= 1.15 * calm, "{}", after.checks);
}
