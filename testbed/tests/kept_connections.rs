//! Callers' kept connections within the limits of the configuration, against a gateway as a real
//! process.

use {
    rstest::rstest,
    serde_json::json,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tamarackdale_testbed::{
        http,
        platform::{Configuration, Gateway, Server, Site, request},
        store::Outage,
        strict::{self, Framing},
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        task::JoinSet,
        time::sleep,
    },
};

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Time within which a configuration is in force: the convergence of the site's settings, and a half.
const IN_FORCE: Duration = Duration::from_millis(1_500);

/// Idle timeout of the first configuration; the timeout for a head is three seconds.
const IDLE_TIMEOUT_MS: u64 = 2_000;

/// Time for which callers leave connections idle under [`IDLE_TIMEOUT_MS`]: four fifths of it.
const LONGEST_IDLE: Duration = Duration::from_millis(1_600);

struct Bench {
    site: Site,
    gateway: Gateway,
    server: Server,
}

fn configuration() -> Configuration {
    Configuration::default().with("/limits/idle_timeout_ms", json!(IDLE_TIMEOUT_MS))
}

/// A site with a plain server and a gateway that is ready.
async fn start() -> Bench {
    let site = Site::new(&configuration()).expect("starts");
    let server = Server::new("plain-0", "plain").expect("starts");
    site.register(&server);
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        site,
        gateway,
        server,
    }
}

async fn call(connection: &mut http::Connection, id: &str) -> Result<u16, http::Fault> {
    let answer = connection.call(request("/status/1", id), CALL_LIMIT).await;
    answer.map(|answer| answer.status())
}

/// Guards against a connection that is closed at the idle timeout of a configuration that is not in force
/// any more, under the request of a caller who keeps to the new one.
#[tokio::test]
async fn kept_connection_stays_open_for_a_raised_idle_timeout() {
    /// Less than four fifths of the new timeout.
    const IDLE: Duration = Duration::from_secs(4);
    let bench = start().await;
    let opened = http::Connection::open(bench.gateway.callers()).await;
    let mut connection = opened.expect("accepted");
    assert_eq!(call(&mut connection, "k-1").await.ok(), Some(200));

    let raised = configuration().with("/limits/idle_timeout_ms", json!(10_000));
    bench.site.configure(&raised);
    sleep(IN_FORCE).await;
    assert_eq!(call(&mut connection, "k-2").await.ok(), Some(200));
    sleep(IDLE).await;
    let last = call(&mut connection, "k-3").await;

    assert_eq!(last.expect("answered"), 200);
}

/// Guards against a connection that is closed at the last of several idle timeouts, while its caller may
/// still rely on a longer one: for the convergence of the site's settings, a second.
#[rstest]
#[case::raised_and_lowered(&[10_000, IDLE_TIMEOUT_MS], Duration::from_millis(2_150))]
#[case::lowered(&[50], Duration::from_millis(850))]
#[tokio::test]
async fn kept_connection_stays_open_for_the_longest_recent_idle_timeout(
    #[case] timeouts_ms: &[u64],
    #[case] idle: Duration,
) {
    /// More than the shortest of the timeouts.
    const LEAST_IDLE: Duration = Duration::from_millis(100);
    let bench = start().await;
    let opened = http::Connection::open(bench.gateway.callers()).await;
    let mut connection = opened.expect("accepted");
    let mut next = configuration();

    let first = call(&mut connection, "k-1").await;
    let end = tokio::time::Instant::now() + idle;
    for timeout_ms in timeouts_ms {
        next = next.with("/limits/idle_timeout_ms", json!(timeout_ms));
        bench.site.configure(&next);
        wait_applied(&bench, &next).await;
    }
    let second = match timeouts_ms {
        [_] => call(&mut connection, "k-2").await,
        _ => Ok(200),
    };
    tokio::time::sleep_until(end.max(tokio::time::Instant::now() + LEAST_IDLE)).await;
    let last = call(&mut connection, "k-3").await;

    assert_eq!(first.expect("answered"), 200);
    assert_eq!(second.expect("answered"), 200);
    assert_eq!(last.expect("answered"), 200);
}

