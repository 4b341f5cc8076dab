//! A planned stop of routers and sidecars: each request ends with an answer that says what became of it.

use {
    hyper::Method,
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service, Sidecar, Standin},
        engine::Hardware,
        http,
        load::{Generator, Record, Shot},
        plain::Plain,
        wait,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Bound on the whole of a test's work.
const LIMIT: Duration = Duration::from_secs(20);

/// Time from SIGTERM until connections are dropped.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(3);

/// Time that the backend server takes; longer than half the shutdown.
const SERVICE_TIME: Duration = Duration::from_millis(1_800);

/// Time that the backend server takes for work that outlasts the shutdown.
const ENDLESS: Duration = Duration::from_secs(8);

/// Time after SIGTERM at which [`SERVICE_TIME`] no longer fits in; callers still arrive.
const LATE: Duration = Duration::from_millis(1_200);

/// Time from the end of the shutdown to that of the process, on a loaded machine.
const END_LIMIT: Duration = Duration::from_secs(1);

const API_KEY: &str = "slibe-example-key";

/// A router before one backend server with room for one request at a time.
async fn start(service: Service) -> Deployment {
    let limit = SHUTDOWN_LIMIT.as_secs().to_string();
    let flags = ["--shutdown-limit-s", &limit];
    let layout = Layout::new(vec![service])
        .with_routers(1)
        .with_router_flags(&[flags[0], flags[1], "--unready-delay-ms", "1500"])
        .with_sidecar_flags(&[flags[0], flags[1], "--batch-limit", "1"]);
    Deployment::start(&layout).await.expect("starts")
}

fn orders() -> Service {
    Service::ordre_app(1)
}

fn assistant() -> Service {
    Service::slibe_llm(&[Hardware::newer()])
}

/// A request that may not run twice. The less urgent tier has no room beyond the limit.
fn booking(key: &str) -> Shot {
    Shot::plain("ordre-app", API_KEY, Method::POST, "/pickups", key)
        .with_tier("status")
        .with_key(key)
}

fn status(key: &str) -> Shot {
    Shot::plain("ordre-app", API_KEY, Method::GET, "/pickups/7", "")
        .with_tier("status")
        .with_key(key)
}

/// A request whose answer outlasts the shutdown.
fn question(key: &str) -> Shot {
    Shot::model("slibe-llm", API_KEY, "sharpening", "bevel angle", 900)
        .with_tier("workshop")
        .with_key(key)
}

fn offer(deployment: &Deployment, shot: Shot) -> JoinHandle<Record> {
    let generator = Generator::new(&deployment.entries()).with_limit(LIMIT);
    tokio::spawn(async move { generator.offer(Instant::now(), 0, &shot).await })
}

/// Sends the head of a booking at once, and its body after `pause` if there is no answer until then.
fn offer_slowly(deployment: &Deployment, key: &str, pause: Duration) -> JoinHandle<String> {
    let entry = deployment.entries()[0];
    let body = "x".repeat(16);
    let head = format!(
        "POST /ordre-app/pickups HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {API_KEY}\r\n\
         idempotency-key: {key}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    tokio::spawn(async move {
        let mut stream = TcpStream::connect(entry).await.expect("accepts");
        stream.write_all(head.as_bytes()).await.expect("takes it");
        let mut answer = String::new();
        if timeout(pause, stream.read_to_string(&mut answer))
            .await
            .is_err()
        {
            stream.write_all(body.as_bytes()).await.expect("takes it");
            // What came before a reset is looked at.
            let _ = stream.read_to_string(&mut answer).await;
        }
        answer
    })
}

fn plain(deployment: &Deployment) -> &Plain {
    deployment.sidecars[0].plain()
}

fn runs(deployment: &Deployment, key: &str) -> usize {
    let markers: Vec<_> = match &deployment.sidecars[0].backend_server {
        Standin::Engine(engine) => engine.runs().into_iter().map(|run| run.marker).collect(),
        Standin::Plain(plain) => plain.calls().into_iter().map(|call| call.marker).collect(),
    };
    let names_it = |marker: &&Option<String>| marker.as_deref() == Some(key);
    markers.iter().filter(names_it).count()
}

