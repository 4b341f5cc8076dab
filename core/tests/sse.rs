//! Splitting of an event stream that arrives in arbitrary chunks.

use {
    proptest::prelude::*,
    rstest::rstest,
    tamarackdale_core::sse::{Fault, MAX_EVENT_BYTES, Numbering, Splitter},
};

#[test]
fn incomplete_event_stays_in_the_buffer() {
    let mut splitter = Splitter::default();

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
#[case::comment(b": still here\n\n", None, 0)]
#[case::reconnection_time(b"retry: 10\n\nid: 1\ndata\n\n", Some(1), 1)]
#[case::extra_field(b"weights: 3\nid: 9\nevent: token\ndata: a\n\n", Some(9), 1)]
#[case::line_ends_of_both_kinds(b"id: 4\ndata: a\n\r\n", Some(4), 1)]
#[case::leap(b"id: 1\ndata: a\n\nid: 7\ndata: b\n\n", Some(7), 2)]
#[case::no_identifiers(b"data: a\n\nid: x\ndata: b\n\ndata: c\n\n", None, 3)]
fn batch_has_its_last_identifier_and_count(
    #[case] bytes: &[u8],
    #[case] last_id: Option<u64>,
    #[case] count: u32,
) {
    let batch = Splitter::default()
        .with_extra_field("weights")
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
        let mut splitter = Splitter::default();
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
    let mut splitter = Splitter::default();
    let chunk = [b'x'; 4 * 1024];
    let chunks = MAX_EVENT_BYTES / chunk.len();

    let accepted = (0..chunks).all(|_| splitter.push(&chunk) == Ok(None));
    let refused = splitter.push(&chunk);

    assert!(accepted);
    assert_eq!(refused, Err(Fault::TooLong));
}

#[rstest]
#[case(b"data: a\n\n")]
#[case(b"data: a\r\n\r\n")]
fn event_that_arrives_byte_by_byte_is_complete_with_its_last_byte(#[case] event: &[u8]) {
    let mut splitter = Splitter::default();
    let (last, first) = event.split_last().expect("the event is not empty");

    let early = first.iter().all(|byte| splitter.push(&[*byte]) == Ok(None));
    let batch = splitter.push(&[*last]).expect("the event is short");

    assert!(early);
    assert_eq!(batch.map(|batch| batch.bytes).as_deref(), Some(event));
}

/// Guards against an error's text, or the events of another run, that reach the caller as a part of the
/// stream, whatever the pieces in which they arrive.
#[rstest]
#[case::head("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\n{}")]
#[case::head_in_an_event("id: 5\ndaHTTP/1.1 500 Internal Server Error\r\n\r\n")]
#[case::fields_of_a_head("id: 5\ndata: a\r\ncontent-length: 2\r\n\r\n")]
#[case::text("internal error\n\n")]
#[case::json("{\"error\": \"failed\"}\n\n")]
#[case::event_without_identifier("data: internal error\n\n")]
#[case::identifier_that_is_no_number("id: x\ndata: a\n\n")]
#[case::two_identifiers("id: 5\ndata: a\nid: 6\ndata: b\n\n")]
#[case::extra_field_that_is_no_number("weights: none\nid: 5\ndata: a\n\n")]
#[case::first_event("id: 1\ndata: a\n\n")]
#[case::repeated_event("id: 4\ndata: a\n\n")]
fn bytes_that_do_not_go_on_with_the_stream_are_refused(
    #[case] foreign: &str,
    #[values(1, 7, 1_000)] piece: usize,
) {
    let sound = "id: 3\ndata: a\n\n: still here\n\nid: 4\ndata: b\n\n";
    let mut splitter = Splitter::new(Numbering::Above(Some(2))).with_extra_field("weights");
    let stream = [sound, foreign, "id: 9\ndata: c\n\n"].concat();

    let mut output = Vec::new();
    let mut pushed = Ok(None);
    for bytes in stream.as_bytes().chunks(piece) {
        pushed = splitter.push(bytes);
        while let Ok(Some(batch)) = pushed {
            output.extend(batch.bytes);
            pushed = splitter.next_batch();
        }
        if pushed.is_err() {
            break;
        }
    }

    assert_eq!(String::from_utf8_lossy(&output), sound);
    assert!(pushed.is_err(), "{pushed:?}");
    assert!(splitter.is_inside_event());
}

#[test]
fn next_response_goes_on_after_the_last_event() {
    let mut splitter = Splitter::default();
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");

    splitter.begin_response();
    let again = splitter.push(b"id: 1\ndata: a\n\n");
    splitter.begin_response();
    let next = splitter.push(b"id: 2\ndata: b\n\n");

    assert_eq!(
        first.map(|batch| batch.map(|batch| batch.count)),
        Ok(Some(1))
    );
    assert_eq!(again, Err(Fault::NotAbove { id: 1, last: 1 }));
    assert_eq!(
        next.map(|batch| batch.map(|batch| batch.last_id)),
        Ok(Some(Some(2)))
    );
}
