//! Stand-in for a backend server of the users' platform.

use {
    crate::{
        flood::{Flood, HINT},
        host::{Body, Connection, Host, json, whole},
        silence::Silence,
        written::{Break, Framing},
    },
    bytes::Bytes,
    futures_util::{Stream, StreamExt as _, stream},
    http_body_util::{BodyExt as _, StreamBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Body as _, Frame, Incoming},
    },
    serde_json::json as value,
    std::{
        io,
        net::SocketAddr,
        ops::RangeInclusive,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep},
};

/// Pause between two bytes of a server that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(200);

/// Time from an answer to bytes that follow it on the idle connection.
const IDLE_PAUSE: Duration = Duration::from_millis(5);

/// Time from the head of a response to the crash of its server.
const HEAD_PAUSE: Duration = Duration::from_millis(20);

/// Size of an answer that is written before the body of the request is read, in bytes: less than the
/// caller's system takes at once, since a server that closes loses the rest.
const EARLY_BYTES: usize = 20_000;

/// Time from such an answer until the server reads on.
const EARLY_PAUSE: Duration = Duration::from_millis(1_000);

/// Pause between two pieces of a body that is read slowly.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// Version of a server's software unless it is another one.
const DEFAULT_VERSION: &str = "v1";

/// How the server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs them and answers.
    #[default]
    Sound,
    /// Says that it did not run them.
    Full,
    /// Runs them and cuts the connection before an answer.
    LosesAnswers,
    /// Runs them and answers with the identifier of another request.
    MixesAnswers,
    /// Runs them and answers without a signature.
    Unsigned,
    /// Runs them and breaks off in the middle of the answer, or of a stream's third event.
    BreaksOff,
    /// Runs them and answers with an error.
    Fails,
    /// Runs them and answers with a status that callers take for a refusal, but does not say that it
    /// has not run them.
    SeemsToRefuse(StatusCode),
    /// Takes them and never answers.
    Silent,
    /// Runs them and answers with a body without end, or a stream with an event without end.
    Endless,
    /// Runs them and answers without end.
    Floods(Flood),
    /// Runs them and answers plain requests with a body of that many bytes.
    AnswersLong(usize),
    /// Runs them and sends that many interim responses before the answer.
    Hints(usize),
    /// Runs them and stalls in the second event of a stream, of which it sends a byte now and then.
    Trickles,
    /// Writes a refusal that it has sent before once more.
    RepeatsRefusal(Repeat),
    /// Answers before it has read the body.
    AnswersEarly(Early),
    /// Runs them, writes the beginning of the answer and ends the connection.
    BreaksAt(Break),
    /// Runs them, writes the beginning of the answer and crashes.
    CrashesAt(Break),
    /// Answers a request to go on with a stream with an error.
    FailsToResume,
    /// Writes this text in the middle of a stream, whose end is that of the connection.
    Interjects(&'static str),
}

/// An answer that a server writes before it has read the body of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Early {
    /// Whether the server says that it did not run the request.
    pub is_refusal: bool,
    /// Whether it then closes the connection in place of reading on.
    pub closes: bool,
}

/// A refusal that is written once more on a kept connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repeat {
    /// When it is written.
    pub point: RepeatPoint,
    /// Whether it names the request that was refused.
    pub is_named: bool,
}

/// When a refusal is written once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPoint {
    /// Right after it was written: the server refuses all requests.
    AfterRefusal,
    /// On the idle connection, after the answer to a later request that the server ran.
    WhileIdle,
    /// Where the answer to a later request is due, which the server runs.
    BeforeAnswer,
}

/// An answer that is not the next part of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Oddity {
    /// Another status, or another content type, than those of a stream, with an error's text.
    Error {
        /// Status code.
        status: u16,
        /// Content type.
        content_type: &'static str,
        /// Whether it says that it has not run the request.
        is_refusal: bool,
    },
    /// The events from the first to the second number, and then a text. The response has no length and
    /// ends with its connection.
    Unframed(u64, u64, &'static str),
    /// The whole stream, under another signature.
    OtherSeal,
}