async fn wait_for_run(deployment: &Deployment, key: &str) {
    assert!(wait::until(LIMIT, || runs(deployment, key) == 1).await);
}

/// Lets the router learn how long a booking takes.
async fn serve_booking(deployment: &Deployment) {
    plain(deployment).set_latency(SERVICE_TIME);
    let record = offer(deployment, booking("first")).await.expect("no panic");
    assert!(record.whole, "{record:?}");
}

fn assert_refused(record: &Record, verdict: Verdict) {
    assert_eq!(record.verdict, Some(verdict), "{record:?}");
    assert_eq!(record.reason.as_deref(), Some("closing"), "{record:?}");
    let has_retry_after = record.retry_after.is_some();
    assert_eq!(has_retry_after, verdict == Verdict::NotRun, "{record:?}");
}

fn is_logged(logs: &[serde_json::Value], message: &str) -> bool {
    logs.iter().any(|line| line["message"] == message)
}

#[rstest]
#[case::takes_longer_than_is_left(orders(), booking("late"), LATE, true)]
#[case::is_predicted_to(assistant(), question("long"), Duration::ZERO, true)]
#[case::fits_in(orders(), booking("early"), Duration::ZERO, false)]
#[case::is_short(orders(), status("short"), LATE, false)]
#[tokio::test]
async fn router_begins_what_can_end(
    #[case] service: Service,
    #[case] shot: Shot,
    #[case] after: Duration,
    #[case] is_refused: bool,
) {
    let deployment = start(service).await;
    if shot.service == orders().name {
        serve_booking(&deployment).await;
    }
    if shot.method == Method::GET {
        plain(&deployment).set_latency(Duration::ZERO);
    }
    let key = shot.key.clone().expect("has one");

    deployment.routers[0].process.terminate().expect("running");
    sleep(after).await;
    // Another SIGTERM changes nothing.
    deployment.routers[0].process.terminate().expect("running");
    let record = offer(&deployment, shot).await.expect("no panic");

    assert_eq!(record.whole, !is_refused, "{record:?}");
    assert_eq!(runs(&deployment, &key), usize::from(!is_refused));
    if is_refused {
        assert_refused(&record, Verdict::NotRun);
    }
}

#[tokio::test]
async fn router_without_answers_learns_from_what_runs() {
    let deployment = start(orders()).await;
    plain(&deployment).set_latency(ENDLESS);
    // The most urgent tier has room for both.
    let _running = offer(&deployment, booking("running").with_tier("order"));
    wait_for_run(&deployment, "running").await;
    sleep(Duration::from_secs(1)).await;

    deployment.routers[0].process.terminate().expect("running");
    sleep(LATE).await;
    let late = offer(&deployment, booking("late").with_tier("order"));
    let late = late.await.expect("no panic");

    assert_refused(&late, Verdict::NotRun);
    assert_eq!(runs(&deployment, "late"), 0);
}

#[rstest]
#[case::late(LATE + Duration::from_millis(500))]
#[case::missing(LIMIT)]
#[tokio::test]
async fn router_refuses_a_request_whose_body_comes_late(#[case] pause: Duration) {
    let deployment = start(orders()).await;
    serve_booking(&deployment).await;
    let slow = offer_slowly(&deployment, "slow", pause);
    sleep(Duration::from_millis(100)).await;

    deployment.routers[0].process.terminate().expect("running");
    let answer = timeout(SHUTDOWN_LIMIT + LATE, slow).await;

    let answer = answer.expect("ends").expect("no panic");
    assert!(answer.contains("\"not-run\""), "{answer:?}");
    assert!(answer.contains("\"closing\""), "{answer:?}");
    assert!(answer.contains("retry-after: "), "{answer:?}");
    assert_eq!(runs(&deployment, "slow"), 0);
}

/// Which processes are stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stopped {
    Router,
    Sidecar,
    All,
}

