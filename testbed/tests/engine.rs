//! The engine stand-in behaves as its model says.

use {
    bytes::Bytes,
    hyper::Request,
    rstest::rstest,
    serde_json::{Value, json},
    std::time::Duration,
    tamarackdale_testbed::{
        engine::{Engine, Fencing, Hardware, Model, Outcome, answer, prompt},
        http::{self, Answer},
    },
};

/// Bound on any one call.
const LIMIT: Duration = Duration::from_secs(10);

/// Quick hardware, so that the tests are short.
fn quick() -> Hardware {
    Hardware::newer().with_speedup(20.0)
}

fn start(hardware: Hardware) -> Engine {
    let model = Model::new(hardware)
        .with_load_lag(Duration::from_millis(50))
        .with_cache_events(Duration::from_millis(20), 3);
    Engine::new(model).expect("starts")
}

fn creation(input: &str, output_tokens: u32, marker: &str) -> Request<Bytes> {
    let body = json!({
        "model": "default",
        "input": input,
        "max_output_tokens": output_tokens,
        "stream": true,
    });
    Request::post("/v1/responses")
        .header("idempotency-key", marker)
        .body(body.to_string().into())
        .expect("a valid request")
}

fn get(path: &str) -> Request<Bytes> {
    Request::get(path)
        .body(Bytes::new())
        .expect("a valid request")
}

fn post(path: &str, body: &Value) -> Request<Bytes> {
    Request::post(path)
        .body(body.to_string().into())
        .expect("a valid request")
}

async fn call(engine: &Engine, request: Request<Bytes>) -> Answer {
    http::call(engine.address(), request, LIMIT)
        .await
        .expect("answered")
}

#[tokio::test]
async fn crossed_requests_get_their_own_whole_answers() {
    let engine = start(quick());
    let inputs: Vec<String> = (0..20).map(|index| format!("query {index}")).collect();
    let calls = inputs
        .iter()
        .enumerate()
        .map(|(index, input)| call(&engine, creation(input, 40 - index as u32, input)));

    let answers = futures_util::future::join_all(calls).await;

    for (index, answer) in answers.iter().enumerate() {
        let expected = answer::text("default", &inputs[index], 40 - index as u32);
        assert_eq!(answer::collect(answer.text()), Ok(expected));
    }
    let runs = engine.runs();
    assert_eq!(runs.len(), 20);
    assert!(runs.iter().all(|run| run.outcome == Outcome::Completed));
    assert!(
        runs.iter()
            .all(|run| run.decoded_tokens == run.output_tokens)
    );
}

#[rstest]
#[case::from_the_start("stream=true", 0)]
#[case::from_the_middle("stream=true&starting_after=5", 6)]
#[case::from_the_last("starting_after=30&stream=true", 31)]
#[tokio::test]
async fn resumed_stream_is_the_rest_of_the_first(#[case] query: &str, #[case] skipped: usize) {
    let engine = start(quick());
    let first = call(&engine, creation("bevel", 30, "a")).await;
    let id = engine.runs()[0].id.clone();

    let resumed = call(&engine, get(&format!("/v1/responses/{id}?{query}"))).await;

    let events: Vec<&str> = first.text().split_inclusive("\n\n").collect();
    assert_eq!(events.len(), 32);
    assert_eq!(resumed.text(), events[skipped..].concat());
}

#[tokio::test]
async fn run_outlives_its_connection_and_a_cancel_ends_it() {
    let engine = start(quick());
    let address = engine.address();
    let mut reply = http::send(address, creation("roof", 100_000, "a"))
        .await
        .expect("answered");
    reply.chunk().await.expect("an event");
    drop(reply);
    let id = engine.runs()[0].id.clone();
    let resumed = http::send(address, get(&format!("/v1/responses/{id}?stream=true")));
    let resumed = resumed.await.expect("still running");

    let cancelled = call(
        &engine,
        post(&format!("/v1/responses/{id}/cancel"), &json!({})),
    )
    .await;
    let rest = resumed.collect().await.expect("a clean end");

    assert_eq!(cancelled.status(), 200);
    assert!(matches!(
        answer::collect(rest.text()),
        Err(answer::Broken::Malformed { line }) if line.contains("response.incomplete")
    ));
    let run = &engine.runs()[0];
    assert_eq!(run.outcome, Outcome::Cancelled);
    assert!(run.decoded_tokens < run.output_tokens);
}

