//! Summaries on the way from one router's clock to another's.

use {
    tamarackdale_core::{
        poison::{Notice, Outcome},
        summary::Summary,
        time::Timestamp,
    },
    tamarackdale_wire::{codec, summary::Frame},
};

fn notice(outcome: Outcome, at_ms: u64) -> Notice {
    Notice {
        parts: vec![7, u64::MAX],
        outcome,
        at: Timestamp::from_millis(at_ms),
    }
}

/// Routers share no clock, so observations travel with their age.
#[test]
fn observations_of_prompts_arrive_with_their_age_on_the_receivers_clock() {
    let crash = Outcome::Crash { server: 3 };
    let sent = Summary {
        poison: vec![notice(crash, 9_000), notice(Outcome::Answer, 9_500)],
        ..Summary::default()
    };
    let frame = Frame::new(1, &sent, Timestamp::from_millis(10_000));
    let bytes = codec::encode(&frame).expect("encodes");

    let received: Frame = codec::decode(&bytes).expect("decodes");
    let summary = received.into_summary(Timestamp::from_millis(500_000));

    let expected = [notice(crash, 499_000), notice(Outcome::Answer, 499_500)];
    assert_eq!(summary.poison, expected);
}
