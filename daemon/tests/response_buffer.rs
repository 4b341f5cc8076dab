//! The kept answer: reading from any position, trimming, ends.

use {
    bytes::Bytes,
    rstest::rstest,
    std::sync::Arc,
    tamarackdale_core::failure::{Failure, Reason},
    tamarackdale_wire::Frame,
    tamarackdaled::sidecar::response_buffer::{Chunk, Position, ReadError, ResponseBuffer},
    tokio::sync::Semaphore,
};

const BUDGET_BYTES: usize = 1000;

fn chunk(budget: &Arc<Semaphore>, text: &'static str) -> Chunk {
    let permit = Arc::clone(budget)
        .try_acquire_many_owned(text.len() as u32)
        .expect("the budget has room");
    Chunk {
        bytes: Bytes::from_static(text.as_bytes()),
        permit,
    }
}

/// An answer with the body `abcdefgh` in three chunks.
fn answer(budget: &Arc<Semaphore>) -> ResponseBuffer {
    let mut answer = ResponseBuffer::new();
    answer.set_ready();
    answer.set_head(200, Vec::new());
    for text in ["abc", "de", "fgh"] {
        answer.push(chunk(budget, text));
    }
    answer
}

fn body(frames: &[Frame]) -> String {
    frames
        .iter()
        .filter_map(|frame| match frame {
            Frame::Chunk { bytes, .. } => Some(String::from_utf8_lossy(bytes).into_owned()),
            _ => None,
        })
        .collect()
}

fn at(offset: u64) -> Position {
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
fn reading_goes_on_at_any_offset(#[case] offset: u64, #[case] rest: &str) {
    let budget = Arc::new(Semaphore::new(BUDGET_BYTES));
    let answer = answer(&budget);
    let mut position = at(offset);

    let frames = answer.read(&mut position).expect("there is more");

    assert_eq!(body(&frames), rest);
    assert_eq!(position.offset, 8);
}

#[rstest]
#[case::nothing_new(8, 0, ReadError::NotYet)]
#[case::beyond_the_end(9, 0, ReadError::Gone)]
#[case::trimmed(2, 4, ReadError::Gone)]
fn unreadable_positions_are_told_apart(
    #[case] offset: u64,
    #[case] trimmed: u64,
    #[case] expected: ReadError,
) {
    let budget = Arc::new(Semaphore::new(BUDGET_BYTES));
    let mut answer = answer(&budget);
    answer.trim(trimmed);

    let result = answer.read(&mut at(offset));

    assert_eq!(result.err(), Some(expected));
}

#[test]
fn trimming_returns_the_budget_of_whole_chunks_only() {
    let budget = Arc::new(Semaphore::new(BUDGET_BYTES));
    let mut answer = answer(&budget);

    answer.trim(4);

    assert_eq!(budget.available_permits(), BUDGET_BYTES - 5);
    assert_eq!(
        body(&answer.read(&mut at(4)).expect("chunk is kept")),
        "efgh"
    );
}

#[test]
fn fresh_reader_gets_everything_in_order() {
    let budget = Arc::new(Semaphore::new(BUDGET_BYTES));
    let mut answer = answer(&budget);
    answer.finish();

    let frames = answer
        .read(&mut Position::default())
        .expect("there is an answer");

    assert!(matches!(frames[0], Frame::Ready));
    assert!(matches!(frames[1], Frame::Head { status: 200, .. }));
    assert!(matches!(
        frames.last(),
        Some(Frame::End { length: 8, checksum }) if *checksum == xxhash(b"abcdefgh")
    ));
}

#[test]
fn failure_comes_after_what_arrived() {
    let budget = Arc::new(Semaphore::new(BUDGET_BYTES));
    let mut answer = answer(&budget);
    let failure = Failure::may_have_run(Reason::BackendServer);
    answer.fail(failure);

    let frames = answer.read(&mut at(0)).expect("there is an answer");

    assert_eq!(body(&frames), "abcdefgh");
    assert_eq!(frames.last(), Some(&Frame::Failed(failure.into())));
}

fn xxhash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
