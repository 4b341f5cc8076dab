//! The JSON gateway in front of the state.

use {
    super::{
        Call,
        fault::Faults,
        operation::{self, INVALID_ARGUMENT, NOT_FOUND, Refusal},
        platform,
        rate::Bucket,
        state::State,
        watch,
    },
    crate::host::{Body, json},
    http_body_util::BodyExt as _,
    hyper::{Request, Response, StatusCode, body::Incoming},
    serde_json::{Value, json as value},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Instant,
    },
};

/// Code by which the gateway says that too many calls come in.
const RESOURCE_EXHAUSTED: i64 = 8;

/// State, faults and counters of a store.
#[derive(Default)]
pub(super) struct Gateway {
    state: Mutex<State>,
    /// Number of times that the state was replaced by an older copy.
    era: AtomicU64,
    faults: Faults,
    counts: Mutex<HashMap<Call, u64>>,
    /// Keys and prefixes that were read or watched through the platform's calls.
    reads: Mutex<Vec<String>>,
    caps: Mutex<Option<(Bucket, Bucket)>>,
    written: tokio::sync::watch::Sender<()>,
    open_watches: AtomicUsize,
}

impl Gateway {
    pub fn state(&self) -> MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        state.expire(Instant::now());
        state
    }

    /// The present era of the store.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::SeqCst)
    }

    /// Replaces the state by an older copy and begins a new era.
    pub fn restore(&self, copy: State) {
        let mut state = lock(&self.state);
        *state = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(state);
        self.notify();
    }

    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    pub fn calls(&self, kind: Call) -> u64 {
        lock(&self.counts).get(&kind).copied().unwrap_or_default()
    }

    pub fn open_watches(&self) -> usize {
        self.open_watches.load(Ordering::SeqCst)
    }

    pub fn open_watch_count(&self) -> &AtomicUsize {
        &self.open_watches
    }

    pub fn set_caps(&self, reads_per_second: u32, writes_per_second: u32) {
        *lock(&self.caps) = Some((
            Bucket::new(reads_per_second),
            Bucket::new(writes_per_second),
        ));
    }

    /// Wakes the watches.
    pub fn notify(&self) {
        self.written.send_replace(());
    }

    /// Tells when something may have been written.
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<()> {
        self.written.subscribe()
    }

    pub fn count(&self, kind: Call) {
        *lock(&self.counts).entry(kind).or_default() += 1;
    }

    pub fn record_read(&self, key: &str) {
        lock(&self.reads).push(key.to_owned());
    }

    pub fn reads_of(&self, prefix: &str) -> Vec<String> {
        let reads = lock(&self.reads);
        let reads = reads.iter().filter(|key| key.starts_with(prefix));
        reads.cloned().collect()
    }

    pub fn is_within_caps(&self, kind: Call) -> bool {
        match (&mut *lock(&self.caps), kind) {
            (None, _) => true,
            (Some((_, writes)), Call::Write) => writes.take(Instant::now()),
            (Some((reads, _)), _) => reads.take(Instant::now()),
        }
    }
}

/// Answers one request of the gateway; `None` cuts the connection.
pub(super) async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    if platform::speaks(&path) {
        return platform::answer(gateway, request).await;
    }
    let Some(kind) = kind_of(&path) else {
        return Some(failure(StatusCode::NOT_FOUND, NOT_FOUND, "no such path"));
    };
    gateway.count(kind);
    if !gateway.is_within_caps(kind) {
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Some(failure(status, RESOURCE_EXHAUSTED, "too many requests"));
    }
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return Some(failure(
            StatusCode::BAD_REQUEST,
            INVALID_ARGUMENT,
            "not JSON",
        ));
    };
    // A call that has arrived is carried out, also when its caller goes away meanwhile.
    let work = tokio::spawn(async move {
        gateway.faults.pass(kind).await;
        if kind == Call::Watch {
            return Some(watch::answer(gateway, &call));
        }
        let answer = perform(&gateway, &path, &call);
        if kind == Call::Write {
            gateway.faults.count_write();
        }
        gateway.notify();
        let is_lost = kind == Call::Write && gateway.faults.take_lost_answer();
        (!is_lost).then_some(answer)
    });
    work.await.ok()?
}

fn kind_of(path: &str) -> Option<Call> {
    match path {
        "/v3/kv/range" => Some(Call::Read),
        "/v3/kv/put" | "/v3/kv/deleterange" | "/v3/kv/txn" => Some(Call::Write),
        "/v3/lease/grant" | "/v3/lease/keepalive" | "/v3/lease/revoke" => Some(Call::Lease),
        "/v3/watch" => Some(Call::Watch),
        _ => None,
    }
}

fn perform(gateway: &Gateway, path: &str, call: &Value) -> Response<Body> {
    let mut state = gateway.state();
    match operation::perform(&mut state, path, call) {
        Ok(mut answer) => {
            answer["header"] = header(state.revision());
            json(StatusCode::OK, &answer)
        }
        Err(Refusal { status, code, text }) => failure(status, code, text),
    }
}

/// The header of an answer.
pub(super) fn header(revision: i64) -> Value {
    value!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string()})
}

fn failure(status: StatusCode, code: i64, text: &str) -> Response<Body> {
    json(
        status,
        &value!({"error": text, "message": text, "code": code}),
    )
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