/// Waits until the gateway has applied a version of the configuration.
async fn wait_applied(bench: &Bench, configuration: &Configuration) {
    let version = &configuration.value["version"];
    let is_applied = || {
        let logs = bench.gateway.process.logs();
        let mut applied = logs.iter();
        applied
            .any(|line| line["message"] == "configuration applied" && &line["version"] == version)
    };
    while !is_applied() {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a connection that is closed under a request whose caller kept to the idle timeout and
/// to the timeout for heads, because the time before the head counts as part of it.
#[rstest]
#[case::head_in_pieces("POST /status/1 HTTP/1.1\r\nHost: site.", "example\r\n")]
#[case::body_in_pieces("POST /status/1 HTTP/1.1\r\nHost: site.example\r\n", "")]
#[tokio::test]
async fn request_that_begins_late_and_comes_slowly_is_answered(
    #[case] first: &str,
    #[case] second: &str,
) {
    /// Less than the timeout for a head, and past the idle timeout.
    const PAUSE: Duration = Duration::from_secs(1);
    let headers = "Attempt-Id: s-1\r\nTime-Budget: 3000\r\nAuthorization: Bearer key\r\n\
                   Content-Length: 4\r\nConnection: close\r\n\r\n";
    let (first, second) = match second.is_empty() {
        true => (format!("{first}{headers}bo"), "dy".to_owned()),
        false => (first.to_owned(), format!("{second}{headers}body")),
    };
    let bench = start().await;
    let mut stream = TcpStream::connect(bench.gateway.callers())
        .await
        .expect("accepted");

    sleep(LONGEST_IDLE).await;
    stream.write_all(first.as_bytes()).await.expect("sent");
    sleep(PAUSE).await;
    stream.write_all(second.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("answered");

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a request that is passed on and not answered because it came just as its connection had
/// been idle for too long.
#[tokio::test]
async fn request_at_the_moment_of_the_idle_timeout_is_answered_or_not_run() {
    const CONNECTIONS: u32 = 80;
    const STEP: Duration = Duration::from_micros(250);
    let bench = start().await;
    let mut calls = JoinSet::new();
    for number in 0..CONNECTIONS {
        let opened = http::Connection::open(bench.gateway.callers()).await;
        let mut connection = opened.expect("accepted");
        let first = call(&mut connection, &format!("first-{number}")).await;
        assert_eq!(first.ok(), Some(200));
        calls.spawn(async move {
            let idle = Duration::from_millis(IDLE_TIMEOUT_MS) - STEP * (CONNECTIONS / 2);
            sleep(idle + STEP * number).await;
            let id = format!("last-{number}");
            let answer = call(&mut connection, &id).await;
            (id, answer.ok())
        });
    }
    let answers = calls.join_all().await;

    let runs = bench.server.runs();
    let has_run = |id: &str| runs.iter().any(|run| run.id == id);
    for (id, answer) in answers {
        assert!(answer.is_some() || !has_run(&id), "{id} ran");
    }
}

/// A version of the configuration in which something else has changed from number to number.
fn changed(number: u64) -> Configuration {
    let mut next = configuration();
    let value = &mut next.value;
    value["version"] = json!(10 + number);
    match number % 12 {
        0 => value["routes"][2]["service"] = json!("engine"),
        1 => value["routes"] = json!([value["routes"][1], value["routes"][3]]),
        2 => {
            let backends =
                json!([{"service": "engine", "weight": 1}, {"service": "plain", "weight": 1}]);
            value["routes"][3]["service"] = json!(null);
            value["routes"][3]["backends"] = backends;
        }
        3 => value["services"][0]["engine"] = json!(null),
        4 => value["services"][0]["engine"]["slots"] = json!(1),
        5 => value["services"][1]["max_conns"] = json!(1),
        6 => value["services"] = json!([value["services"][1]]),
        7 => value["tenants"][0]["name"] = json!("p"),
        8 => value["tenants"][0]["api_keys"] = json!(["another"]),
        9 => value["tenants"][0]["rate_per_s"] = json!(10),
        10 => value["routes"][1]["attempts"] = json!(1),
        _ => {}
    }
    next
}

/// Guards against requests on kept connections that get neither an answer nor a refusal because the
/// configuration changes.
#[tokio::test]
async fn requests_on_kept_connections_are_answered_beside_many_changes() {
    const CALLERS: usize = 24;
    const CHANGES: u64 = 24;
    const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
    let bench = start().await;
    let engine = Server::new("engine-0", "engine").expect("starts");
    bench.site.register(&engine);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let path = ["/status/1", "/booking/1", "/resumable/1", "/stream/1"][caller % 4];
        let address = bench.gateway.callers();
        let is_over = Arc::clone(&is_over);
        callers.spawn(async move {
            let mut statuses = Vec::new();
            let opened = http::Connection::open(address).await;
            let mut connection = opened.expect("accepted");
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("c-{caller}-{}", statuses.len());
                let answer = connection.call(request(path, &id), CALL_LIMIT).await;
                statuses.push(answer.map(|answer| answer.status()));
                if statuses.last().is_some_and(Result::is_err) {
                    break;
                }
                sleep(Duration::from_millis(20)).await;
            }
            statuses
                .into_iter()
                .map(|status| status.map_err(|fault| fault.to_string()))
                .collect::<Vec<_>>()
        });
    }

    for number in 0..CHANGES {
        bench.site.configure(&changed(number));
        sleep(CHANGE_INTERVAL).await;
    }
    is_over.store(true, Ordering::SeqCst);
    let answers = callers.join_all().await.concat();

    let lost: Vec<_> = answers
        .iter()
        .filter_map(|answer| answer.as_ref().err())
        .collect();
    assert!(
        lost.is_empty(),
        "{} of {} lost: {lost:?}",
        lost.len(),
        answers.len()
    );
}

/// Guards against a refusal of which the log does not tell whether its request's body was read.
#[rstest]
#[case::by_the_head("Bearer another", "unknown-key", false)]
#[case::after_the_body("Bearer key", "quota", true)]
#[tokio::test]
async fn log_tells_whether_the_body_of_a_refused_request_was_read(
    #[case] key: &'static str,
    #[case] cause: &str,
    #[case] expected: bool,
) {
    let bench = start().await;
    let limited = configuration()
        .with("/tenants/0/rate_per_s", json!(1))
        .with("/tenants/0/burst", json!(1));
    bench.site.configure(&limited);
    sleep(IN_FORCE).await;
    let mut refused = request("/status/1", "b-1");
    let key = hyper::header::HeaderValue::from_static(key);
    refused.headers_mut().insert("authorization", key);
    let tokens = hyper::header::HeaderValue::from_static("90000,90000");
    refused.headers_mut().insert("token-usage", tokens);

    // The first one may overrun a quota.
    let _ = http::call(bench.gateway.callers(), refused.clone(), CALL_LIMIT).await;
    let answer = http::call(bench.gateway.callers(), refused, CALL_LIMIT).await;
    let line = bench
        .gateway
        .process
        .wait_for_log("refused", CALL_LIMIT, |line| {
            line["message"] == "refused" && line["cause"] == cause
        });

    assert!(answer.expect("answered").status() >= 400);
    assert_eq!(line.expect("logged")["body_read"], json!(expected));
}

/// Guards against a refusal by the head alone that is lost while its caller still sends the body.
#[rstest]
#[case::malformed("/status/1", "key\r\nTime-Budget: x", 6, 400)]
#[case::unknown_key("/status/1", "another", 6, 401)]
#[case::no_route("/none", "key", 6, 404)]
#[case::body_too_large("/status/1", "key", 40, 413)]
#[case::not_proved("/status/1", "key", 6, 503)]
#[tokio::test]
async fn refusal_reaches_a_caller_that_sends_all_first(
    #[case] path: &str,
    #[case] key: &str,
    #[case] pieces: usize,
    #[case] expected: u16,
    #[values(Framing::Length, Framing::Chunked)] framing: Framing,
) {
    const CALLS: usize = 20;
    let bench = start().await;
    if expected == 503 {
        bench.site.store.stop(Outage::Refuse);
        assert!(bench.gateway.wait_ready(false).await, "still ready");
    }
    let refused = strict_request(path, key, pieces, framing);
    let mut lost = Vec::new();

    for _ in 0..CALLS {
        let opened = strict::Connection::open(bench.gateway.callers()).await;
        let answer = opened.expect("accepted").call(&refused, CALL_LIMIT).await;
        match answer {
            Ok(answer) => assert_eq!(answer.status, expected),
            Err(error) => lost.push(error),
        }
    }

    assert!(lost.is_empty(), "{} of {CALLS} lost: {lost:?}", lost.len());
}

/// A request in pieces a few milliseconds apart.
fn strict_request(path: &str, key: &str, pieces: usize, framing: Framing) -> strict::Request {
    strict::Request {
        head: format!(
            "POST {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: s-1\r\n\
             Authorization: Bearer {key}\r\n"
        ),
        piece: 9_000,
        pieces,
        pause: Duration::from_millis(5),
        framing,
    }
}
