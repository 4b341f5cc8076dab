//! The order of those who wait.

use tamarackdale_core::{
    tier::Rank,
    time::Timestamp,
    wait_queue::{SchedulingKey, Stage, WaitQueue},
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn place(rank: u8, is_returning: bool, on_time_until_ms: u64) -> SchedulingKey {
    SchedulingKey {
        rank: Rank(rank),
        is_retry: is_returning,
        on_time_until: at(on_time_until_ms),
    }
}

fn names<'a>(line: &WaitQueue<&'a str>, now: Timestamp) -> Vec<&'a str> {
    let order = line.order(now);
    order
        .into_iter()
        .filter_map(|number| Some(*line.get(number)?.1))
        .collect()
}

#[test]
fn urgent_first_then_who_has_most_time_left() {
    let mut line = WaitQueue::new();
    line.insert(place(1, false, 100), "less urgent");
    line.insert(place(0, false, 300), "newer");
    line.insert(place(0, false, 200), "older");

    let order = names(&line, at(0));

    assert_eq!(order, ["newer", "older", "less urgent"]);
}

#[test]
fn caller_that_comes_back_goes_before_other_late_ones() {
    let mut line = WaitQueue::new();
    line.insert(place(0, false, 100), "late");
    line.insert(place(0, true, 900), "returning");
    line.insert(place(0, false, 900), "on time");

    let order = names(&line, at(200));

    assert_eq!(order, ["on time", "returning", "late"]);
}

#[test]
fn long_overload_makes_no_request_late_for_one_that_is_late_already() {
    let mut line = WaitQueue::new();
    line.insert(place(0, false, 100), "late, first");
    line.insert(place(0, false, 150), "late, second");
    line.insert(place(0, false, 500), "on time");

    let order = names(&line, at(200));

    assert_eq!(order, ["on time", "late, first", "late, second"]);
}

/// Requests wait at many routers, which tell each other how urgent theirs are.
#[test]
fn overload_everywhere_late_ones_wait_for_those_on_time_at_other_routers() {
    let late_here = place(1, false, 100).urgency(at(200));
    let on_time_there = place(1, false, 300).urgency(at(200));
    let returning_there = place(1, true, 300).urgency(at(200));
    let urgent_and_late_there = place(0, false, 100).urgency(at(200));

    let mut order = [
        late_here,
        on_time_there,
        returning_there,
        urgent_and_late_there,
    ];
    order.sort();

    assert_eq!(order[0], urgent_and_late_there);
    let stages = order[1..].iter().map(|urgency| urgency.stage);
    assert!(stages.eq([Stage::OnTime, Stage::Retry, Stage::Late]));
}

/// Arrivals at 1.4 times the rate of service for two seconds, each on time if it starts within
/// 200 ms.
#[test]
fn overload_serves_as_many_on_time_as_there_is_room_for() {
    let mut line = WaitQueue::new();
    let (mut on_time, mut served) = (0, 0);
    for millis in 0..2_000 {
        if millis % 5 == 0 {
            line.insert(place(1, false, millis + 200), millis);
        }
        if millis % 7 == 0
            && let Some(number) = line.order(at(millis)).first().copied()
            && let Some(arrived) = line.remove(number)
        {
            served += 1;
            // Half of the time goes by until the first event.
            on_time += u32::from(millis - arrived <= 100);
        }
    }

    assert!(
        f64::from(on_time) >= 0.9 * f64::from(served),
        "{on_time} of {served}"
    );
}

#[test]
fn who_has_left_has_no_turn() {
    let mut line = WaitQueue::new();
    let first = line.insert(place(0, false, 100), "first");
    line.insert(place(0, false, 100), "second");

    let removed = line.remove(first);

    assert_eq!(removed, Some("first"));
    assert_eq!(line.remove(first), None);
    assert_eq!(names(&line, at(0)), ["second"]);
}

#[test]
fn urgent_request_goes_first_though_it_is_late() {
    let mut line = WaitQueue::new();
    line.insert(place(1, false, 500), "less urgent, on time");
    line.insert(place(0, false, 100), "urgent, late");

    let order = names(&line, at(200));

    assert_eq!(order, ["urgent, late", "less urgent, on time"]);
}
