//! The events of an engine's response, over all its connections.

use {
    eventsource_stream::Event,
    rstest::rstest,
    tamarackdaled::sidecar::exchange::stream::{Foreign, Lines, StreamState},
};

fn event(data: &str) -> Event {
    Event {
        event: "response.output_text.delta".to_owned(),
        data: data.to_owned(),
        ..Event::default()
    }
}

/// Guards against an error's text, or an event of another response, in the middle of a response.
#[rstest]
#[case::text("internal error", Err(Foreign::Unnumbered))]
#[case::error(r#"{"error": "failed"}"#, Err(Foreign::Unnumbered))]
#[case::other_response(
    r#"{"sequence_number": 2, "response": {"id": ""}}"#,
    Err(Foreign::OtherResponse)
)]
#[case::repeated(r#"{"sequence_number": 1}"#, Ok(false))]
#[case::next(r#"{"sequence_number": 2, "response": {"id": "a"}}"#, Ok(true))]
fn only_events_of_the_response_are_forwarded(
    #[case] data: &str,
    #[case] expected: Result<bool, Foreign>,
) {
    let mut state = StreamState::new();
    let created = state.accept(event(r#"{"sequence_number": 0, "response": {"id": "a"}}"#));
    let first = state.accept(event(r#"{"sequence_number": 1}"#));

    let accepted = state.accept(event(data));

    assert!(matches!((created, first), (Ok(Some(_)), Ok(Some(_)))));
    assert_eq!(accepted.map(|forwarded| forwarded.is_some()), expected);
}

/// An engine may number no events.
#[test]
fn events_without_numbers_are_forwarded() {
    let mut state = StreamState::new();

    let accepted = ["a", ""].map(|data| state.accept(event(data)));

    assert!(
        accepted
            .iter()
            .all(|accepted| matches!(accepted, Ok(Some(_))))
    );
}

/// Bytes that [`Lines`] returns for these parts of a body; `None` once an event is too long.
fn lines(parts: &[&str]) -> Option<String> {
    let mut lines = Lines::new();
    let mut complete = String::new();
    for part in parts {
        let bytes = lines.push(part.as_bytes())?;
        complete.push_str(std::str::from_utf8(&bytes).expect("text"));
    }
    Some(complete)
}

#[rstest]
#[case::line_feeds(&["data: a\nda", "ta: b\n\ndata"], "data: a\ndata: b\n\n")]
#[case::returns(&["data: a\rda", "ta: b\r\rdata"], "data: a\rdata: b\r\r")]
#[case::both(&["data: a\r", "\ndata: b\r\n\r", "\nx"], "data: a\r\ndata: b\r\n\r\n")]
fn body_is_divided_at_the_ends_of_its_lines(#[case] parts: &[&str], #[case] expected: &str) {
    assert_eq!(lines(parts).as_deref(), Some(expected));
}

/// Guards against an event without end that is kept until the memory is full.
#[rstest]
#[case::line("x")]
#[case::lines("data: x\n")]
#[case::lines_with_both_ends("data: x\r\n")]
fn event_without_end_is_refused(#[case] part: &str) {
    let parts = vec![part; 2 * 1024 * 1024];

    assert_eq!(lines(&parts), None);
}

/// Guards against a sidecar that is busy with comments without end.
#[rstest]
#[case::lines(": x\n")]
#[case::with_empty_lines(": x\n\n")]
fn comments_without_end_are_refused(#[case] part: &str) {
    let parts = vec![part; 1024 * 1024];

    assert_eq!(lines(&parts), None);
}

/// Guards against an engine that is refused because it sends a comment a second for an hour while it is busy, and
/// again after an event.
#[test]
fn comments_of_a_busy_engine_are_read() {
    let comments = vec![": still busy\n\n"; 3_600];
    let parts = [comments.as_slice(), &["data: x\n\n"], &comments].concat();

    assert_eq!(lines(&parts), Some(parts.concat()));
}

/// Guards against a long stream of sound events that is refused.
#[rstest]
#[case::events("data: x\n\n")]
#[case::events_with_both_ends("data: x\r\n\r\n")]
fn stream_without_a_long_event_is_read(#[case] part: &str) {
    let parts = vec![part; 1024 * 1024];

    assert_eq!(lines(&parts), Some(parts.concat()));
}