#[tokio::test]
async fn cached_prefix_is_not_computed_again_until_evicted() {
    let blocks = 4;
    let engine = start(quick().with_cache_blocks(blocks));
    let prompt = |word: &str| word.repeat(prompt::BLOCK_BYTES * blocks / word.len()) + "tail";
    let (gouge, plane) = (prompt("gouges: "), prompt("planes: "));

    for input in [&gouge, &gouge, &plane, &gouge] {
        call(&engine, creation(input, 1, "a")).await;
    }

    let cached: Vec<u32> = engine.runs().iter().map(|run| run.cached_tokens).collect();
    let all = prompt::BLOCK_TOKENS * blocks as u32;
    assert_eq!(cached, [0, all, 0, 0]);
    assert!(
        engine
            .runs()
            .iter()
            .all(|run| { run.cached_tokens + run.prefilled_tokens == run.prompt_tokens })
    );
}

#[tokio::test]
async fn cache_events_come_with_gaps() {
    let engine = start(quick());
    let input = "x".repeat(prompt::BLOCK_BYTES * 5);
    call(&engine, creation(&input, 1, "a")).await;
    let request = get("/v1/cache/events");
    let mut reply = http::send(engine.address(), request)
        .await
        .expect("answered");

    let mut text = String::new();
    while text.matches("\n\n").count() < 4 {
        let chunk = reply
            .chunk()
            .await
            .expect("an endless stream")
            .expect("no end");
        text += std::str::from_utf8(&chunk).expect("text");
    }

    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<Value> = events
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let numbers: Vec<_> = events
        .iter()
        .map(|event| event["sequence_number"].as_u64())
        .collect();
    assert_eq!(numbers, [Some(0), Some(1), Some(3), Some(4)]);
    let longest = prompt::prefixes(&input)[4];
    assert_eq!(events[0]["prefix"].as_u64(), Some(longest));
}

#[tokio::test]
async fn tokens_come_slower_in_a_larger_batch_and_when_slowed() {
    let hardware = quick();
    let lone = hardware.step_time(1, 0);
    let full = hardware.step_time(hardware.max_batch, 0);
    let engine = start(hardware);
    engine.set_slow_factor(10.0);
    let start = std::time::Instant::now();

    call(&engine, creation("slow", 20, "a")).await;

    assert!(full > lone * 2);
    assert!(start.elapsed() >= lone * 10 * 20);
}

#[tokio::test]
async fn load_report_lags() {
    let engine = start(quick());
    let address = engine.address();
    let early = call(&engine, get("/v1/load")).await.json();
    let reply = http::send(address, creation("load", 100_000, "a"))
        .await
        .expect("answered");

    let mut late = early.clone();
    let deadline = tokio::time::Instant::now() + LIMIT;
    while late["running"] == 0 && tokio::time::Instant::now() < deadline {
        late = call(&engine, get("/v1/load")).await.json();
    }

    assert_eq!(early["running"], 0);
    assert_eq!(late["running"], 1);
    drop(reply);
}

#[rstest]
#[case::obeyed(Fencing::Obeyed, 409, "hardened")]
#[case::ignored(Fencing::Ignored, 200, "older")]
#[tokio::test]
async fn old_fencing_number(#[case] fencing: Fencing, #[case] status: u16, #[case] loaded: &str) {
    let model = Model::new(quick()).with_models(&[]).with_fencing(fencing);
    let engine = Engine::new(model).expect("starts");
    let order = |name: &str, fence: u64| json!({ "model": name, "fence": fence });
    call(&engine, post("/v1/models/load", &order("hardened", 7))).await;

    let second = call(&engine, post("/v1/models/load", &order("older", 6))).await;

    assert_eq!(second.status(), status);
    assert_eq!(engine.orders()[1].accepted, status == 200);
    let models = call(&engine, get("/v1/models")).await.json();
    let is_loaded = |model: &Value| model["id"] == loaded;
    assert!(
        models["data"]
            .as_array()
            .is_some_and(|models| models.iter().any(is_loaded))
    );
}

#[tokio::test]
async fn request_for_a_model_that_is_not_loaded_does_not_run() {
    let engine = Engine::new(Model::new(quick()).with_models(&["other"])).expect("starts");

    let answer = call(&engine, creation("anything", 1, "a")).await;

    assert_eq!(answer.status(), 404);
    assert!(engine.runs().is_empty());
}