/// Odd answers that servers share: each is the answer of one server to one request.
pub type Oddities = Arc<Mutex<Vec<Oddity>>>;

/// When a server crashes at a request that is deadly to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the head of the response.
    BeforeHead,
    /// Between the head and the first event, or the body.
    AfterHead,
    /// After the first event of a stream.
    AfterFirstEvent,
}

/// Requests that are deadly to a server.
#[derive(Clone, Debug)]
struct Deadly {
    /// Text in the parts of the prompt or in the body.
    text: String,
    point: CrashPoint,
}

impl Deadly {
    fn is(&self, run: &Run) -> bool {
        let mut body = run.body.windows(self.text.len().max(1));
        run.prompt_parts.contains(&self.text) || body.any(|part| part == self.text.as_bytes())
    }
}

/// A request that the server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Identifier of the request.
    pub id: String,
    /// Time that was left, in milliseconds.
    pub time_left_ms: u64,
    /// Organisation that it was said to be for.
    pub organisation: String,
    /// Event after which it was to go on.
    pub resumed_after: Option<u64>,
    /// Attempt that brought the first event of the stream that it takes up.
    pub resumes: Option<String>,
    /// Version of the server's software.
    pub version: String,
    /// Whether its connection had carried an earlier request.
    pub is_kept: bool,
    /// Whether the caller's key came with it.
    pub has_key: bool,
    /// Parts of its prompt as they were stated.
    pub prompt_parts: String,
    /// Body as it came.
    pub body: Bytes,
    /// When it came.
    pub at: Instant,
}

/// A running server; stopped and joined on drop.
pub struct Server {
    id: String,
    service: String,
    /// Where others are told that it listens.
    advertised: SocketAddr,
    data_centre: String,
    state: Arc<State>,
    host: Host,
}

struct State {
    id: String,
    /// Version of its software.
    version: Mutex<String>,
    behaviour: Mutex<Behaviour>,
    latency: Mutex<Duration>,
    events: Mutex<u64>,
    silence: Silence,
    deadly: Mutex<Option<Deadly>>,
    /// Answers that it gives before it treats requests as usual.
    oddities: Mutex<Oddities>,
    /// Tells the host to crash.
    crash: Arc<Notify>,
    /// When it crashed.
    crashes: Mutex<Vec<Instant>>,
    /// `Retry-After` of the refusals of a full server, in seconds.
    retry_after: Mutex<Option<String>>,
    /// Whether all responses say that the server is leaving.
    is_leaving: AtomicBool,
    /// Value of the `Server-Limit` that all responses name.
    limit: Mutex<Option<String>>,
    /// When each request arrived, including those that it did not run.
    arrivals: Mutex<Vec<Instant>>,
    /// Start of the process, as its registration states it.
    started_at_ms: AtomicU64,
    runs: Mutex<Vec<Run>>,
    working: AtomicUsize,
    /// Requests that it did not run.
    refusals: AtomicUsize,
    /// Identifier of the last of them.
    last_refused: Mutex<Option<String>>,
    /// Answers that it gave before it had read the body.
    early_answers: AtomicUsize,
    /// Times that it was asked for a report.
    reports: AtomicUsize,
}

