//! Bad input gets a clear status, names the field, and is not run.

use {
    bytes::Bytes,
    hyper::{Request, http::request::Builder},
    rstest::rstest,
    std::{
        io::{Read as _, Write as _},
        net::{Shutdown, SocketAddr, TcpStream},
        time::Duration,
    },
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        http,
        store::Outage,
    },
};

/// Bound on any one call.
const LIMIT: Duration = Duration::from_secs(10);

/// Largest body that the router under test takes.
const MAX_BODY_BYTES: usize = 10_000;

async fn start() -> Deployment {
    let limit = MAX_BODY_BYTES.to_string();
    let layout = Layout::new(vec![Service::ordre_app(1)])
        .with_routers(1)
        .with_router_flags(&["--max-body-bytes", &limit]);
    Deployment::start(&layout).await.expect("starts")
}

fn pickup(path: &str, api_key: &str) -> Builder {
    Request::post(path)
        .header("authorization", format!("Bearer {api_key}"))
        .header("idempotency-key", "a-key")
}

fn good() -> Builder {
    pickup("/ordre-app/pickups", "joiner-example-key")
}

#[rstest]
#[case::no_key(Request::post("/ordre-app/pickups"), "{}", 401, "authorization")]
#[case::wrong_key(pickup("/ordre-app/pickups", "wrong"), "{}", 401, "authorization")]
#[case::unknown_service(pickup("/no-such/pickups", "joiner-example-key"), "{}", 404, "path")]
#[case::no_service(pickup("/", "joiner-example-key"), "{}", 404, "path")]
#[case::unknown_tier(good().header("tamarackdale-tier", "soon"), "{}", 400, "tamarackdale-tier")]
#[case::tier_not_allowed(
    pickup("/ordre-app/pickups", "workshop-example-key").header("tamarackdale-tier", "order"),
    "{}", 403, "tamarackdale-tier"
)]
#[case::zero_deadline(good().header("tamarackdale-deadline-ms", "0"), "{}", 400, "tamarackdale-deadline-ms")]
#[case::negative_deadline(good().header("tamarackdale-deadline-ms", "-5"), "{}", 400, "tamarackdale-deadline-ms")]
#[case::absurd_deadline(
    good().header("tamarackdale-deadline-ms", "99999999999999999999999"),
    "{}", 400, "tamarackdale-deadline-ms"
)]
#[case::empty_idempotency_key(
    Request::post("/ordre-app/pickups")
        .header("authorization", "Bearer joiner-example-key")
        .header("idempotency-key", ""),
    "{}", 400, "idempotency-key"
)]
#[case::oversized_body(good(), &"x".repeat(MAX_BODY_BYTES + 1), 413, "body")]
#[tokio::test]
async fn bad_request_is_refused(
    #[case] request: Builder,
    #[case] body: &str,
    #[case] status: u16,
    #[case] field: &str,
) {
    let deployment = start().await;
    let request = request
        .body(Bytes::from(body.to_owned()))
        .expect("valid in HTTP");

    let answer = http::call(deployment.routers[0].callers, request, LIMIT)
        .await
        .expect("answered");

    assert_eq!(answer.status(), status, "{}", answer.text());
    assert_eq!(answer.json()["field"], field, "{}", answer.text());
    assert_eq!(answer.header("tamarackdale-verdict"), "not-run");
    assert!(deployment.sidecars[0].plain().calls().is_empty());
}

/// Sends raw bytes, ends its side of the connection and reads what comes back.
fn exchange(router: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(router).expect("the router listens");
    stream.set_read_timeout(Some(LIMIT)).expect("a valid limit");
    stream.write_all(bytes).expect("sent");
    stream.shutdown(Shutdown::Write).expect("open");
    let mut answer = String::new();
    // The router may also reset the connection.
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[rstest]
#[case::cut_body(
    "POST /ordre-app/pickups HTTP/1.1\r\nhost: a\r\nauthorization: Bearer joiner-example-key\r\ncontent-length: 100\r\n\r\n{\"item\":"
)]
#[case::cut_head("POST /ordre-app/pickups HTTP/1.1\r\nhost: a\r\nauthor")]
#[case::not_http("\u{1}\u{2}\u{3} nonsense\r\n\r\n")]
#[tokio::test]
async fn broken_request_is_not_run(#[case] bytes: &str) {
    let deployment = start().await;

    let answer = exchange(deployment.routers[0].callers, bytes.as_bytes());

    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    assert!(deployment.sidecars[0].plain().calls().is_empty());
}

#[tokio::test]
async fn oversized_head_is_refused() {
    let deployment = start().await;
    let request = good().header("x-padding", "x".repeat(1_000_000));
    let request = request.body(Bytes::new()).expect("valid in HTTP");

    let answer = http::call(deployment.routers[0].callers, request, LIMIT).await;

    let refused = answer.map_or(true, |answer| answer.status() == 431);
    assert!(refused);
    assert!(deployment.sidecars[0].plain().calls().is_empty());
}

#[tokio::test]
async fn router_without_documents_does_not_blame_the_request() {
    let layout = Layout::new(vec![Service::ordre_app(1)]).with_proxies();
    let mut deployment = Deployment::start(&layout).await.expect("starts");
    deployment.routers[0].kill().expect("running");
    deployment.store.stop(Outage::Refuse);
    deployment.routers[0]
        .restart(&deployment.list)
        .expect("starts");
    let request = good()
        .body(Bytes::from_static(b"{}"))
        .expect("valid in HTTP");

    let answer = http::call(deployment.routers[0].callers, request, LIMIT)
        .await
        .expect("answered");

    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert_eq!(answer.header("tamarackdale-verdict"), "not-run");
}
