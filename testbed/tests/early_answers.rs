//! Servers that answer before they have read the body of the request, against gateways as real processes.

use {
    bytes::Bytes,
    rstest::rstest,
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
    tamarackdale_testbed::{
        http,
        platform::{Behaviour, Configuration, Early, Gateway, Server, Site, request},
    },
};

/// Size of a body, in bytes: more than the buffers of a connection hold.
const BODY_BYTES: usize = 12 * 1024 * 1024;

/// Requests of a test, one after another.
const REQUESTS: usize = 20;

/// Longest time for an answer.
const LIMIT: Duration = Duration::from_secs(10);

struct Bench {
    server: Server,
    _site: Site,
    gateway: Gateway,
}

/// A gateway that is ready, and a server that answers early.
async fn start(early: Early) -> Bench {
    let configuration = Configuration::default()
        .with("/limits/max_body_bytes", json!(BODY_BYTES))
        .with("/limits/header_timeout_ms", json!(10_000));
    let site = Site::new(&configuration).expect("starts");
    let server = Server::new("plain-0", "plain").expect("starts");
    server.set_behaviour(Behaviour::AnswersEarly(early));
    site.register(&server);
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        server,
        _site: site,
        gateway,
    }
}

/// Statuses of the answers to requests with a long body that may run once at most, and their number.
async fn call(gateway: &Gateway) -> BTreeMap<u16, usize> {
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let mut statuses = BTreeMap::new();
    for number in 0..REQUESTS {
        let message = request("/booking/1", &format!("e-{number}")).map(|_| body.clone());
        let answer = http::call(gateway.callers(), message, LIMIT).await;
        let status = answer.map_or(0, |answer| answer.status());
        *statuses.entry(status).or_default() += 1;
    }
    statuses
}

/// Guards against an answer that is lost because its server has not read the whole request: it reads on
/// later, or closes the connection.
#[rstest]
#[case::reads_on(false)]
#[case::closes(true)]
#[tokio::test]
async fn early_answer_reaches_the_caller(#[case] closes: bool) {
    let bench = start(Early {
        is_refusal: false,
        closes,
    })
    .await;

    let statuses = call(&bench.gateway).await;

    assert_eq!(statuses, BTreeMap::from([(200, REQUESTS)]));
}

/// Guards against a refusal that is lost because its server has not read the whole request: the request
/// counts as one that may have run.
#[rstest]
#[case::reads_on(false)]
#[case::closes(true)]
#[tokio::test]
async fn early_refusal_is_no_failure(#[case] closes: bool) {
    let bench = start(Early {
        is_refusal: true,
        closes,
    })
    .await;

    let statuses = call(&bench.gateway).await;

    assert!(bench.server.early_answers() > 0, "no request was refused");
    assert_eq!(statuses, BTreeMap::from([(503, REQUESTS)]));
}
