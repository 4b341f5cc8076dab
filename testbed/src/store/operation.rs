//! Operations on the state, in the gateway's JSON.

use {
    super::{Record, state::State},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    hyper::StatusCode,
    serde_json::{Value, json as value},
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
};

/// Code by which the gateway says that a call is malformed.
pub(super) const INVALID_ARGUMENT: i64 = 3;

/// Code by which the gateway says that a lease is unknown.
pub(super) const NOT_FOUND: i64 = 5;

/// Code by which the gateway says that a revision is not to be had.
const OUT_OF_RANGE: i64 = 11;

/// Most operations in one branch of a transaction.
const MAX_TXN_OPERATIONS: usize = 128;

/// Why an operation is refused.
pub(super) struct Refusal {
    pub status: StatusCode,
    pub code: i64,
    pub text: &'static str,
}

const NO_LEASE: Refusal = Refusal {
    status: StatusCode::NOT_FOUND,
    code: NOT_FOUND,
    text: "etcdserver: requested lease not found",
};

const FUTURE_REVISION: Refusal = Refusal {
    status: StatusCode::BAD_REQUEST,
    code: OUT_OF_RANGE,
    text: "etcdserver: mvcc: required revision is a future revision",
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

/// A read of the present, or of one key at a past revision.
fn read(state: &State, call: &Value) -> Result<Value, Refusal> {
    let revision = integer(&call["revision"]);
    if revision == 0 {
        return Ok(range(state, call));
    }
    if revision > state.revision() {
        return Err(FUTURE_REVISION);
    }
    let key = blob(&call["key"]);
    let record = state.record_at(&key, revision);
    let kvs: Vec<Value> = record
        .iter()
        .map(|record| key_value(&key, record))
        .collect();
    Ok(value!({"count": kvs.len().to_string(), "kvs": kvs}))
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

/// Carries out the call of a path and gives its answer without the header.
pub(super) fn perform(state: &mut State, path: &str, call: &Value) -> Result<Value, Refusal> {
    let revision = state.revision() + 1;
    match path {
        "/v3/kv/range" => read(state, call),
        "/v3/kv/put" => put(state, revision, call),
        "/v3/kv/deleterange" => Ok(delete(state, revision, call)),
        "/v3/kv/txn" => {
            check_keys(call, &mut HashSet::new())?;
            transact(state, revision, call)
        }
        "/v3/lease/grant" => Ok(grant(state, call)),
        "/v3/lease/keepalive" => Ok(keep_alive(state, call)),
        _ => revoke(state, call),
    }
}