impl Server {
    /// Starts a server of a service on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread is available.
    pub fn new(id: &str, service: &str) -> io::Result<Self> {
        let state = Arc::new(State {
            id: id.to_owned(),
            version: Mutex::new(DEFAULT_VERSION.to_owned()),
            behaviour: Mutex::default(),
            latency: Mutex::new(Duration::from_millis(10)),
            events: Mutex::new(5),
            silence: Silence::default(),
            deadly: Mutex::default(),
            oddities: Mutex::default(),
            crash: Arc::default(),
            crashes: Mutex::default(),
            retry_after: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            limit: Mutex::default(),
            arrivals: Mutex::default(),
            started_at_ms: AtomicU64::new(1),
            runs: Mutex::default(),
            working: AtomicUsize::new(0),
            refusals: AtomicUsize::new(0),
            last_refused: Mutex::default(),
            early_answers: AtomicUsize::new(0),
            reports: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&state);
        let crash = Arc::clone(&state.crash);
        let handler = move |request: Request<Incoming>| {
            let shared = Arc::clone(&shared);
            async move {
                if request.uri().path() == "/report" {
                    shared.reports.fetch_add(1, Ordering::SeqCst);
                    return Some(shared.silence.hold(shared.report()).await);
                }
                lock(&shared.arrivals).push(Instant::now());
                let response = Arc::clone(&shared).answer(request).await?;
                let mut response = shared.silence.hold(response).await;
                if let Some(limit) = lock(&shared.limit).as_deref() {
                    put(&mut response, "server-limit", limit);
                }
                if shared.is_leaving.load(Ordering::SeqCst) {
                    put(&mut response, "server-leaving", "1");
                }
                Some(response)
            }
        };
        let host = Host::with_crash(id, handler, crash)?;
        Ok(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            advertised: host.address(),
            data_centre: "a".to_owned(),
            state,
            host,
        })
    }

    /// Tells others to reach it at another address, such as a proxy's.
    pub fn with_advertised(mut self, address: SocketAddr) -> Self {
        self.advertised = address;
        self
    }

    /// Places it in another data centre than `a`.
    pub fn with_data_centre(mut self, name: &str) -> Self {
        self.data_centre = name.to_owned();
        self
    }

    /// Runs another version of the software than `v1`.
    pub fn with_version(self, version: &str) -> Self {
        version.clone_into(&mut lock(&self.state.version));
        self
    }

    /// Version of its software, which each event of its streams names.
    pub fn version(&self) -> String {
        self.state.version()
    }

    /// Its identifier.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets how requests are treated from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }

    /// Lets the server give odd answers that it shares with others, the last first, until none is left.
    pub fn set_oddities(&self, oddities: &Oddities) {
        *lock(&self.state.oddities) = Arc::clone(oddities);
    }

    /// Sets the time that an answer takes, or the time between two events.
    pub fn set_latency(&self, latency: Duration) {
        *lock(&self.state.latency) = latency;
    }

    /// Sets the number of events of a stream.
    pub fn set_events(&self, events: u64) {
        *lock(&self.state.events) = events;
    }

    /// Lets the server write nothing for that long: no response, no event. It accepts connections and
    /// reads requests all the while, then goes on where it was; nothing is lost.
    pub fn fall_silent(&self, length: Duration) {
        self.state.silence.begin(length);
    }

    /// Lets the server crash when it runs a request with `text` in the parts of its prompt or in its
    /// body. It is back after [`crate::host::CRASH_LENGTH`].
    pub fn set_deadly(&self, text: &str, point: CrashPoint) {
        *lock(&self.state.deadly) = Some(Deadly {
            text: text.to_owned(),
            point,
        });
    }

