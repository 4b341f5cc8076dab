//! Stand-in for the instance list, in the JSON of Prometheus HTTP service discovery.

use {
    crate::host::{Body, Host, json, whole},
    bytes::Bytes,
    flate2::{Compression, write::GzEncoder},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{ACCEPT_ENCODING, CONTENT_ENCODING, ETAG, HeaderValue, IF_NONE_MATCH},
    },
    serde_json::{Value, json as value},
    std::{
        collections::VecDeque,
        io::{self, Write as _},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tamarackdale_core::digest,
};

/// Encoding of a packed answer.
const GZIP: &str = "gzip";

/// One listed instance, with the values of its labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Address for the system's processes.
    pub address: SocketAddr,
    /// Service of its backend server; empty for a router.
    pub service: String,
    /// `router` or `sidecar`.
    pub role: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is about to go.
    pub leaving: bool,
}

#[derive(Default)]
struct State {
    lag: Duration,
    /// Versions of the list with the time at which each came about; the last is the present.
    versions: VecDeque<(Instant, Vec<Instance>)>,
}

/// A running instance list. It lives on threads of its own, which end with it.
pub struct List {
    host: Host,
    state: Arc<Mutex<State>>,
    calls: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

impl List {
    /// Starts an empty list on a free loopback port.
    ///
    /// # Errors
    ///
    /// No port or thread is available.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let calls = Arc::new(AtomicU64::new(0));
        let sent = Arc::new(AtomicU64::new(0));
        let handler = {
            let (state, calls) = (Arc::clone(&state), Arc::clone(&calls));
            let sent = Arc::clone(&sent);
            move |request: Request<Incoming>| {
                calls.fetch_add(1, Ordering::SeqCst);
                let visible = lock(&state).visible(Instant::now());
                let response = answer(&request, &visible);
                if response.status().is_success() {
                    sent.fetch_add(1, Ordering::SeqCst);
                }
                async move { Some(response) }
            }
        };
        Ok(Self {
            host: Host::new("list", handler)?,
            state,
            calls,
            sent,
        })
    }

    /// Makes every change visible only after `lag`.
    pub fn with_lag(self, lag: Duration) -> Self {
        lock(&self.state).lag = lag;
        self
    }

    /// The address served.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// The URL for a client.
    pub fn url(&self) -> String {
        format!("http://{}/", self.host.address())
    }

    /// Calls answered.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    /// Calls answered with the list itself, since the caller did not know it.
    pub fn lists_sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }

    /// Refuses connections until [`List::resume`].
    pub fn stop(&self) {
        self.host.close();
    }

    /// Accepts connections again.
    pub fn resume(&self) {
        self.host.open();
    }

    /// Adds an instance or replaces the one of that name.
    pub fn set(&self, instance: Instance) {
        self.change(|instances| {
            instances.retain(|other| other.name != instance.name);
            instances.push(instance);
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.change(|instances| instances.retain(|instance| instance.name != name));
    }

    /// Marks an instance as about to go.
    pub fn set_leaving(&self, name: &str) {
        self.change(|instances| {
            for instance in instances
                .iter_mut()
                .filter(|instance| instance.name == name)
            {
                instance.leaving = true;
            }
        });
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<Instance>)) {
        let mut state = lock(&self.state);
        let mut instances = state
            .versions
            .back()
            .map(|(_, instances)| instances.clone())
            .unwrap_or_default();
        edit(&mut instances);
        state.versions.push_back((Instant::now(), instances));
    }
}

impl State {
    /// The newest version older than the lag. Older ones are forgotten.
    fn visible(&mut self, now: Instant) -> Value {
        let lag = self.lag;
        let is_visible = |at: &Instant| now.saturating_duration_since(*at) >= lag;
        while self.versions.get(1).is_some_and(|(at, _)| is_visible(at)) {
            self.versions.pop_front();
        }
        match self.versions.front() {
            Some((at, instances)) if is_visible(at) => instances.iter().map(group).collect(),
            _ => value!([]),
        }
    }
}

/// The list, packed if the caller takes that, unless the caller knows it by its entity tag.
fn answer(request: &Request<Incoming>, list: &Value) -> Response<Body> {
    let text = list.to_string();
    let tag = format!("\"{:016x}\"", digest::fingerprint(text.as_bytes()));
    let tag = HeaderValue::try_from(tag).expect("hexadecimal digits are valid in a header");
    let mut response = match request.headers().get(IF_NONE_MATCH) == Some(&tag) {
        true => whole(StatusCode::NOT_MODIFIED, Bytes::new()),
        false if accepts_gzip(request) => packed(&text),
        false => json(StatusCode::OK, list),
    };
    response.headers_mut().insert(ETAG, tag);
    response
}

fn accepts_gzip(request: &Request<Incoming>) -> bool {
    let accepted = request.headers().get(ACCEPT_ENCODING);
    accepted.is_some_and(|encoding| encoding == GZIP)
}

fn packed(text: &str) -> Response<Body> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let written = encoder.write_all(text.as_bytes());
    written.expect("writing to memory does not fail");
    let bytes = encoder.finish().expect("writing to memory does not fail");
    let mut response = whole(StatusCode::OK, bytes.into());
    let encoding = HeaderValue::from_static(GZIP);
    response.headers_mut().insert(CONTENT_ENCODING, encoding);
    response
}

fn group(instance: &Instance) -> Value {
    value!({
        "targets": [instance.address.to_string()],
        "labels": {
            "instance": instance.name,
            "service": instance.service,
            "role": instance.role,
            "data_centre": instance.data_centre,
            "state": if instance.leaving { "leaving" } else { "live" },
        },
    })
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
