//! Requests to a router that has not received its documents yet.

use {
    bytes::Bytes,
    hyper::Request,
    std::time::Duration,
    tamarackdale_testbed::{http, list::List, process::Process, store::Store},
};

const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn request_before_the_document_arrives_is_refused_with_retry_after() {
    let store = Store::start().expect("the store starts");
    let list = List::start().expect("the list starts");
    let arguments = [
        "router",
        "--instance=router-0",
        "--data-centre=vejle-a",
        "--services=ordre-app",
        "--listen=127.0.0.1:0",
        "--peer-listen=127.0.0.1:0",
        "--admin-listen=127.0.0.1:0",
        &format!("--store={}", store.url()),
        &format!("--instance-list={}", list.url()),
    ]
    .map(str::to_owned);
    let router = Process::new("router-0", "tamarackdaled", &arguments).expect("the router starts");
    let callers = router
        .wait_for_listener("callers", TIMEOUT)
        .expect("the router listens");

    let request = Request::get("/ordre-app/orders/1")
        .header("authorization", "Bearer joiner-example-key")
        .body(Bytes::new())
        .expect("a valid request");
    let response = http::call(callers, request, TIMEOUT)
        .await
        .expect("the router responds");

    assert_eq!(response.status(), 503);
    assert_eq!(response.header("tamarackdale-verdict"), "not-run");
    assert_eq!(response.header("tamarackdale-reason"), "not-ready");
    assert_eq!(response.header("retry-after"), "1");
}
