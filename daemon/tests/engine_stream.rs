//! The events of an engine's response, over all its connections.

use {
    eventsource_stream::Event,
    rstest::rstest,
    tamarackdaled::sidecar::exchange::stream::{Foreign, StreamState},
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
    r#"{"sequence_number": 2, "response": {"id": "b"}}"#,
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

    let accepted = ["a", "b"].map(|data| state.accept(event(data)));

    assert!(
        accepted
            .iter()
            .all(|accepted| matches!(accepted, Ok(Some(_))))
    );
}
