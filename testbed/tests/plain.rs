//! The plain service stand-in records each call and answers it, and no other.

use {
    bytes::Bytes,
    hyper::Request,
    std::time::{Duration, Instant},
    tamarackdale_testbed::{
        http,
        plain::{self, Plain},
    },
};

/// Bound on any one call.
const LIMIT: Duration = Duration::from_secs(10);

fn booking(key: &str) -> Request<Bytes> {
    Request::post("/pickups?padding=100")
        .header("idempotency-key", key)
        .body(Bytes::from_static(b"{\"postcode\":\"7100\"}"))
        .expect("a valid request")
}

#[tokio::test]
async fn calls_are_recorded_and_answered_after_the_latency() {
    let service = Plain::new("ordre-app").expect("starts");
    let latency = Duration::from_millis(30);
    service.set_latency(latency);
    let start = Instant::now();

    let answer = http::call(service.address(), booking("a"), LIMIT)
        .await
        .expect("answered");

    let took = start.elapsed();
    let calls = service.calls();
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].marker.as_deref(), Some("a"));
    let mut expected = plain::answer("ordre-app", &calls[0]);
    expected["padding"] = "x".repeat(100).into();
    assert_eq!(answer.json(), expected);
    assert!(took >= latency);
}
