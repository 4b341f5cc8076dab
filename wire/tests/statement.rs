//! What backend servers say of themselves, on the way from one router's clock to another's.

use {
    tamarackdale_core::{
        fleet::{Limit, limit, statement::Report},
        summary::Summary,
        time::Timestamp,
    },
    tamarackdale_wire::{codec, statement::Statement, summary::Frame},
};

fn report(leaving_ms: u64, limit_ms: u64) -> Report {
    Report {
        id: "a".to_owned(),
        started_at_ms: 7,
        leaving_since: Some(Timestamp::from_millis(leaving_ms)),
        limit: Some(limit::Statement {
            at: Timestamp::from_millis(limit_ms),
            limit: Limit::new(4.1).expect("a limit"),
            is_over: true,
        }),
    }
}

#[test]
fn statements_arrive_with_their_age_on_the_receivers_clock() {
    let sent = Summary {
        statements: vec![report(9_000, 9_500)],
        ..Summary::default()
    };
    let frame = Frame::new(1, &sent, Timestamp::from_millis(10_000));
    let bytes = codec::encode(&frame).expect("encodes");

    let received: Frame = codec::decode(&bytes).expect("decodes");
    let summary = received.into_summary(Timestamp::from_millis(500_000));

    assert_eq!(summary.statements, [report(499_000, 499_500)]);
}

#[test]
fn limit_that_is_no_number_of_requests_is_left_out() {
    let now = Timestamp::from_millis(10_000);
    let mut statement = Statement::new(&report(9_000, 9_500), now);
    if let Some(limit) = &mut statement.limit {
        limit.per_second = f64::NAN;
    }

    let received = statement.into_report(now);

    assert_eq!(received.limit, None);
    assert!(received.leaving_since.is_some());
}
