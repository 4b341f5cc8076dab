//! The users' platform's way of speaking to the same state, with the same faults.

use {
    super::{
        Call,
        gateway::Gateway,
        operation::integer,
        state::{Record, State},
    },
    crate::host::{Body, json},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    futures_util::{FutureExt as _, stream},
    http_body_util::{BodyExt as _, StreamBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::{HeaderName, HeaderValue},
    },
    percent_encoding::percent_decode_str,
    serde_json::{Value, json as value},
    std::{
        collections::HashMap,
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_blocking, time::timeout},
};

/// Header that tells how many times the store came back from an older copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Whether a path belongs to this way of speaking.
pub(super) fn speaks(path: &str) -> bool {
    path.starts_with("/kv-")
}

/// Answers one call; `None` cuts the connection.
pub(super) async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let mut answer = answer_in_era(Arc::clone(&gateway), request).await?;
    answer
        .headers_mut()
        .insert(STORE_ERA, HeaderValue::from(gateway.era()));
    Some(answer)
}

async fn answer_in_era(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    let query = query(request.uri().query().unwrap_or_default());
    let kind = kind_of(&path);
    gateway.count(kind);
    if let Some(key) = query.get("key").or_else(|| query.get("prefix")) {
        gateway.record_read(key);
    }
    if !gateway.is_within_caps(kind) {
        return Some(json(StatusCode::TOO_MANY_REQUESTS, &value!({})));
    }
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    // A call that has arrived is carried out, also when its caller goes away meanwhile.
    let work = tokio::spawn(async move {
        gateway.faults().pass(kind).await;
        match kind {
            Call::Watch => watch(&gateway, &query).await,
            Call::Read => Some(read(&gateway.state(), &path, &query)),
            Call::Lease => Some(lease(&mut gateway.state(), &path, &body)),
            Call::Write => write(&gateway, &body),
        }
    });
    work.await.ok()?
}

fn kind_of(path: &str) -> Call {
    match path {
        "/kv-watch" => Call::Watch,
        "/kv-key" | "/kv-range" => Call::Read,
        "/kv-txn" => Call::Write,
        _ => Call::Lease,
    }
}

fn query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| {
            let value = percent_decode_str(value).decode_utf8_lossy().into_owned();
            (name.to_owned(), value)
        })
        .collect()
}

fn read(state: &State, path: &str, query: &HashMap<String, String>) -> Response<Body> {
    let at = state.revision();
    let text = |name: &str| query.get(name).map_or("", String::as_str);
    if path == "/kv-key" {
        let key = text("key");
        return match state.record(key.as_bytes()) {
            Some(record) => json(StatusCode::OK, &item(key.as_bytes(), record)),
            None => json(StatusCode::NOT_FOUND, &value!({})),
        };
    }
    let prefix = text("prefix").as_bytes();
    let after = text("since_rev").as_bytes();
    let items: Vec<Value> = state
        .range(prefix, &[0])
        .filter(|(key, _)| key.starts_with(prefix) && key.as_slice() > after)
        .map(|(key, record)| item(key, record))
        .collect();
    json(
        StatusCode::OK,
        &value!({"items": items, "has_more": false, "at": at}),
    )
}

async fn watch(gateway: &Gateway, query: &HashMap<String, String>) -> Option<Response<Body>> {
    let prefix = query.get("prefix")?.as_bytes().to_vec();
    let since: i64 = query.get("since_rev")?.parse().ok()?;
    let wait = Duration::from_millis(query.get("wait_ms")?.parse().ok()?);
    let mut written = gateway.subscribe();
    let mut cuts = gateway.faults().subscribe_cuts();
    let deadline = Instant::now() + wait;
    loop {
        written.borrow_and_update();
        if since > gateway.state().revision() {
            return Some(json(StatusCode::GONE, &value!({})));
        }
        let (events, at) = events(&gateway.state(), &prefix, since);
        let left = deadline.saturating_duration_since(Instant::now());
        let is_silent = gateway.faults().are_watches_silent();
        if (!events.is_empty() && !is_silent) || left.is_zero() {
            let events = if is_silent { Vec::new() } else { events };
            return Some(json(
                StatusCode::OK,
                &value!({"events": events, "at": if is_silent { since } else { at }}),
            ));
        }
        tokio::select! {
            // Its end by time is seen at the next look.
            _ = timeout(left, written.changed()) => {}
            _ = cuts.changed() => return None,
        }
    }
}

