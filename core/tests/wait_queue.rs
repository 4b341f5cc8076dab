//! Order of the wait queue.

use tamarackdale_core::{
    tier::Rank,
    time::Timestamp,
    wait_queue::{SchedulingKey, Stage, WaitQueue},
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn key(rank: u8, is_retry: bool, on_time_until_ms: u64) -> SchedulingKey {
    SchedulingKey {
        is_resumed: false,
        rank: Rank(rank),
        is_retry,
        on_time_until: at(on_time_until_ms),
    }
}

fn names<'a>(queue: &WaitQueue<&'a str>, now: Timestamp) -> Vec<&'a str> {
    let order = queue.order(now);
    order
        .into_iter()
        .filter_map(|number| Some(*queue.get(number)?.1))
        .collect()
}

#[test]
fn more_urgent_rank_goes_first_then_most_time_left() {
    let mut queue = WaitQueue::new();
    queue.insert(key(1, false, 100), "less urgent");
    queue.insert(key(0, false, 300), "newer");
    queue.insert(key(0, false, 200), "older");

    let order = names(&queue, at(0));

    assert_eq!(order, ["newer", "older", "less urgent"]);
}

#[test]
fn retry_goes_before_other_late_requests() {
    let mut queue = WaitQueue::new();
    queue.insert(key(0, false, 100), "late");
    queue.insert(key(0, true, 900), "retry");
    queue.insert(key(0, false, 900), "on time");

    let order = names(&queue, at(200));

    assert_eq!(order, ["on time", "retry", "late"]);
}

/// Guards against take-ups that wait behind new streams, which any server may serve.
#[test]
fn request_that_goes_on_with_a_stream_goes_first_within_its_rank() {
    let resumed = |rank| SchedulingKey {
        is_resumed: true,
        ..key(rank, true, 100)
    };
    let mut queue = WaitQueue::new();
    queue.insert(key(0, false, 900), "more urgent");
    queue.insert(key(1, false, 900), "on time");
    queue.insert(resumed(1), "goes on, first");
    queue.insert(resumed(1), "goes on, second");

    let order = names(&queue, at(200));

    let expected = [
        "more urgent",
        "goes on, first",
        "goes on, second",
        "on time",
    ];
    assert_eq!(order, expected);
}

#[test]
fn late_requests_do_not_delay_one_that_can_be_on_time() {
    let mut queue = WaitQueue::new();
    queue.insert(key(0, false, 100), "late, first");
    queue.insert(key(0, false, 150), "late, second");
    queue.insert(key(0, false, 500), "on time");

    let order = names(&queue, at(200));

    assert_eq!(order, ["on time", "late, first", "late, second"]);
}

/// Routers exchange the urgency of their waiting requests, so it must be comparable between them.
#[test]
fn late_request_yields_to_on_time_requests_at_other_routers() {
    let late_here = key(1, false, 100).urgency(at(200));
    let on_time_there = key(1, false, 300).urgency(at(200));
    let retry_there = key(1, true, 300).urgency(at(200));
    let urgent_and_late_there = key(0, false, 100).urgency(at(200));

    let mut order = [late_here, on_time_there, retry_there, urgent_and_late_there];
    order.sort();

    assert_eq!(order[0], urgent_and_late_there);
    let stages = order[1..].iter().map(|urgency| urgency.stage);
    assert!(stages.eq([Stage::OnTime, Stage::Retry, Stage::Late]));
}

/// Simulates two seconds of arrivals at 1.4 times the service rate. A request is on time if its
/// first event arrives within 200 ms.
#[test]
fn overload_serves_most_requests_on_time() {
    let mut queue = WaitQueue::new();
    let (mut on_time, mut served) = (0, 0);
    for millis in 0..2_000 {
        if millis % 5 == 0 {
            queue.insert(key(1, false, millis + 200), millis);
        }
        if millis % 7 == 0
            && let Some(number) = queue.order(at(millis)).first().copied()
            && let Some(arrived) = queue.remove(number)
        {
            served += 1;
            // The first event takes half of the 200 ms, which leaves 100 ms for the wait.
            on_time += u32::from(millis - arrived <= 100);
        }
    }

    assert!(
        f64::from(on_time) >= 0.9 * f64::from(served),
        "{on_time} of {served}"
    );
}

#[test]
fn removed_request_is_not_served() {
    let mut queue = WaitQueue::new();
    let first = queue.insert(key(0, false, 100), "first");
    queue.insert(key(0, false, 100), "second");

    let removed = queue.remove(first);

    assert_eq!(removed, Some("first"));
    assert_eq!(queue.remove(first), None);
    assert_eq!(names(&queue, at(0)), ["second"]);
}

#[test]
fn more_urgent_rank_goes_first_even_if_late() {
    let mut queue = WaitQueue::new();
    queue.insert(key(1, false, 500), "less urgent, on time");
    queue.insert(key(0, false, 100), "urgent, late");

    let order = names(&queue, at(200));

    assert_eq!(order, ["urgent, late", "less urgent, on time"]);
}

/// Guards against an order between equally urgent requests that overrides ranks and stages, or that
/// holds up a stream which goes on.
#[test]
fn precedence_orders_within_a_rank_and_stage_only() {
    let mut queue = WaitQueue::new();
    queue.insert(key(1, false, 900), ("less urgent", 0));
    queue.insert(key(0, false, 900), ("large", 5));
    queue.insert(key(0, false, 800), ("small", 1));
    queue.insert(key(0, false, 100), ("late", 0));
    let resumed = SchedulingKey {
        is_resumed: true,
        ..key(0, false, 900)
    };
    queue.insert(resumed, ("goes on, first", 9));
    queue.insert(resumed, ("goes on, second", 0));

    let order = queue.order_by(at(200), |(_, precedence)| *precedence);

    let names = order
        .into_iter()
        .filter_map(|number| Some(queue.get(number)?.1.0));
    let expected = [
        "goes on, first",
        "goes on, second",
        "small",
        "large",
        "late",
        "less urgent",
    ];
    assert!(names.eq(expected));
}
