//! Responses of server-sent events, which can be continued on another connection.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    eventsource_stream::{Event, EventStreamError, Eventsource as _},
    futures_util::{Stream, stream},
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    serde::Deserialize,
    std::time::Duration,
};

/// Name of the event that carries generated text.
const DELTA_EVENT: &str = "response.output_text.delta";

/// Names of the events that end a response.
const FINAL_EVENTS: &[&str] = &[
    "response.completed",
    "response.failed",
    "response.incomplete",
    "response.cancelled",
];

/// Idle timeout before the first token, as a multiple of the usual one, because the backend server
/// may still be prefilling.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// Longest event, in bytes, without comments. The final event repeats the text of the response.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Most bytes of comments before the next event. An engine that sends one now and then while it is busy stays
/// far below that.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// An event to forward.
pub struct ForwardedEvent {
    /// The encoded event.
    pub bytes: Bytes,
    /// Number of tokens in the event.
    pub tokens: u32,
}

/// Why an event does not belong to a response.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Foreign {
    /// It has no sequence number, unlike the events before it.
    #[display("an event has no sequence number")]
    Unnumbered,
    /// It names another response.
    #[display("an event names another response")]
    OtherResponse,
}

/// State of a response, over all its connections.
#[derive(Debug, Default)]
pub struct StreamState {
    response_id: Option<String>,
    last_sequence: Option<u64>,
    tokens: u64,
    completed: bool,
}

#[derive(Deserialize)]
struct EventData {
    sequence_number: Option<u64>,
    response: Option<ResponseObject>,
}

#[derive(Deserialize)]
struct ResponseObject {
    id: Option<String>,
}

impl StreamState {
    /// Creates the state before the first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// The response's identifier at the backend server, once it is known.
    pub fn response_id(&self) -> Option<&str> {
        self.response_id.as_deref()
    }

    /// Sequence number of the newest event.
    pub fn last_sequence(&self) -> Option<u64> {
        self.last_sequence
    }

    /// Whether the final event has arrived.
    pub fn is_completed(&self) -> bool {
        self.completed
    }

    /// Idle timeout until the next event, given the usual timeout.
    pub fn idle_timeout(&self, usual: Duration) -> Duration {
        if self.tokens == 0 {
            return usual * FIRST_TOKEN_FACTOR;
        }
        usual
    }

    /// Updates the state with an event and returns what to forward; `None` if the event is a
    /// repetition.
    ///
    /// Fails if the event does not belong to the response, as the text of an error.
    pub fn accept(&mut self, event: Event) -> Result<Option<ForwardedEvent>, Foreign> {
        let data: Option<EventData> = serde_json::from_str(&event.data).ok();
        self.check(data.as_ref())?;
        if let Some(data) = data {
            if is_repeated(data.sequence_number, self.last_sequence) {
                return Ok(None);
            }
            self.last_sequence = data.sequence_number.or(self.last_sequence);
            if let Some(id) = data.response.and_then(|response| response.id) {
                self.response_id = Some(id);
            }
        }
        self.completed = FINAL_EVENTS.contains(&event.event.as_str());
        let tokens = u32::from(event.event == DELTA_EVENT);
        self.tokens += u64::from(tokens);
        Ok(Some(ForwardedEvent {
            bytes: encode_event(&event),
            tokens,
        }))
    }

    /// Checks that an event belongs to the response. All events have a sequence number if the first one
    /// has one.
    fn check(&self, data: Option<&EventData>) -> Result<(), Foreign> {
        let sequence = data.and_then(|data| data.sequence_number);
        if self.last_sequence.is_some() && sequence.is_none() {
            return Err(Foreign::Unnumbered);
        }
        let id = data.and_then(|data| data.response.as_ref()?.id.as_deref());
        match (self.response_id(), id) {
            (Some(own), Some(id)) if id != own => Err(Foreign::OtherResponse),
            _ => Ok(()),
        }
    }
}

/// Why a body of events cannot be read on.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// The connection broke.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// An event is too long, or there are too many comments before it.
    #[display(
        "an event is longer than {MAX_EVENT_BYTES} bytes, or the comments before it than {MAX_COMMENT_BYTES}"
    )]
    TooLong,
}

/// Parses a body as server-sent events.
pub fn events(
    body: Incoming,
) -> impl Stream<Item = Result<Event, EventStreamError<BodyError>>> + Unpin {
    let lines = stream::try_unfold((body, Lines::new()), |(mut body, mut lines)| async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Broken)?;
            let complete = lines.push(frame.data_ref().map_or(&[], |data| data));
            let complete = complete.ok_or(BodyError::TooLong)?;
            if !complete.is_empty() {
                return Ok(Some((complete, (body, lines))));
            }
        }
        Ok(None)
    });
    Box::pin(lines).eventsource()
}

/// Divides a body of events at the ends of its lines. The parser keeps the lines of an event and begins an
/// incomplete line anew with each part of it, so an event without end would take all memory and time. Comments
/// without end would take all time.
#[derive(Debug, Default)]
pub struct Lines {
    /// The incomplete line.
    line: BytesMut,
    /// Bytes of the complete lines of the incomplete event.
    event_bytes: usize,
    /// Bytes of the comments since the last event.
    comment_bytes: usize,
    /// Whether the last byte was a carriage return, after which a line feed ends no other line.
    is_after_return: bool,
}

impl Lines {
    /// Creates the state at the beginning of a body.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes and returns the lines that are now complete; `None` if the event or the comments before it
    /// are too long.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let mut complete = BytesMut::new();
        for part in bytes.split_inclusive(|byte| matches!(byte, b'\r' | b'\n')) {
            self.line.extend_from_slice(part);
            if let Some(end @ (b'\r' | b'\n')) = part.last() {
                self.end_line(*end);
                complete.unsplit(self.line.split());
            }
            let is_event_too_long = self.event_bytes + self.line.len() > MAX_EVENT_BYTES;
            if is_event_too_long || self.comment_bytes > MAX_COMMENT_BYTES {
                return None;
            }
        }
        Some(complete.freeze())
    }

    fn end_line(&mut self, end: u8) {
        let is_second = std::mem::replace(&mut self.is_after_return, end == b'\r');
        match self.line.as_ref() {
            [b'\n'] if is_second => {}
            [_] => self.event_bytes = 0,
            // The parser drops comments.
            [b':', ..] => self.comment_bytes += self.line.len(),
            line => {
                self.event_bytes += line.len();
                self.comment_bytes = 0;
            }
        }
    }
}

fn is_repeated(sequence: Option<u64>, last: Option<u64>) -> bool {
    matches!((sequence, last), (Some(sequence), Some(last)) if sequence <= last)
}

fn encode_event(event: &Event) -> Bytes {
    let mut text = String::with_capacity(event.data.len() + event.event.len() + 32);
    if event.event != "message" {
        text.push_str("event: ");
        text.push_str(&event.event);
        text.push('\n');
    }
    if !event.id.is_empty() {
        text.push_str("id: ");
        text.push_str(&event.id);
        text.push('\n');
    }
    for line in event.data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    text.into()
}
