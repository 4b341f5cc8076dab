//! The JSON gateway in front of the state.

use {
    super::{Call, Record, fault::Faults, rate::Bucket, state::State, watch},
    crate::host::{Body, json},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    http_body_util::BodyExt as _,
    hyper::{Request, Response, StatusCode, body::Incoming},
    serde_json::{Value, json as value},
    std::{
        collections::{HashMap, HashSet},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Code by which the gateway says that a call is malformed.
const INVALID_ARGUMENT: i64 = 3;

/// Code by which the gateway says that a lease is unknown.
const NOT_FOUND: i64 = 5;

/// Code by which the gateway says that too many calls come in.
const RESOURCE_EXHAUSTED: i64 = 8;

/// Most operations in one branch of a transaction.
const MAX_TXN_OPERATIONS: usize = 128;

/// State, faults and counters of a store.
#[derive(Default)]
pub(super) struct Gateway {
    state: Mutex<State>,
    faults: Faults,
    counts: Mutex<HashMap<Call, u64>>,
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

    fn count(&self, kind: Call) {
        *lock(&self.counts).entry(kind).or_default() += 1;
    }

    fn is_within_caps(&self, kind: Call) -> bool {
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
        gateway.faults.pass().await;
        if kind == Call::Watch {
            return Some(watch::answer(gateway, &call));
        }
        let answer = perform(&gateway, &path, &call);
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
    let revision = state.revision() + 1;
    let answer = match path {
        "/v3/kv/range" => Ok(range(&state, call)),
        "/v3/kv/put" => put(&mut state, revision, call),
        "/v3/kv/deleterange" => Ok(delete(&mut state, revision, call)),
        "/v3/kv/txn" => check_keys(call, &mut HashSet::new())
            .and_then(|()| transact(&mut state, revision, call)),
        "/v3/lease/grant" => Ok(grant(&mut state, call)),
        "/v3/lease/keepalive" => Ok(keep_alive(&mut state, call)),
        _ => revoke(&mut state, call),
    };
    match answer {
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

struct Refusal {
    status: StatusCode,
    code: i64,
    text: &'static str,
}

const NO_LEASE: Refusal = Refusal {
    status: StatusCode::NOT_FOUND,
    code: NOT_FOUND,
    text: "etcdserver: requested lease not found",
};

const DUPLICATE_KEY: Refusal = Refusal {
    status: StatusCode::BAD_REQUEST,
    code: INVALID_ARGUMENT,
    text: "etcdserver: duplicate key given in txn request",
};

const TOO_MANY_OPERATIONS: Refusal = Refusal {
    status: StatusCode::BAD_REQUEST,
    code: INVALID_ARGUMENT,
    text: "etcdserver: too many operations in txn request",
};

fn range(state: &State, call: &Value) -> Value {
    let (key, end) = (blob(&call["key"]), blob(&call["range_end"]));
    let newer_than = integer(&call["min_mod_revision"]);
    let kvs: Vec<Value> = state
        .range(&key, &end)
        .filter(|(_, record)| record.mod_revision >= newer_than)
        .map(|(key, record)| key_value(key, record))
        .collect();
    value!({"count": kvs.len().to_string(), "kvs": kvs})
}

fn put(state: &mut State, revision: i64, call: &Value) -> Result<Value, Refusal> {
    let lease = integer(&call["lease"]);
    if !state.has_lease(lease) {
        return Err(NO_LEASE);
    }
    state.put_at(revision, &blob(&call["key"]), &blob(&call["value"]), lease);
    Ok(value!({}))
}

fn delete(state: &mut State, revision: i64, call: &Value) -> Value {
    let (key, end) = (blob(&call["key"]), blob(&call["range_end"]));
    value!({"deleted": state.delete_at(revision, &key, &end).to_string()})
}

/// Refuses a transaction that could write one key twice or holds too many operations.
fn check_keys(call: &Value, seen: &mut HashSet<Vec<u8>>) -> Result<(), Refusal> {
    for branch in ["success", "failure"] {
        let mut keys = seen.clone();
        let operations = elements(&call[branch]);
        if operations.len() > MAX_TXN_OPERATIONS {
            return Err(TOO_MANY_OPERATIONS);
        }
        for operation in operations {
            let key = &operation["request_put"]["key"];
            if key.is_string() && !keys.insert(blob(key)) {
                return Err(DUPLICATE_KEY);
            }
            check_keys(&operation["request_txn"], &mut keys)?;
        }
        if branch == "success" {
            seen.extend(keys);
        }
    }
    Ok(())
}

fn transact(state: &mut State, revision: i64, call: &Value) -> Result<Value, Refusal> {
    let succeeded = elements(&call["compare"])
        .iter()
        .all(|compare| holds(state, compare));
    let branch = if succeeded { "success" } else { "failure" };
    let mut responses = Vec::new();
    for operation in elements(&call[branch]) {
        let (name, request) = operation
            .as_object()
            .and_then(|fields| fields.iter().next())
            .ok_or(DUPLICATE_KEY)?;
        responses.push(match name.as_str() {
            "request_put" => value!({"response_put": put(state, revision, request)?}),
            "request_delete_range" => {
                value!({"response_delete_range": delete(state, revision, request)})
            }
            "request_txn" => value!({"response_txn": transact(state, revision, request)?}),
            _ => value!({"response_range": range(state, request)}),
        });
    }
    Ok(value!({"succeeded": succeeded, "responses": responses}))
}

/// Whether a comparison of a key's creation or last write with a revision holds.
fn holds(state: &State, compare: &Value) -> bool {
    let key = blob(&compare["key"]);
    let record = state.record(&key);
    let (present, wanted) = match compare["target"].as_str() {
        Some("CREATE") => (
            record.map_or(0, |record| record.create_revision),
            integer(&compare["create_revision"]),
        ),
        _ => (
            record.map_or(0, |record| record.mod_revision),
            integer(&compare["mod_revision"]),
        ),
    };
    match compare["result"].as_str() {
        Some("GREATER") => present > wanted,
        Some("LESS") => present < wanted,
        Some("NOT_EQUAL") => present != wanted,
        _ => present == wanted,
    }
}

fn grant(state: &mut State, call: &Value) -> Value {
    let ttl = integer(&call["TTL"]).max(1);
    let id = state.grant(Duration::from_secs(ttl.unsigned_abs()), Instant::now());
    value!({"ID": id.to_string(), "TTL": ttl.to_string()})
}

fn keep_alive(state: &mut State, call: &Value) -> Value {
    let id = integer(&call["ID"]);
    let ttl = state.keep_alive(id, Instant::now()).unwrap_or_default();
    value!({"result": {"ID": id.to_string(), "TTL": ttl.as_secs().to_string()}})
}

fn revoke(state: &mut State, call: &Value) -> Result<Value, Refusal> {
    match state.revoke(integer(&call["ID"])) {
        true => Ok(value!({})),
        false => Err(NO_LEASE),
    }
}

fn key_value(key: &[u8], record: &Record) -> Value {
    value!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&record.value),
        "create_revision": record.create_revision.to_string(),
        "mod_revision": record.mod_revision.to_string(),
        "lease": record.lease.to_string(),
    })
}

fn failure(status: StatusCode, code: i64, text: &str) -> Response<Body> {
    json(
        status,
        &value!({"error": text, "message": text, "code": code}),
    )
}

fn elements(array: &Value) -> &[Value] {
    array.as_array().map_or(&[], Vec::as_slice)
}

/// Bytes in base64; absent ones are empty.
pub(super) fn blob(text: &Value) -> Vec<u8> {
    STANDARD
        .decode(text.as_str().unwrap_or_default())
        .unwrap_or_default()
}

/// A 64-bit integer as a string or a number; 0 if absent.
pub(super) fn integer(number: &Value) -> i64 {
    match number {
        Value::String(text) => text.parse().unwrap_or_default(),
        other => other.as_i64().unwrap_or_default(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