    /// When it crashed, oldest first.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.state.crashes).clone()
    }

    /// Sets the `Retry-After` of a full server's refusals, in seconds.
    pub fn set_retry_after(&self, seconds: &str) {
        *lock(&self.state.retry_after) = Some(seconds.to_owned());
    }

    /// Requests that it did not run.
    pub fn refusals(&self) -> usize {
        self.state.refusals.load(Ordering::SeqCst)
    }

    /// Lets all responses say that the server is leaving, while its registration says otherwise.
    pub fn say_leaving(&self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Names a limit in all responses, in requests per second, or none any more.
    pub fn set_limit(&self, per_second: Option<&str>) {
        *lock(&self.state.limit) = per_second.map(str::to_owned);
    }

    /// When each request arrived, including those that it did not run, oldest first.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state.arrivals).clone()
    }

    /// Most requests that arrived within `window` from any moment after `from`.
    pub fn most_arrivals(&self, window: Duration, from: Instant) -> usize {
        let arrivals = self.arrivals();
        let after = arrivals.iter().filter(|arrival| **arrival >= from);
        let within = |start: &Instant| {
            let end = *start + window;
            arrivals
                .iter()
                .filter(|at| (*start..end).contains(*at))
                .count()
        };
        after.map(within).max().unwrap_or_default()
    }

    /// Becomes another start of the server, which is not leaving and names no limit. Tells so once it is registered.
    pub fn start_again(&self) {
        self.state.started_at_ms.fetch_add(1, Ordering::SeqCst);
        self.state.is_leaving.store(false, Ordering::SeqCst);
        self.set_limit(None);
    }

    /// Crashes and is at once back under its identifier and address, at another version of its software.
    /// Tells so once it is registered.
    pub fn restart_at(&self, version: &str) {
        self.host.close();
        version.clone_into(&mut lock(&self.state.version));
        self.start_again();
        self.host.open();
    }

    /// The requests that it ran, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state.runs).clone()
    }

    /// Times that it was asked for a report, answered or not.
    pub fn reports(&self) -> usize {
        self.state.reports.load(Ordering::SeqCst)
    }

    /// Answers that it gave before it had read the body of the request.
    pub fn early_answers(&self) -> usize {
        self.state.early_answers.load(Ordering::SeqCst)
    }

    /// Requests that it works on now.
    pub fn working(&self) -> usize {
        self.state.working.load(Ordering::SeqCst)
    }

    /// Refuses connections and cuts those that are open.
    pub fn close(&self) {
        self.host.close();
    }

    /// Its registration in the store.
    pub fn registration(&self, state: &str) -> (String, Vec<u8>) {
        let entry = value!({
            "service": self.service,
            "address": self.advertised.to_string(),
            "zone": self.data_centre,
            "version": self.version(),
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.state.started_at_ms.load(Ordering::SeqCst),
        });
        (format!("servers/{}", self.id), entry.to_string().into())
    }
}

/// Counts a request as worked on until it is dropped, as when its connection is closed.
struct Work(Arc<State>);

impl Work {
    fn new(state: &Arc<State>) -> Self {
        state.working.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(state))
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.0.working.fetch_sub(1, Ordering::SeqCst);
    }
}

impl State {
    fn version(&self) -> String {
        lock(&self.version).clone()
    }

    /// What it says of itself.
    fn report(&self) -> Response<Body> {
        let born = self.started_at_ms.load(Ordering::SeqCst);
        json(
            StatusCode::OK,
            &value!({"stage": "mixed", "models": [], "queued": 0, "running": 0, "born": born}),
        )
    }

    /// An event of a stream.
    fn event(&self, id: u64) -> Bytes {
        format!("id: {id}\ndata: token {id} of {}\n\n", self.version()).into()
    }

