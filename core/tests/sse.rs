//! Splitting of an event stream that arrives in arbitrary chunks.

use {
    proptest::prelude::*,
    rstest::rstest,
    tamarackdale_core::sse::{EventTooLong, MAX_EVENT_BYTES, Splitter},
};

#[test]
fn incomplete_event_stays_in_the_buffer() {
    let mut splitter = Splitter::new();

    let batch = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("the events are short")
        .expect("one event is complete");

    assert_eq!(batch.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!((batch.last_id, batch.count), (Some(1), 1));
    assert!(splitter.is_inside_event());
}

#[rstest]
#[case(b"id: 4\r\ndata: a\r\n\r\n", Some(4), 1)]
#[case(b"data: a\n\n", None, 1)]
#[case(b"id:7\ndata: a\n\nid: 8\ndata: b\n\n", Some(8), 2)]
fn batch_has_its_last_identifier_and_count(
    #[case] bytes: &[u8],
    #[case] last_id: Option<u64>,
    #[case] count: u32,
) {
    let batch = Splitter::new()
        .push(bytes)
        .expect("the events are short")
        .expect("the events are complete");

    assert_eq!((batch.last_id, batch.count), (last_id, count));
}

proptest! {
    #[test]
    fn bytes_are_unchanged_whatever_the_chunks(
        events in 1_usize..20,
        chunk_sizes in prop::collection::vec(1_usize..40, 1..40),
    ) {
        let stream: Vec<u8> = (0..events)
            .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id)).into_bytes())
            .collect();
        let mut splitter = Splitter::new();
        let mut output = Vec::new();
        let mut count = 0;
        let mut rest = stream.as_slice();
        for size in chunk_sizes.iter().cycle() {
            let (chunk, tail) = rest.split_at((*size).min(rest.len()));
            if let Some(batch) = splitter.push(chunk).expect("the events are short") {
                prop_assert!(batch.bytes.ends_with(b"\n\n"));
                output.extend(batch.bytes);
                count += batch.count;
            }
            rest = tail;
            if rest.is_empty() {
                break;
            }
        }

        prop_assert_eq!(output, stream);
        prop_assert_eq!(count as usize, events);
        prop_assert!(!splitter.is_inside_event());
    }
}

/// A backend server in trouble sends bytes that are no event, without end.
#[test]
fn event_without_end_is_refused_at_the_limit() {
    let mut splitter = Splitter::new();
    let chunk = [b'x'; 4 * 1024];
    let chunks = MAX_EVENT_BYTES / chunk.len();

    let accepted = (0..chunks).all(|_| splitter.push(&chunk) == Ok(None));
    let refused = splitter.push(&chunk);

    assert!(accepted);
    assert_eq!(refused, Err(EventTooLong));
}

#[rstest]
#[case(b"data: a\n\n")]
#[case(b"data: a\r\n\r\n")]
fn event_that_arrives_byte_by_byte_is_complete_with_its_last_byte(#[case] event: &[u8]) {
    let mut splitter = Splitter::new();
    let (last, first) = event.split_last().expect("the event is not empty");

    let early = first.iter().all(|byte| splitter.push(&[*byte]) == Ok(None));
    let batch = splitter.push(&[*last]).expect("the event is short");

    assert!(early);
    assert_eq!(batch.map(|batch| batch.bytes).as_deref(), Some(event));
}
