//! The order of those who wait.

use tamarackdale_core::{
    line::{Line, Place},
    tier::Rank,
    time::Timestamp,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn place(rank: u8, is_returning: bool, on_time_until_ms: u64) -> Place {
    Place {
        rank: Rank(rank),
        is_returning,
        on_time_until: at(on_time_until_ms),
    }
}

fn names<'a>(line: &Line<&'a str>, now: Timestamp) -> Vec<&'a str> {
    let order = line.order(now);
    order
        .into_iter()
        .filter_map(|number| line.get(number).copied())
        .collect()
}

#[test]
fn urgent_first_then_the_earlier_limit() {
    let mut line = Line::new();
    line.insert(place(1, false, 100), "less urgent");
    line.insert(place(0, false, 300), "later");
    line.insert(place(0, false, 200), "earlier");

    let order = names(&line, at(0));

    assert_eq!(order, ["earlier", "later", "less urgent"]);
}

#[test]
fn caller_that_comes_back_goes_before_other_late_ones() {
    let mut line = Line::new();
    line.insert(place(0, false, 100), "late");
    line.insert(place(0, true, 900), "returning");
    line.insert(place(0, false, 900), "on time");

    let order = names(&line, at(200));

    assert_eq!(order, ["on time", "returning", "late"]);
}

#[test]
fn long_overload_makes_no_request_late_for_one_that_is_late_already() {
    let mut line = Line::new();
    line.insert(place(0, false, 100), "late, first");
    line.insert(place(0, false, 150), "late, second");
    line.insert(place(0, false, 500), "on time");

    let order = names(&line, at(200));

    assert_eq!(order, ["on time", "late, first", "late, second"]);
}

#[test]
fn who_has_left_has_no_turn() {
    let mut line = Line::new();
    let first = line.insert(place(0, false, 100), "first");
    line.insert(place(0, false, 100), "second");

    let removed = line.remove(first);

    assert_eq!(removed, Some("first"));
    assert_eq!(line.remove(first), None);
    assert_eq!(names(&line, at(0)), ["second"]);
}

#[test]
fn urgent_request_goes_first_though_it_is_late() {
    let mut line = Line::new();
    line.insert(place(1, false, 500), "less urgent, on time");
    line.insert(place(0, false, 100), "urgent, late");

    let order = names(&line, at(200));

    assert_eq!(order, ["urgent, late", "less urgent, on time"]);
}