    /// The events of a stream after `after`.
    fn events(&self, after: u64) -> String {
        let count = *lock(&self.events);
        let events = (after + 1..=count).map(|id| self.event(id));
        events
            .map(|event| String::from_utf8_lossy(&event).into_owned())
            .collect()
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let (parts, body) = request.into_parts();
        let text = |name: &str| {
            let value = parts.headers.get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
        };
        let behaviour = *lock(&self.behaviour);
        let id = text("attempt-id").to_owned();
        let connection = parts.extensions.get::<Connection>().cloned();
        let repeat = match behaviour {
            Behaviour::RepeatsRefusal(repeat) => Some(repeat),
            _ => None,
        };
        let is_refused_twice = repeat.is_some_and(|it| it.point == RepeatPoint::AfterRefusal);
        let is_meant = text("expect-instance") == self.id;
        if !is_meant || behaviour == Behaviour::Full || is_refused_twice {
            let status = match is_meant {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::MISDIRECTED_REQUEST,
            };
            let mut response = json(status, &value!({}));
            put(&mut response, "not-executed", "1");
            self.refusals.fetch_add(1, Ordering::SeqCst);
            *lock(&self.last_refused) = Some(id.clone());
            if let Some(value) = lock(&self.retry_after).as_deref() {
                put(&mut response, "retry-after", value);
            }
            if let (Some(connection), true) = (&connection, is_refused_twice) {
                connection.write(refusal(Some(&id)).as_bytes());
            }
            if repeat.is_none_or(|repeat| repeat.is_named) {
                put(&mut response, "attempt-id", &id);
            }
            return Some(response);
        }
        let oddity = lock(&lock(&self.oddities)).pop();
        if let Some(Oddity::Error {
            status,
            content_type,
            is_refusal,
        }) = oddity
        {
            return Some(signed(error(status, content_type, is_refusal), &id));
        }
        if let Behaviour::AnswersEarly(early) = behaviour {
            return self.answer_early(&id, early, body, connection).await;
        }
        let resumed_after = text("last-event-id").parse().ok();
        let run = Run {
            id: id.clone(),
            time_left_ms: text("time-budget").parse().unwrap_or_default(),
            organisation: text("tenant").to_owned(),
            resumed_after,
            resumes: Some(text("resumes").to_owned()).filter(|attempt| !attempt.is_empty()),
            version: self.version(),
            is_kept: connection.as_ref().is_some_and(|it| it.is_kept),
            has_key: parts.headers.contains_key("authorization"),
            prompt_parts: text("prefix-hash").to_owned(),
            body: body.collect().await.ok()?.to_bytes(),
            at: Instant::now(),
        };
        let size = run.body.len();
        let deadly = lock(&self.deadly).clone();
        let crash_point = deadly.filter(|deadly| deadly.is(&run));
        let crash_point = crash_point.map(|deadly| deadly.point);
        lock(&self.runs).push(run);
        self.repeat_refusal(RepeatPoint::BeforeAnswer, connection.as_ref());
        if let (Some(Oddity::Unframed(first, last, foreign)), Some(connection)) =
            (oddity, &connection)
        {
            connection.write(&self.unframed(&id, first..=last, foreign));
            return None;
        }
        let work = Work::new(&self);
        let latency = *lock(&self.latency);
        let is_stream = parts.headers.contains_key("token-usage");
        if !is_stream || resumed_after.is_none() {
            sleep(latency).await;
        }
        match behaviour {
            Behaviour::LosesAnswers => return None,
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Floods(flood) => {
                flood.write(connection?, &id).await;
                return None;
            }
            Behaviour::Hints(count) => {
                connection.as_ref()?.write(HINT.repeat(count).as_bytes());
            }
            Behaviour::FailsToResume if resumed_after.is_some() => {
                return Some(signed(
                    json(StatusCode::INTERNAL_SERVER_ERROR, &value!({})),
                    &id,
                ));
            }
            Behaviour::Interjects(text) if is_stream => {
                let events = self.events(resumed_after.unwrap_or(0));
                let (first, _) = events.split_at(events.len() / 2);
                let (first, _) = first.rsplit_once("\n\n").unwrap_or_default();
                let body = format!("{first}\n\n{text}");
                Break::none(Framing::Connection).write(&connection?, &id, &body);
                return None;
            }
            Behaviour::BreaksAt(point) | Behaviour::CrashesAt(point) => {
                let body = match is_stream {
                    true => self.events(resumed_after.unwrap_or(0)),
                    false => plain_answer(&self.id, size),
                };
                point.write(&connection?, &id, &body);
                if matches!(behaviour, Behaviour::CrashesAt(_)) {
                    return self.crash().await;
                }
                return None;
            }
            Behaviour::Fails => {
                return Some(signed(
                    json(StatusCode::INTERNAL_SERVER_ERROR, &value!({})),
                    &id,
                ));
            }
            Behaviour::SeemsToRefuse(status) => {
                return Some(signed(json(status, &value!({})), &id));
            }
            _ => {}
        }
        match crash_point {
            None => {}
            Some(CrashPoint::BeforeHead) => return self.crash().await,
            Some(point) => return Some(signed(self.crashing_answer(point, is_stream), &id)),
        }
        self.repeat_refusal(RepeatPoint::WhileIdle, connection.as_ref());
        let echo = match behaviour {
            Behaviour::MixesAnswers => "another-request",
            _ => &id,
        };
        let response = match is_stream {
            true => self.stream(resumed_after.unwrap_or(0), work, behaviour),
            false => answer_whole(&self.id, size, behaviour),
        };
        if behaviour == Behaviour::Unsigned {
            let mut response = response;
            put(&mut response, "attempt-id", echo);
            return Some(response);
        }
        let mut response = signed(response, echo);
        if oddity == Some(Oddity::OtherSeal) {
            put(&mut response, "response-seal", "another signature");
        }
        Some(response)
    }

