//! Stand-in for a plain service: it answers any HTTP request after a settable time.
//!
//! The answer is a JSON object that names the service, method, path, idempotency key and the
//! body's checksum ([`answer`]), so that a caller can tell the answer to its own request. The
//! query `padding=N` adds N bytes to it.

use {
    crate::{
        flood::Flood,
        host::{Body, Connection, Host, json as answer_json},
        silence::Silence,
        written::Break,
    },
    http_body_util::BodyExt as _,
    hyper::{Request, Response, StatusCode, body::Incoming},
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tamarackdale_core::digest,
    tokio::sync::Notify,
};

/// One call that the service received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Idempotency key, if the call carried one.
    pub marker: Option<String>,
    /// Checksum of the body.
    pub fingerprint: u64,
    /// When it was received, since the service started.
    pub received: Duration,
}

/// A running service; stopped and joined on drop.
pub struct Plain {
    state: Arc<State>,
    host: Host,
}

struct State {
    name: String,
    start: Instant,
    latency: Mutex<Duration>,
    silence: Silence,
    calls: Mutex<Vec<Call>>,
    completed: AtomicUsize,
    /// Path at which it crashes.
    deadly_path: Mutex<Option<String>>,
    /// Where its answers break off.
    break_point: Mutex<Option<Break>>,
    /// Whether it crashes there.
    crashes_at_break: AtomicBool,
    /// What its answers have without end.
    flood: Mutex<Option<Flood>>,
    /// Tells the host to crash.
    crash: Arc<Notify>,
}

impl Plain {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port or thread is available.
    pub fn new(name: &str) -> io::Result<Self> {
        let state = Arc::new(State {
            name: name.to_owned(),
            start: Instant::now(),
            latency: Mutex::new(Duration::ZERO),
            silence: Silence::default(),
            calls: Mutex::new(Vec::new()),
            completed: AtomicUsize::new(0),
            deadly_path: Mutex::default(),
            break_point: Mutex::default(),
            crashes_at_break: AtomicBool::new(false),
            flood: Mutex::default(),
            crash: Arc::default(),
        });
        let shared = Arc::clone(&state);
        let handler = move |request| {
            let shared = Arc::clone(&shared);
            async move {
                let silence = shared.silence.clone();
                let response = handle(shared, request).await?;
                Some(silence.hold(response).await)
            }
        };
        let host = Host::with_crash(name, handler, Arc::clone(&state.crash))?;
        Ok(Self { state, host })
    }

    /// Address that the service serves.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets the time that each call takes from now on.
    pub fn set_latency(&self, latency: Duration) {
        *lock(&self.state.latency) = latency;
    }

    /// Lets it write nothing for that long. It takes calls and works on them all the while, and nothing
    /// is lost.
    pub fn fall_silent(&self, length: Duration) {
        self.state.silence.begin(length);
    }

    /// Lets it crash at each call to a path. It is back after [`crate::host::CRASH_LENGTH`].
    pub fn set_deadly_path(&self, path: &str) {
        *lock(&self.state.deadly_path) = Some(path.to_owned());
    }

    /// Lets it break its answers off there from now on.
    pub fn set_break_point(&self, point: Break) {
        *lock(&self.state.break_point) = Some(point);
    }

    /// Lets it crash where its answers break off.
    pub fn crash_at_break_point(&self) {
        self.state.crashes_at_break.store(true, Ordering::Relaxed);
    }

    /// Lets it answer without end from now on, or as usual again.
    pub fn set_flood(&self, flood: Option<Flood>) {
        *lock(&self.state.flood) = flood;
    }

    /// Calls received, oldest first.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.state.calls).clone()
    }

    /// Number of calls that were worked on to their end: a caller that closes its connection
    /// before that breaks its call off.
    pub fn completed(&self) -> usize {
        self.state.completed.load(Ordering::Relaxed)
    }
}

/// The answer of the service `name` to a call, without padding.
pub fn answer(name: &str, call: &Call) -> Value {
    json!({
        "service": name,
        "method": call.method,
        "path": call.path,
        "marker": call.marker,
        "fingerprint": format!("{:016x}", call.fingerprint),
    })
}

/// Answers one call; a call whose body is cut gets no answer.
async fn handle(state: Arc<State>, request: Request<Incoming>) -> Option<Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let key = parts.headers.get("idempotency-key");
    let call = Call {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        marker: key.and_then(|key| key.to_str().ok()).map(str::to_owned),
        fingerprint: digest::fingerprint(&body),
        received: state.start.elapsed(),
    };
    lock(&state.calls).push(call.clone());
    let latency = *lock(&state.latency);
    tokio::time::sleep(latency).await;
    if lock(&state.deadly_path).as_deref() == Some(call.path.as_str()) {
        state.crash.notify_one();
        std::future::pending::<()>().await;
    }
    state.completed.fetch_add(1, Ordering::Relaxed);
    let mut value = answer(&state.name, &call);
    if let Some(bytes) = padding(parts.uri.query()) {
        value["padding"] = "x".repeat(bytes).into();
    }
    let flood = *lock(&state.flood);
    if let Some(flood) = flood {
        let connection = parts.extensions.get::<Connection>()?.clone();
        flood.write(connection, "").await;
        return None;
    }
    let break_point = *lock(&state.break_point);
    if let Some(point) = break_point {
        let id = call.marker.as_deref().unwrap_or_default();
        point.write(
            parts.extensions.get::<Connection>()?,
            id,
            &value.to_string(),
        );
        if state.crashes_at_break.load(Ordering::Relaxed) {
            state.crash.notify_one();
            std::future::pending::<()>().await;
        }
        return None;
    }
    Some(answer_json(StatusCode::OK, &value))
}

fn padding(query: Option<&str>) -> Option<usize> {
    query?
        .split('&')
        .find_map(|pair| pair.strip_prefix("padding="))?
        .parse()
        .ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
