//! The engine's HTTP interface.

use {
    super::{
        Resumption, State, answer as text,
        batch::Submission,
        cache::Change,
        prompt,
        run::{Progress, View},
    },
    crate::{
        host::{Body, json as answer},
        sse,
    },
    bytes::Bytes,
    futures_util::{Stream, stream},
    http_body_util::BodyExt as _,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Tokens generated when the request does not say how many.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;

/// How often a subscriber of cache events is served.
const CACHE_EVENT_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Deserialize)]
struct Creation {
    model: String,
    input: String,
    max_output_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    metadata: Value,
}

#[derive(Deserialize)]
struct Order {
    model: String,
    #[serde(default)]
    fence: u64,
}

/// Answers one request.
pub(crate) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "responses"]) => create(state, request).await,
        (&Method::GET, ["v1", "responses", id]) => resume(&state, id, request.uri().query()).await,
        (&Method::POST, ["v1", "responses", id, "cancel"]) => cancel(&state, id),
        (&Method::GET, ["v1", "load"]) => answer(StatusCode::OK, &state.reported_load()),
        (&Method::GET, ["v1", "cache", "events"]) => sse::answer(cache_events(state)),
        (&Method::GET, ["v1", "models"]) => models(&state),
        (&Method::POST, ["v1", "models", action @ ("load" | "unload")]) => {
            let load = *action == "load";
            order(&state, load, request).await
        }
        (&Method::GET, ["health"]) => answer(StatusCode::OK, &json!({ "status": "ok" })),
        _ => failure(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn create(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let header = request.headers().get("idempotency-key");
    let header = header.and_then(|key| key.to_str().ok()).map(str::to_owned);
    let creation: Creation = match read(request).await {
        Ok(creation) => creation,
        Err(response) => return response,
    };
    if !state.registry().serves(&creation.model) {
        return failure(StatusCode::NOT_FOUND, "model not loaded");
    }
    let stream = creation.stream;
    let (view, progress) = submit(&state, creation, header);
    respond(view, progress, 0, stream).await
}

fn submit(
    state: &State,
    creation: Creation,
    header: Option<String>,
) -> (View, watch::Receiver<Progress>) {
    let output_tokens = creation.max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let marker = creation.metadata["request"].as_str().map(str::to_owned);
    let submission = Submission {
        marker: marker.or(header),
        prompt_tokens: prompt::tokens(&creation.input),
        prefixes: prompt::prefixes(&creation.input),
        output_tokens,
        seed: text::seed(&creation.model, &creation.input, output_tokens),
        model: creation.model,
    };
    let mut batch = state.batch();
    let run = batch.submit(submission);
    let mut view = run.view();
    view.is_named = state.model.resumption != Resumption::Unnamed;
    let found = (view, run.progress.subscribe());
    drop(batch);
    state.arrived.notify_one();
    found
}

async fn resume(state: &State, id: &str, query: Option<&str>) -> Response<Body> {
    if state.model.resumption != Resumption::Offered {
        return failure(StatusCode::NOT_FOUND, "no such response");
    }
    let found = state
        .batch()
        .find(id)
        .map(|run| (run.view(), run.progress.subscribe()));
    let Some((view, progress)) = found else {
        return failure(StatusCode::NOT_FOUND, "no such response");
    };
    let query = query.unwrap_or_default();
    let stream = query.split('&').any(|pair| pair == "stream=true");
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("starting_after="))
        .and_then(|number| number.parse::<u64>().ok());
    respond(view, progress, after.map_or(0, |number| number + 1), stream).await
}

fn cancel(state: &State, id: &str) -> Response<Body> {
    if !state.batch().cancel(id) {
        return failure(StatusCode::NOT_FOUND, "no such response");
    }
    answer(StatusCode::OK, &json!({ "id": id, "status": "cancelled" }))
}

async fn respond(
    view: View,
    mut progress: watch::Receiver<Progress>,
    sequence: u64,
    stream: bool,
) -> Response<Body> {
    if stream {
        return sse::answer(run_events(view, progress, sequence));
    }
    let is_over = |progress: &Progress| progress.outcome.is_over();
    match progress.wait_for(is_over).await.map(|progress| *progress) {
        Ok(Progress {
            outcome: super::Outcome::Completed,
            ..
        }) => {
            let mut response = view.response("completed");
            response["output_text"] = view.text().into();
            answer(StatusCode::OK, &response)
        }
        _ => answer(StatusCode::OK, &view.response("cancelled")),
    }
}

/// Events of a run from `sequence` on, until it is over.
fn run_events(
    view: View,
    progress: watch::Receiver<Progress>,
    sequence: u64,
) -> impl Stream<Item = Bytes> + Send {
    stream::unfold(
        (view, progress, sequence),
        |(view, mut progress, sequence)| async move {
            loop {
                let seen = *progress.borrow_and_update();
                if let Some((name, data)) = view.event(sequence, seen) {
                    let event = sse::event(name, &data);
                    return Some((event, (view, progress, sequence + 1)));
                }
                if seen.outcome.is_over() {
                    return None;
                }
                progress.changed().await.ok()?;
            }
        },
    )
}

/// Cache events, late and with gaps.
fn cache_events(state: Arc<State>) -> impl Stream<Item = Bytes> + Send {
    stream::unfold((state, 0_u64), |(state, mut number)| async move {
        loop {
            let change = state.batch().cache.change(number);
            let gap = state.model.cache_event_gap;
            let is_gap = gap > 0 && number % gap == gap - 1;
            match change {
                Some(None) => number += 1,
                Some(Some((at, change))) if at.elapsed() >= state.model.cache_event_lag => {
                    number += 1;
                    if !is_gap {
                        let event = cache_event(number - 1, change);
                        return Some((event, (state, number)));
                    }
                }
                _ => tokio::time::sleep(CACHE_EVENT_INTERVAL).await,
            }
        }
    })
}

fn cache_event(number: u64, change: Change) -> Bytes {
    let (name, prefix) = match change {
        Change::Stored(prefix) => ("cache.stored", prefix),
        Change::Evicted(prefix) => ("cache.evicted", prefix),
    };
    let data = json!({ "type": name, "sequence_number": number, "prefix": prefix });
    sse::event(name, &data)
}

fn models(state: &State) -> Response<Body> {
    let data: Vec<Value> = state
        .registry()
        .models()
        .into_iter()
        .map(|id| json!({ "id": id, "object": "model" }))
        .collect();
    answer(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

async fn order(state: &State, load: bool, request: Request<Incoming>) -> Response<Body> {
    let order: Order = match read(request).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    if !state.registry().receive(&order.model, load, order.fence) {
        return failure(StatusCode::CONFLICT, "the fencing number is old");
    }
    tokio::time::sleep(state.model.load_time).await;
    state.registry().carry_out(&order.model, load);
    answer(
        StatusCode::OK,
        &json!({ "model": order.model, "loaded": load }),
    )
}

async fn read<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Body>> {
    let body = request.into_body().collect().await;
    let bytes = body
        .map_err(|_| failure(StatusCode::BAD_REQUEST, "the body is cut"))?
        .to_bytes();
    serde_json::from_slice(&bytes)
        .map_err(|error| failure(StatusCode::BAD_REQUEST, &error.to_string()))
}

fn failure(status: StatusCode, message: &str) -> Response<Body> {
    answer(status, &json!({ "error": { "message": message } }))
}