    /// Answers before the body is read, and reads it slowly after that, or not at all.
    async fn answer_early(
        &self,
        id: &str,
        early: Early,
        body: Incoming,
        connection: Option<Connection>,
    ) -> Option<Response<Body>> {
        self.early_answers.fetch_add(1, Ordering::SeqCst);
        if early.closes {
            let (status, refusal) = match early.is_refusal {
                true => ("503 Service Unavailable", "not-executed: 1\r\n"),
                false => ("200 OK", ""),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\n{refusal}attempt-id: {id}\r\nresponse-seal: signature\r\n\
                 content-length: {EARLY_BYTES}\r\n\r\n"
            );
            connection?.write(&[head.as_bytes(), &[b'y'; EARLY_BYTES]].concat());
            return None;
        }
        let status = match early.is_refusal {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        };
        let mut response = signed(whole(status, vec![b'y'; EARLY_BYTES].into()), id);
        if early.is_refusal {
            put(&mut response, "not-executed", "1");
        }
        tokio::spawn(async move {
            let mut body = body;
            sleep(EARLY_PAUSE).await;
            while !body.is_end_stream() {
                let Some(Ok(_)) = body.frame().await else {
                    return;
                };
                sleep(READ_PAUSE).await;
            }
        });
        Some(response)
    }