#[rstest]
#[case::router(Stopped::Router)]
#[case::sidecar(Stopped::Sidecar)]
#[case::all(Stopped::All)]
#[tokio::test]
async fn what_has_not_ended_is_told_what_became_of_it(#[case] stopped: Stopped) {
    let mut deployment = start(orders()).await;
    plain(&deployment).set_latency(ENDLESS);
    let running = offer(&deployment, booking("running"));
    wait_for_run(&deployment, "running").await;
    let waiting = offer(&deployment, booking("waiting"));
    assert!(wait::until(LIMIT, || deployment.routed() == 2).await);

    let stopped_at = Instant::now();
    if stopped != Stopped::Sidecar {
        deployment.routers[0].process.terminate().expect("running");
    }
    if stopped != Stopped::Router {
        deployment.sidecars[0].process.terminate().expect("running");
    }
    let (running, waiting) = (running.await.expect("ends"), waiting.await.expect("ends"));

    assert_refused(&running, Verdict::MayHaveRun);
    assert_refused(&waiting, Verdict::NotRun);
    assert_eq!(runs(&deployment, "running"), 1);
    assert_eq!(runs(&deployment, "waiting"), 0);
    let process = match stopped {
        Stopped::Sidecar => &mut deployment.sidecars[0].process,
        Stopped::Router | Stopped::All => &mut deployment.routers[0].process,
    };
    assert_eq!(process.wait(LIMIT).await.expect("ends").code(), Some(0));
    assert!(stopped_at.elapsed() < SHUTDOWN_LIMIT + END_LIMIT);
    assert!(is_logged(&process.logs(), "ended by the shutdown"));
    assert!(!is_logged(
        &process.logs(),
        "connection aborted at shutdown"
    ));
}

#[tokio::test]
async fn retry_is_not_called_not_run_while_the_first_call_is_open() {
    let deployment = start(Service::ordre_app(2)).await;
    let sidecars = &deployment.sidecars;
    sidecars
        .iter()
        .for_each(|sidecar| sidecar.plain().set_latency(ENDLESS));
    let first = offer(&deployment, booking("twice"));
    let of_first = || {
        let called = |sidecar: &&Sidecar| !sidecar.plain().calls().is_empty();
        sidecars.iter().find(called)
    };
    assert!(wait::until(LIMIT, || of_first().is_some()).await);
    let holder = of_first().expect("has the call");
    // The retry learns of the first call from its claim, and nothing of its outcome.
    holder.process.pause().expect("running");
    let retry = offer(&deployment, booking("twice"));
    let conflicts = || deployment.logs_about("twice").matches("routed").count() >= 2;
    assert!(wait::until(LIMIT, conflicts).await);

    deployment.routers[0].process.terminate().expect("running");
    let (first, retry) = (first.await.expect("ends"), retry.await.expect("ends"));
    holder.process.resume_execution().expect("paused");

    assert_refused(&first, Verdict::MayHaveRun);
    assert_refused(&retry, Verdict::MayHaveRun);
}

#[rstest]
#[case::router(Stopped::Router)]
#[case::sidecar(Stopped::Sidecar)]
#[tokio::test]
async fn stream_that_has_not_ended_breaks_with_a_last_event(#[case] stopped: Stopped) {
    let deployment = start(assistant()).await;
    let shot = question("stream");
    let entry = deployment.entries()[0];
    let mut reply = http::send(entry, shot.request(entry).expect("valid"))
        .await
        .expect("answered");

    match stopped {
        Stopped::Router => deployment.routers[0].process.terminate(),
        Stopped::Sidecar | Stopped::All => deployment.sidecars[0].process.terminate(),
    }
    .expect("running");
    let mut last = Vec::new();
    let end = loop {
        match timeout(LIMIT, reply.chunk()).await.expect("in time") {
            Ok(Some(chunk)) => last = chunk.to_vec(),
            end => break end,
        }
    };

    assert!(end.is_err(), "the stream looks complete");
    let last = String::from_utf8_lossy(&last);
    assert!(last.contains("event: error"), "{last}");
    assert!(last.contains("may-have-run"), "{last}");
}
