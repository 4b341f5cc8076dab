//! Answers in server-sent events, which can be continued on another connection.

use {
    bytes::Bytes,
    eventsource_stream::{Event, EventStreamError, Eventsource as _},
    futures_util::Stream,
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    serde::Deserialize,
    std::time::Duration,
};

/// Event that carries generated text.
const DELTA: &str = "response.output_text.delta";

/// Events after which nothing follows.
const FINAL: &[&str] = &[
    "response.completed",
    "response.failed",
    "response.incomplete",
    "response.cancelled",
];

/// Silence allowed before the first token, as a multiple of the usual limit: the backend server
/// may be prefilling.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// How one connection's part of the answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The final event came.
    Completed,
    /// The connection ended or went silent before that.
    Broken,
}

/// An event to pass on.
pub struct Item {
    /// The event in its wire form.
    pub bytes: Bytes,
    /// Tokens that it carries.
    pub tokens: u32,
}

/// What the events so far have told.
#[derive(Debug, Default)]
pub struct Progress {
    response_id: Option<String>,
    last_sequence: Option<u64>,
    tokens: u64,
    completed: bool,
}

#[derive(Deserialize)]
struct Data {
    sequence_number: Option<u64>,
    response: Option<Identified>,
}

#[derive(Deserialize)]
struct Identified {
    id: Option<String>,
}

impl Progress {
    /// No event has come yet.
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

    /// Whether the final event has come.
    pub fn is_completed(&self) -> bool {
        self.completed
    }

    /// How a connection that ends now has ended.
    pub fn ended(&self) -> Ended {
        if self.completed {
            return Ended::Completed;
        }
        Ended::Broken
    }

    /// Silence allowed before the next event, given the usual limit.
    pub fn silence_limit(&self, usual: Duration) -> Duration {
        if self.tokens == 0 {
            return usual * FIRST_TOKEN_FACTOR;
        }
        usual
    }

    /// Takes in an event; gives what is to be passed on, nothing if it came before.
    pub fn take(&mut self, event: Event) -> Option<Item> {
        let data: Option<Data> = serde_json::from_str(&event.data).ok();
        if let Some(data) = data {
            if is_repeated(data.sequence_number, self.last_sequence) {
                return None;
            }
            self.last_sequence = data.sequence_number.or(self.last_sequence);
            if let Some(id) = data.response.and_then(|response| response.id) {
                self.response_id = Some(id);
            }
        }
        self.completed = FINAL.contains(&event.event.as_str());
        let tokens = u32::from(event.event == DELTA);
        self.tokens += u64::from(tokens);
        Some(Item {
            bytes: serialise(&event),
            tokens,
        })
    }
}

/// The events in a body.
pub fn events(
    body: Incoming,
) -> impl Stream<Item = Result<Event, EventStreamError<hyper::Error>>> + Unpin {
    body.into_data_stream().eventsource()
}

fn is_repeated(sequence: Option<u64>, last: Option<u64>) -> bool {
    matches!((sequence, last), (Some(sequence), Some(last)) if sequence <= last)
}

fn serialise(event: &Event) -> Bytes {
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