    /// The bytes of a stream without a length.
    fn unframed(&self, id: &str, events: RangeInclusive<u64>, foreign: &str) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: signature\r\n\
             content-type: text/event-stream\r\nconnection: close\r\n\r\n"
        );
        let events = events.flat_map(|number| self.event(number));
        let events = events.chain(foreign.bytes());
        head.into_bytes().into_iter().chain(events).collect()
    }

    /// Writes the last refusal once more on a kept connection, if the server does so at this point.
    fn repeat_refusal(&self, point: RepeatPoint, connection: Option<&Connection>) {
        let refused = lock(&self.last_refused).clone();
        let kept = connection.filter(|connection| connection.is_kept).cloned();
        let Behaviour::RepeatsRefusal(repeat) = *lock(&self.behaviour) else {
            return;
        };
        let (Some(refused), Some(kept), true) = (refused, kept, repeat.point == point) else {
            return;
        };
        let bytes = refusal(repeat.is_named.then_some(&refused));
        if point == RepeatPoint::BeforeAnswer {
            return kept.write(bytes.as_bytes());
        }
        tokio::spawn(async move {
            sleep(IDLE_PAUSE).await;
            kept.write(bytes.as_bytes());
        });
    }

    /// Crashes: the host cuts this connection with all others.
    async fn crash<T>(&self) -> T {
        lock(&self.crashes).push(Instant::now());
        self.crash.notify_one();
        std::future::pending().await
    }

    /// An answer in whose course the server crashes.
    fn crashing_answer(self: &Arc<Self>, point: CrashPoint, is_stream: bool) -> Response<Body> {
        let has_event = point == CrashPoint::AfterFirstEvent;
        let state = Arc::clone(self);
        let first = has_event.then(|| Ok(Frame::data(self.event(1))));
        let crash = stream::once(async move {
            // What was sent before goes out first.
            sleep(HEAD_PAUSE).await;
            state.crash::<io::Result<Frame<Bytes>>>().await
        });
        let body = stream::iter(first).chain(crash);
        let mut response = Response::new(StreamBody::new(body).boxed_unsync());
        if is_stream {
            put(&mut response, "content-type", "text/event-stream");
        }
        response
    }

    fn stream(self: &Arc<Self>, after: u64, work: Work, behaviour: Behaviour) -> Response<Body> {
        let endless_body = match behaviour {
            Behaviour::Endless => Some(StreamBody::new(endless_bytes()).boxed_unsync()),
            Behaviour::Trickles => Some(StreamBody::new(trickle(&self.event(1))).boxed_unsync()),
            _ => None,
        };
        if let Some(body) = endless_body {
            let mut response = Response::new(body);
            put(&mut response, "content-type", "text/event-stream");
            return response;
        }
        let count = *lock(&self.events);
        let latency = *lock(&self.latency);
        let events = stream::unfold((after + 1, work), move |(id, work)| async move {
            if id > count {
                return None;
            }
            sleep(latency).await;
            let event = work.0.event(id);
            let breaks = behaviour == Behaviour::BreaksOff;
            let item = match (breaks, id) {
                (true, 3) => Ok(Frame::data(Bytes::from_static(b"id: 3\nda"))),
                (true, 4..) => Err(io::Error::other("broken off")),
                _ => Ok(Frame::data(event)),
            };
            Some((item, (id + 1, work)))
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        put(&mut response, "content-type", "text/event-stream");
        response
    }
}

/// Meaningless bytes, until the caller closes the connection.
fn endless_bytes() -> impl Stream<Item = io::Result<Frame<Bytes>>> {
    stream::repeat_with(|| Ok(Frame::data(Bytes::from_static(&[b'x'; 16 * 1024]))))
}

/// The first event and the beginning of a second one, a byte at a time.
fn trickle(first: &[u8]) -> impl Stream<Item = io::Result<Frame<Bytes>>> + use<> {
    let head = Bytes::from([first, b"id: 2\ndata: "].concat());
    stream::unfold(Some(head), |head| async move {
        if let Some(head) = head {
            return Some((Ok(Frame::data(head)), None));
        }
        sleep(TRICKLE_PAUSE).await;
        Some((Ok(Frame::data(Bytes::from_static(b"x"))), None))
    })
}

fn plain_answer(id: &str, size: usize) -> String {
    format!("{id} got {size} bytes")
}

/// The answer of the server `id` to a request with a body of `size` bytes.
fn answer_whole(id: &str, size: usize, behaviour: Behaviour) -> Response<Body> {
    let text = plain_answer(id, size);
    if behaviour == Behaviour::Endless {
        return Response::new(StreamBody::new(endless_bytes()).boxed_unsync());
    }
    if let Behaviour::AnswersLong(bytes) = behaviour {
        return whole(StatusCode::OK, vec![b'x'; bytes].into());
    }
    if behaviour != Behaviour::BreaksOff {
        return whole(StatusCode::OK, text.into());
    }
    let pieces = stream::iter([
        Ok(Frame::data(Bytes::from(text))),
        Err(io::Error::other("broken off")),
    ]);
    Response::new(StreamBody::new(pieces).boxed_unsync())
}

/// The bytes of a refusal, which may name the request that was refused.
fn refusal(id: Option<&str>) -> String {
    let name = id.map(|id| format!("attempt-id: {id}\r\n"));
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n{}content-length: 2\r\n\r\n{{}}",
        name.unwrap_or_default()
    )
}

/// An error that is no stream, or success that is none.
fn error(status: u16, content_type: &str, is_refusal: bool) -> Response<Body> {
    let status = StatusCode::from_u16(status).expect("a status code");
    let body = match status {
        StatusCode::NO_CONTENT => Bytes::new(),
        _ => Bytes::from_static(b"data: internal error\n\n"),
    };
    let mut response = whole(status, body);
    put(&mut response, "content-type", content_type);
    if is_refusal {
        put(&mut response, "not-executed", "1");
    }
    response
}

fn signed(mut response: Response<Body>, id: &str) -> Response<Body> {
    put(&mut response, "attempt-id", id);
    put(&mut response, "response-seal", "signature");
    response
}

fn put(response: &mut Response<Body>, name: &'static str, value: &str) {
    let value = value.parse().expect("the value is a header value");
    response.headers_mut().insert(name, value);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
