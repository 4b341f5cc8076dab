//! A caller that reads one stream, over several tries if it must.

use {
    super::request,
    crate::http::{self, Reply},
    bytes::Bytes,
    hyper::{Request, header::HeaderValue},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time that the caller is willing to wait for an answer, in milliseconds.
const TIME_BUDGET_MS: u64 = 10_000;

/// Longest time without any bytes of an answer.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// An event that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its place in the stream, from 1.
    pub id: u64,
    /// Version of the server that wrote it.
    pub version: String,
}

/// One attempt of a caller.
#[derive(Clone, Debug, Default)]
pub struct Try {
    /// Its identifier.
    pub id: String,
    /// Status of the answer, if there was one.
    pub status: Option<u16>,
    /// The complete events that it brought.
    pub events: Vec<Event>,
    /// Whether the answer came to a clean end.
    pub is_whole: bool,
    /// Bytes that are no complete event yet.
    rest: Vec<u8>,
}

impl Try {
    fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
        while let Some(end) = self.rest.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.rest.drain(..end + 2).collect();
            self.events
                .extend(parse_event(&String::from_utf8_lossy(&event)));
        }
    }
}

fn parse_event(text: &str) -> Option<Event> {
    let id = text.lines().find_map(|line| line.strip_prefix("id: "))?;
    let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    let (_, version) = data.rsplit_once(" of ")?;
    Some(Event {
        id: id.parse().ok()?,
        version: version.to_owned(),
    })
}

/// A caller of one stream. Its later tries take the stream up after the last event that it has.
pub struct Caller {
    path: String,
    name: String,
    tries: Vec<Try>,
    open: Option<Reply>,
}

impl Caller {
    /// A caller that names its attempts after `name`.
    pub fn new(path: &str, name: &str) -> Self {
        Self {
            path: path.to_owned(),
            name: name.to_owned(),
            tries: Vec::new(),
            open: None,
        }
    }

    /// Its tries, oldest first.
    pub fn tries(&self) -> &[Try] {
        &self.tries
    }

    /// All events that it has, in the order in which they came.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.tries.iter().flat_map(|attempt| &attempt.events)
    }

    /// Versions of the servers that wrote its events.
    pub fn versions(&self) -> BTreeSet<&str> {
        self.events().map(|event| event.version.as_str()).collect()
    }

    /// Whether its tries brought the events 1 to `count`, each once and in order, and the last one its
    /// clean end.
    pub fn has_whole_stream(&self, count: u64) -> bool {
        let ids = self.events().map(|event| event.id);
        ids.eq(1..=count) && self.tries.last().is_some_and(|last| last.is_whole)
    }

    /// Identifier of the attempt that brought the first event.
    pub fn origin(&self) -> Option<&str> {
        let first = self.tries.iter().find(|attempt| !attempt.events.is_empty());
        first.map(|attempt| attempt.id.as_str())
    }

    /// Sends the next try to a gateway and reads its answer up to `events` more events. The answer stays
    /// open until [`Self::finish`], [`Self::leave`] or the next try.
    pub async fn begin(&mut self, gateway: SocketAddr, events: usize) {
        self.leave();
        let request = self.next_request();
        let id = format!("{}-{}", self.name, self.tries.len());
        self.tries.push(Try {
            id,
            ..Try::default()
        });
        if let Ok(Ok(reply)) = timeout(READ_LIMIT, http::send(gateway, request)).await {
            self.last().status = Some(reply.response.status().as_u16());
            self.open = Some(reply);
        }
        while self.open.is_some() && self.last().events.len() < events {
            self.read().await;
        }
    }

    /// Reads the answer of the last try to its end.
    pub async fn finish(&mut self) {
        while self.open.is_some() {
            self.read().await;
        }
    }

    /// Closes the connection of the last try.
    pub fn leave(&mut self) {
        self.open = None;
    }

    /// Sends the next try to a gateway and reads its whole answer. Returns whether it was a stream.
    pub async fn call(&mut self, gateway: SocketAddr) -> bool {
        self.begin(gateway, 0).await;
        self.finish().await;
        self.last().status == Some(200)
    }

    fn last(&mut self) -> &mut Try {
        self.tries.last_mut().expect("a try was sent")
    }

    async fn read(&mut self) {
        let Some(reply) = &mut self.open else {
            return;
        };
        match timeout(READ_LIMIT, reply.chunk()).await {
            Ok(Ok(Some(bytes))) => self.last().push(&bytes),
            Ok(Ok(None)) => {
                self.last().is_whole = true;
                self.open = None;
            }
            // Cut or silent: what came before is all that this try brought.
            Ok(Err(_)) | Err(_) => self.open = None,
        }
    }

    fn next_request(&self) -> Request<Bytes> {
        let id = format!("{}-{}", self.name, self.tries.len());
        let mut message = match (self.origin(), self.events().last()) {
            (Some(origin), Some(last)) => take_up(&self.path, &id, last.id, origin),
            _ => request(&self.path, &id),
        };
        let budget = HeaderValue::from(TIME_BUDGET_MS);
        message.headers_mut().insert("time-budget", budget);
        message
    }
}

/// A caller's request that takes a stream up after the event `after`; `origin` is the attempt that
/// brought the stream's first event.
pub fn take_up(path: &str, id: &str, after: u64, origin: &str) -> Request<Bytes> {
    let mut message = request(path, id);
    let origin = HeaderValue::from_str(origin).expect("an identifier is a header value");
    let headers = message.headers_mut();
    headers.insert("last-event-id", HeaderValue::from(after));
    headers.insert("resumes", origin);
    message
}