fn events(state: &State, prefix: &[u8], since: i64) -> (Vec<Value>, i64) {
    let news = state
        .history()
        .iter()
        .filter(|write| write.revision > since && write.key.starts_with(prefix));
    let events = news.map(|write| {
        let key = String::from_utf8_lossy(&write.key);
        match &write.value {
            Some(bytes) => value!({
                "key": key,
                "value": STANDARD.encode(bytes),
                "revision": write.revision,
            }),
            None => value!({"key": key, "revision": write.revision, "removed": true}),
        }
    });
    (events.collect(), state.revision())
}

fn lease(state: &mut State, path: &str, body: &Value) -> Response<Body> {
    let now = Instant::now();
    if path == "/kv-lease" {
        let ttl = integer(&body["ttl_ms"]).max(1);
        let id = state.grant(Duration::from_millis(ttl.unsigned_abs()), now);
        return json(StatusCode::OK, &value!({"lease": id, "ttl_ms": ttl}));
    }
    let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
    match id.and_then(|id| state.keep_alive(id, now)) {
        Some(ttl) => json(StatusCode::OK, &value!({"ttl_ms": ttl.as_millis() as u64})),
        None => json(StatusCode::NOT_FOUND, &value!({})),
    }
}

fn write(gateway: &Gateway, body: &Value) -> Option<Response<Body>> {
    let answer = transact(&mut gateway.state(), body);
    gateway.faults().count_write();
    gateway.notify();
    (!gateway.faults().take_lost_answer()).then_some(answer)
}

fn transact(state: &mut State, body: &Value) -> Response<Body> {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let expected = rows("expect_rev");
    let holds = expected.iter().all(|row| {
        let key = row["key"].as_str().unwrap_or_default();
        let record = state.record(key.as_bytes());
        record.map_or(0, |record| record.mod_revision) == integer(&row["revision"])
    });
    if !holds {
        let keys = expected.iter().filter_map(|row| row["key"].as_str());
        let found = keys.map(|key| (key.to_owned(), state.record(key.as_bytes()).cloned()));
        return conflict(found.collect());
    }
    let (puts, deletes) = (rows("puts"), rows("deletes"));
    if puts
        .iter()
        .any(|put| !state.has_lease(integer(&put["lease"])))
    {
        return json(StatusCode::NOT_FOUND, &value!({}));
    }
    let revision = state.revision() + 1;
    for put in &puts {
        let key = put["key"].as_str().unwrap_or_default();
        let bytes = STANDARD.decode(put["value"].as_str().unwrap_or_default());
        let bytes = bytes.unwrap_or_default();
        state.put_at(revision, key.as_bytes(), &bytes, integer(&put["lease"]));
    }
    for key in deletes.iter().filter_map(Value::as_str) {
        state.delete_at(revision, key.as_bytes(), &[]);
    }
    json(StatusCode::OK, &value!({"revision": state.revision()}))
}

/// Tells what the present records are where others were expected. The head goes out at once, and the
/// state is not locked meanwhile: a debug build encodes a value of megabytes for a second.
fn conflict(found: Vec<(String, Option<Record>)>) -> Response<Body> {
    let encode = move || {
        let items = found.iter().map(|(key, record)| match record {
            Some(record) => item(key.as_bytes(), record),
            None => value!({"key": key, "revision": 0}),
        });
        value!({"items": items.collect::<Vec<_>>()}).to_string()
    };
    let text = spawn_blocking(encode).map(|text| match text {
        Ok(text) => Ok(Frame::data(text.into())),
        Err(error) => Err(io::Error::other(error)),
    });
    let body = StreamBody::new(stream::once(text)).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::PRECONDITION_FAILED;
    response
}

fn item(key: &[u8], record: &Record) -> Value {
    value!({
        "key": String::from_utf8_lossy(key),
        "value": STANDARD.encode(&record.value),
        "revision": record.mod_revision,
        "created": record.create_revision,
        "lease": record.lease,
    })
}
