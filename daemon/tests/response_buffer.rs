//! The response buffer: reads from any position, trimming, completion and failure.

use {
    bytes::Bytes,
    futures_util::FutureExt as _,
    rstest::rstest,
    tamarackdale_core::failure::{Failure, Reason},
    tamarackdale_wire::Frame,
    tamarackdaled::sidecar::{
        budget::{Budget, Share},
        response_buffer::{Chunk, Position, ReadError, ResponseBuffer},
    },
};

const BUDGET_BYTES: usize = 1000;

fn chunk(share: &Share, text: &'static str) -> Chunk {
    let reservation = share.reserve(text.len()).now_or_never();
    Chunk {
        bytes: Bytes::from_static(text.as_bytes()),
        reservation: reservation.expect("the budget has room"),
    }
}

/// A buffer with the body `abcdefgh` in three chunks.
fn buffer(budget: &Budget) -> ResponseBuffer {
    let mut buffer = ResponseBuffer::new();
    buffer.set_ready();
    buffer.set_head(200, Vec::new());
    let share = budget.share();
    for text in ["abc", "de", "fgh"] {
        buffer.push(chunk(&share, text));
    }
    buffer
}

fn body_text(frames: &[Frame]) -> String {
    frames
        .iter()
        .filter_map(|frame| match frame {
            Frame::Chunk { bytes, .. } => Some(String::from_utf8_lossy(bytes).into_owned()),
            _ => None,
        })
        .collect()
}

fn position_at(offset: u64) -> Position {
    Position {
        ready: true,
        head: true,
        offset,
    }
}

#[rstest]
#[case(0, "abcdefgh")]
#[case(1, "bcdefgh")]
#[case(3, "defgh")]
#[case(7, "h")]
fn read_continues_at_any_offset(#[case] offset: u64, #[case] rest: &str) {
    let budget = Budget::new(BUDGET_BYTES);
    let buffer = buffer(&budget);
    let mut position = position_at(offset);

    let frames = buffer.read(&mut position).expect("there are frames");

    assert_eq!(body_text(&frames), rest);
    assert_eq!(position.offset, 8);
}

#[rstest]
#[case::nothing_new(8, 0, ReadError::NotYet)]
#[case::beyond_the_end(9, 0, ReadError::Gone)]
#[case::trimmed(2, 4, ReadError::Gone)]
fn read_at_unreadable_position_fails_with_its_reason(
    #[case] offset: u64,
    #[case] trimmed: u64,
    #[case] expected: ReadError,
) {
    let budget = Budget::new(BUDGET_BYTES);
    let mut buffer = buffer(&budget);
    buffer.trim(trimmed);

    let result = buffer.read(&mut position_at(offset));

    assert_eq!(result.err(), Some(expected));
}

#[test]
fn trim_releases_the_budget_of_entire_chunks_only() {
    let budget = Budget::new(BUDGET_BYTES);
    let mut buffer = buffer(&budget);

    buffer.trim(4);

    assert_eq!(budget.available(), BUDGET_BYTES - 5);
    assert_eq!(
        body_text(
            &buffer
                .read(&mut position_at(4))
                .expect("the chunk is buffered")
        ),
        "efgh"
    );
}

#[test]
fn new_reader_receives_all_frames_in_order() {
    let budget = Budget::new(BUDGET_BYTES);
    let mut buffer = buffer(&budget);
    buffer.finish();

    let frames = buffer
        .read(&mut Position::default())
        .expect("there are frames");

    assert!(matches!(frames[0], Frame::Ready));
    assert!(matches!(frames[1], Frame::Head { status: 200, .. }));
    assert!(matches!(
        frames.last(),
        Some(Frame::End { length: 8, checksum }) if *checksum == xxhash(b"abcdefgh")
    ));
}

#[test]
fn failure_follows_the_body_that_arrived() {
    let budget = Budget::new(BUDGET_BYTES);
    let mut buffer = buffer(&budget);
    let failure = Failure::may_have_run(Reason::BackendServer);
    buffer.fail(failure);

    let frames = buffer.read(&mut position_at(0)).expect("there are frames");

    assert_eq!(body_text(&frames), "abcdefgh");
    assert_eq!(frames.last(), Some(&Frame::Failed(failure.into())));
}

fn xxhash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

#[test]
fn discarded_body_releases_the_budget_and_is_gone() {
    let budget = Budget::new(BUDGET_BYTES);
    let mut buffer = buffer(&budget);
    buffer.fail(Failure::may_have_run(Reason::Cancelled));

    buffer.discard();

    assert_eq!(budget.available(), BUDGET_BYTES);
    assert_eq!(buffer.read(&mut position_at(0)), Err(ReadError::Gone));
}

/// Guards against one response without end that takes the memory of all others.
#[test]
fn response_takes_only_its_share_of_the_budget() {
    let budget = Budget::new(BUDGET_BYTES);
    let (endless, other) = (budget.share(), budget.share());
    let mut reserved = Vec::new();

    while let Some(reservation) = endless.reserve(25).now_or_never() {
        reserved.push(reservation);
    }

    assert!(endless.is_exhausted());
    assert_eq!(budget.available(), BUDGET_BYTES - reserved.len() * 25);
    assert!(other.reserve(100).now_or_never().is_some());
    reserved.pop();
    assert!(endless.reserve(25).now_or_never().is_some());
}

/// A part that is larger than the share takes all of it, and does not wait for ever.
#[test]
fn part_longer_than_the_share_takes_the_whole_share() {
    let budget = Budget::new(BUDGET_BYTES);
    let share = budget.share();

    let reservation = share.reserve(BUDGET_BYTES * 2).now_or_never();

    assert!(reservation.is_some());
    assert!(budget.available() > BUDGET_BYTES / 2);
    assert!(share.is_exhausted());
}
