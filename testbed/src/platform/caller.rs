//! A caller that sends one request, and takes its stream up again if it breaks.

use {
    super::request,
    crate::http::{Connection, Fault, Reply},
    bytes::Bytes,
    hyper::{Request, header::HeaderValue, http::response::Parts},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Longest time without any bytes of an answer: twice the time that requests have.
const READ_LIMIT: Duration = Duration::from_secs(6);

/// An event that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its place in the stream, from 1.
    pub id: u64,
    /// Version of the server that wrote it.
    pub version: String,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its identifier.
    pub id: String,
    /// The gateway that it was sent to.
    pub gateway: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer ended, whole or not.
    pub ended_at: Option<Instant>,
    /// Status and headers of the answer, if there was one.
    pub head: Option<Parts>,
    /// What came of the body.
    pub body: Vec<u8>,
    /// Whether the answer came to a clean end.
    pub is_whole: bool,
}

impl Try {
    pub(crate) fn new(id: String, gateway: SocketAddr) -> Self {
        Self {
            id,
            gateway,
            sent_at: Instant::now(),
            ended_at: None,
            head: None,
            body: Vec::new(),
            is_whole: false,
        }
    }

    /// Status code, if there was an answer.
    pub fn status(&self) -> Option<u16> {
        self.head.as_ref().map(|head| head.status.as_u16())
    }

    /// A header's value, empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.as_ref().and_then(|head| head.headers.get(name));
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The body as text, empty if it is not UTF-8.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
    }

    /// The complete events that it brought.
    pub fn events(&self) -> Vec<Event> {
        let blocks = self.blocks();
        let events = blocks.iter().filter_map(|block| parse_event(block));
        events.collect()
    }

    /// Whether its body has something that is no event, but for the beginning of one at its end.
    pub fn has_foreign_text(&self) -> bool {
        let blocks = self.blocks();
        let is_cut = self.is_whole && !self.body.is_empty() && !self.body.ends_with(b"\n\n");
        is_cut || blocks.iter().any(|block| parse_event(block).is_none())
    }

    /// The parts of its body that an empty line ends.
    fn blocks(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        let complete = text.rsplit_once("\n\n").map(|(complete, _)| complete);
        let blocks = complete.into_iter().flat_map(|text| text.split("\n\n"));
        blocks.map(str::to_owned).collect()
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

/// A caller of one request. Later tries take its stream up after the last event that it has.
pub struct Caller {
    path: String,
    name: String,
    time_budget_ms: Option<u64>,
    body: Option<Bytes>,
    tries: Vec<Try>,
    open: Option<Reply>,
}

impl Caller {
    /// A caller whose attempts are named after `name`.
    pub fn new(path: &str, name: &str) -> Self {
        Self {
            path: path.to_owned(),
            name: name.to_owned(),
            time_budget_ms: None,
            body: None,
            tries: Vec::new(),
            open: None,
        }
    }

    /// Lets each try have another time than the usual one.
    pub fn with_time_budget(mut self, budget: Duration) -> Self {
        self.time_budget_ms = u64::try_from(budget.as_millis()).ok();
        self
    }

    /// Sends another body than the usual one.
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = Some(body);
        self
    }

    /// Its tries, oldest first.
    pub fn tries(&self) -> &[Try] {
        &self.tries
    }

    /// Its tries, once nothing more is to be sent.
    pub fn into_tries(self) -> Vec<Try> {
        self.tries
    }

    /// All events that it has, in the order in which they came.
    pub fn events(&self) -> Vec<Event> {
        self.tries.iter().flat_map(Try::events).collect()
    }

    /// Versions of the servers that wrote its events.
    pub fn versions(&self) -> BTreeSet<String> {
        let events = self.events().into_iter();
        events.map(|event| event.version).collect()
    }

    /// Whether its tries brought the events 1 to `count`, each once and in order, and the last one its
    /// clean end.
    pub fn has_whole_stream(&self, count: u64) -> bool {
        let events = self.events();
        let ids = events.iter().map(|event| event.id);
        ids.eq(1..=count) && self.tries.last().is_some_and(|last| last.is_whole)
    }

    /// Identifier of the attempt that brought the first event.
    pub fn origin(&self) -> Option<&str> {
        let mut tries = self.tries.iter();
        let first = tries.find(|attempt| !attempt.events().is_empty());
        first.map(|attempt| attempt.id.as_str())
    }

    /// Sends the next try to a gateway and reads its answer up to `events` more events. The answer stays
    /// open until [`Self::finish`], [`Self::leave`] or the next try.
    pub async fn begin(&mut self, gateway: SocketAddr, events: usize) {
        let request = self.prepare(gateway);
        let reply = timeout(READ_LIMIT, crate::http::send(gateway, request)).await;
        self.accept(reply.ok(), events).await;
    }

    /// Sends the next try to a gateway and reads its whole answer. Returns whether it was a success.
    pub async fn call(&mut self, gateway: SocketAddr) -> bool {
        self.begin(gateway, 0).await;
        self.finish().await;
        self.last().status() == Some(200)
    }

    /// Sends the next try on an open connection and reads its whole answer. Returns whether the
    /// connection is of further use.
    pub async fn call_on(&mut self, connection: &mut Connection) -> bool {
        let request = self.prepare(connection.address());
        let reply = timeout(READ_LIMIT, connection.reply(request)).await;
        self.accept(reply.ok(), 0).await;
        self.finish().await;
        let last = self.last();
        last.is_whole && last.header("connection") != "close"
    }

    /// Reads the answer of the last try to its end.
    pub async fn finish(&mut self) {
        while self.open.is_some() {
            self.read().await;
        }
    }

    /// Closes the connection of the last try.
    pub fn leave(&mut self) {
        if self.open.take().is_some() {
            self.last().ended_at = Some(Instant::now());
        }
    }

    fn prepare(&mut self, gateway: SocketAddr) -> Request<Bytes> {
        self.leave();
        let id = match self.tries.len() {
            0 => self.name.clone(),
            number => format!("{}-again-{number}", self.name),
        };
        let request = self.request(&id);
        self.tries.push(Try::new(id, gateway));
        request
    }

    fn request(&self, id: &str) -> Request<Bytes> {
        let mut message = match (self.origin(), self.events().last()) {
            (Some(origin), Some(last)) => take_up(&self.path, id, last.id, origin),
            _ => request(&self.path, id),
        };
        if let Some(budget) = self.time_budget_ms {
            let budget = HeaderValue::from(budget);
            message.headers_mut().insert("time-budget", budget);
        }
        message.map(|body| self.body.clone().unwrap_or(body))
    }

    async fn accept(&mut self, reply: Option<Result<Reply, Fault>>, events: usize) {
        match reply {
            Some(Ok(reply)) => {
                self.last().head = Some(reply.head());
                self.open = Some(reply);
            }
            // No answer: the try has none.
            Some(Err(_)) | None => self.last().ended_at = Some(Instant::now()),
        }
        while self.open.is_some() && self.last().events().len() < events {
            self.read().await;
        }
    }

    fn last(&mut self) -> &mut Try {
        self.tries.last_mut().expect("a try was sent")
    }

    async fn read(&mut self) {
        let Some(reply) = &mut self.open else {
            return;
        };
        match timeout(READ_LIMIT, reply.chunk()).await {
            Ok(Ok(Some(bytes))) => self.last().body.extend_from_slice(&bytes),
            Ok(Ok(None)) => {
                self.last().is_whole = true;
                self.leave();
            }
            // Cut or silent: what came before is all that this try brought.
            Ok(Err(_)) | Err(_) => self.leave(),
        }
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
