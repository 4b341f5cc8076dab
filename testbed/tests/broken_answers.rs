//! Backend servers whose answers break off, against gateways, routers and sidecars as real processes.

use {
    hyper::Method,
    rstest::rstest,
    std::time::Duration,
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        load::{Generator, Record, Schedule, Shot},
        platform::{Behaviour, Caller, Configuration, Gateway, Server, Site},
        proxy::{Direction, Fault, Scope},
        written::{Break, Framing, Written},
    },
    tokio::time::{sleep, timeout},
};

/// Events of a stream.
const EVENTS: u64 = 2;

/// Time within which a gateway hears that a server is leaving, with something for a loaded machine.
const LEAVING_NOTICED: Duration = Duration::from_millis(1_500);

/// How often a service that was cut off is called.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for an answer by way of a router and a sidecar.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

struct Bench {
    site: Site,
    gateway: Gateway,
    servers: Vec<Server>,
}

/// A site with servers of the service that requests of a kind go to, and a gateway that is ready.
async fn start(kind: &str, count: usize) -> Bench {
    let service = match kind {
        "stream" | "resumable" => "engine",
        _ => "plain",
    };
    // No stream waits for a server that there is not.
    let configuration = Configuration::default().with("/routes/1/attempts", count.into());
    let site = Site::new(&configuration).expect("starts");
    let server = |number| Server::new(&format!("server-{number}"), service);
    let servers: Vec<Server> = (0..count)
        .map(|number| server(number).expect("starts"))
        .collect();
    for server in &servers {
        server.set_latency(Duration::ZERO);
        server.set_events(EVENTS);
        site.register(server);
    }
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        site,
        gateway,
        servers,
    }
}

impl Bench {
    /// Sends a request that the first server treats in this way, and reads the answer.
    async fn call(&self, kind: &str, id: &str, behaviour: Behaviour) -> Caller {
        self.servers[0].set_behaviour(behaviour);
        let mut caller = Caller::new(&format!("/{kind}/1"), id);
        caller.call(self.gateway.callers()).await;
        caller
    }
}

/// The body of the server's whole answer.
fn body(kind: &str) -> String {
    let event = |id| format!("id: {id}\ndata: token {id} of v1\n\n");
    match kind {
        "stream" | "resumable" => (1..=EVENTS).map(event).collect(),
        _ => "server-0 got 16 bytes".to_owned(),
    }
}

/// Guards against an answer that breaks off anywhere, in its head or its body, and is passed on as whole,
/// as never run, or after a second run.
#[rstest]
#[case::length("status", Framing::Length, None)]
#[case::length_not_idempotent("booking", Framing::Length, None)]
#[case::chunked("booking", Framing::Chunked, None)]
#[case::by_connection("booking", Framing::Connection, None)]
#[case::after_continue("booking", Framing::Length, Some(100))]
#[case::after_processing("booking", Framing::Chunked, Some(102))]
#[case::after_early_hints("booking", Framing::Connection, Some(103))]
#[case::stream("stream", Framing::Chunked, None)]
#[case::stream_with_length("stream", Framing::Length, None)]
#[case::stream_after_early_hints("stream", Framing::Chunked, Some(103))]
#[case::resumable_stream("resumable", Framing::Chunked, None)]
#[case::resumable_stream_by_connection("resumable", Framing::Connection, None)]
#[tokio::test]
async fn answer_that_breaks_off_is_no_success(
    #[case] kind: &str,
    #[case] framing: Framing,
    #[case] interim: Option<u16>,
) {
    let bench = start(kind, 1).await;
    let answer = Written { framing, interim };
    let whole = body(kind);
    let mut wrong = Vec::new();
    let mut kept = 0;

    for (is_kept, is_reset) in [(false, false), (false, true), (true, false), (true, true)] {
        for bytes in 0.. {
            let id = format!("{}{}{bytes}", u8::from(is_kept), u8::from(is_reset));
            let (head, written) = answer.parts(&id, &whole);
            let ends = match (framing, is_reset) {
                // The end of the connection is that of the answer.
                (Framing::Connection, false) => head.len(),
                // Nor is one whole whose connection is reset after its last byte.
                (Framing::Connection, true) => head.len() + written.len() + 1,
                _ => head.len() + written.len(),
            };
            if bytes >= ends {
                break;
            }
            if is_kept {
                let before = format!("{id}-before");
                let caller = bench.call(kind, &before, Behaviour::Sound).await;
                assert_eq!(caller.tries()[0].status(), Some(200), "{before}");
            }
            let point = Break {
                answer,
                bytes,
                is_reset,
            };
            let caller = bench.call(kind, &id, Behaviour::BreaksAt(point)).await;
            let attempt = &caller.tries()[0];
            let runs = bench.servers[0].runs();
            let runs: Vec<_> = runs.iter().filter(|run| run.id == id).collect();
            kept += usize::from(is_kept && runs.iter().any(|run| run.is_kept));
            let is_success = attempt.is_whole && attempt.status() == Some(200);
            let is_promise = attempt.status().is_some_and(|it| PROMISES.contains(&it));
            let most_runs = if kind == "status" { 3 } else { 1 };
            if is_success || is_promise || !(1..=most_runs).contains(&runs.len()) {
                let (status, text) = (attempt.status(), attempt.text());
                wrong.push(format!(
                    "{id}: {status:?} {text:?}, ran {} times",
                    runs.len()
                ));
            }
        }
    }

    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    assert!(kept > 0, "no request was sent on a kept connection");
}

/// An answer whose end is that of its connection, up to a number of its body's bytes.
fn unframed(id: &str, body: &str, bytes: usize) -> Break {
    let answer = Written {
        framing: Framing::Connection,
        interim: None,
    };
    let (head, _) = answer.parts(id, body);
    Break {
        answer,
        bytes: head.len() + bytes,
        is_reset: false,
    }
}

/// Guards against an answer that looks complete because its server crashed where the end of the connection is
/// that of the answer.
#[rstest]
#[case::plain("booking", 10)]
#[case::idempotent("status", 10)]
#[case::stream("stream", 27)]
#[case::resumable_stream("resumable", 27)]
#[tokio::test]
async fn answer_whose_server_crashes_is_not_complete(#[case] kind: &str, #[case] bytes: usize) {
    let bench = start(kind, 1).await;
    let whole = body(kind);
    let (part, _) = whole.split_at(bytes);
    // A stream is cut between two events.
    assert!(kind == "booking" || kind == "status" || part.ends_with("\n\n"));

    let point = unframed("c", &whole, bytes);
    let caller = bench.call(kind, "c", Behaviour::CrashesAt(point)).await;

    let attempt = &caller.tries()[0];
    let is_whole = attempt.is_whole && attempt.status() == Some(200);
    assert!(!is_whole || attempt.text() == whole, "{attempt:?}");
    let is_promise = attempt.status().is_some_and(|it| PROMISES.contains(&it));
    assert!(!is_promise, "{attempt:?}");
}

/// Guards against a whole answer that is dropped because its end is that of its connection: the server goes on,
/// or it was leaving and has ended with its last answer.
#[rstest]
#[tokio::test]
async fn answer_that_ends_with_its_connection_is_whole(
    #[values("booking", "stream")] kind: &str,
    #[values(false, true)] is_leaving: bool,
) {
    let bench = start(kind, 1).await;
    let whole = body(kind);
    let point = unframed("e", &whole, whole.len());
    bench.servers[0].set_behaviour(match is_leaving {
        true => Behaviour::CrashesAt(point),
        false => Behaviour::BreaksAt(point),
    });
    bench.servers[0].set_latency(LEAVING_NOTICED);

    let mut caller = Caller::new(&format!("/{kind}/1"), "e");
    let leaving = async {
        sleep(LEAVING_NOTICED / 4).await;
        if is_leaving {
            bench.site.set_state(&bench.servers[0], "draining");
        }
    };
    futures_util::join!(caller.call(bench.gateway.callers()), leaving);

    let attempt = &caller.tries()[0];
    assert!(attempt.is_whole, "{attempt:?}");
    assert_eq!(attempt.status(), Some(200));
    assert_eq!(attempt.text(), whole);
}

/// Guards against a length that a server states beside chunks, which does not count, and that cuts the
/// answer or the connection of its caller.
#[rstest]
#[case::plain("booking")]
#[case::stream("stream")]
#[tokio::test]
async fn length_beside_chunks_is_not_passed_on(#[case] kind: &str) {
    let bench = start(kind, 1).await;
    let answer = Written {
        framing: Framing::LengthAndChunks,
        interim: None,
    };
    let whole = Break {
        answer,
        bytes: usize::MAX,
        is_reset: false,
    };

    let caller = bench.call(kind, "l", Behaviour::BreaksAt(whole)).await;

    let attempt = &caller.tries()[0];
    assert!(attempt.is_whole, "{attempt:?}");
    assert_eq!(attempt.text(), body(kind));
    let length = match kind {
        "stream" => String::new(),
        _ => body(kind).len().to_string(),
    };
    assert_eq!(attempt.header("content-length"), length);
}

/// Guards against a stream that ends as whole at the length that its first server stated, although
/// another server took it over and has more.
#[tokio::test]
async fn resumed_stream_is_not_cut_at_the_length_of_its_first_server() {
    const MORE: u64 = EVENTS + 3;
    const ROUNDS: usize = 10;
    let bench = start("resumable", 2).await;
    let answer = Written {
        framing: Framing::Length,
        interim: None,
    };
    let (head, written) = answer.parts("r-0", &body("resumable"));
    let point = Break {
        answer,
        bytes: head.len() + written.len() / 2,
        is_reset: false,
    };
    bench.servers[1].set_events(MORE);
    let mut taken_over = 0;

    for number in 0..ROUNDS {
        // The first server is preferred after that.
        bench.servers[1].set_behaviour(Behaviour::Full);
        let before = format!("b-{number}");
        bench.call("resumable", &before, Behaviour::Sound).await;
        bench.servers[1].set_behaviour(Behaviour::Sound);
        let id = format!("r-{number}");
        let caller = bench
            .call("resumable", &id, Behaviour::BreaksAt(point))
            .await;
        let ran = |server: &Server| server.runs().iter().any(|run| run.id == id);
        let is_whole = caller.has_whole_stream(MORE);
        taken_over += usize::from(is_whole && bench.servers.iter().all(ran));
        let ids: Vec<u64> = caller.events().iter().map(|event| event.id).collect();
        let is_broken_off = !caller.tries()[0].is_whole;
        assert!(is_whole || is_broken_off, "whole with events {ids:?}");
    }

    assert!(taken_over > 0, "no stream was taken over");
}

/// Guards against an upgrade that nobody asked for and that is passed on as the final answer.
#[rstest]
#[case::not_idempotent("booking")]
#[case::idempotent("status")]
#[case::stream("stream")]
#[tokio::test]
async fn unasked_upgrade_is_no_answer(#[case] kind: &str) {
    let bench = start(kind, 1).await;
    let answer = Written {
        framing: Framing::Length,
        interim: Some(101),
    };
    let whole = Break {
        answer,
        bytes: usize::MAX,
        is_reset: false,
    };

    let caller = bench.call(kind, "u", Behaviour::BreaksAt(whole)).await;

    assert_eq!(caller.tries()[0].status(), Some(502));
    assert_eq!(bench.servers[0].runs().len(), 1);
}

/// A plain service behind a sidecar and a router.
async fn start_sidecar(layout: Layout) -> Deployment {
    let deployment = Deployment::start(&layout.with_routers(1)).await;
    deployment.expect("starts")
}

/// Sends a booking by way of a router and a sidecar.
async fn book(deployment: &Deployment, key: &str) -> Record {
    let generator = Generator::new(&deployment.entries()).with_limit(CALL_LIMIT);
    let shot = Shot::plain(
        "ordre-app",
        "joiner-example-key",
        Method::POST,
        "/pickups",
        "{}",
    );
    let shot = shot.with_tier("order").with_key(key);
    let schedule = Schedule::burst(Duration::ZERO, 1);
    let records = generator.run(&schedule, |_| shot.clone()).await;
    records.into_iter().next().expect("one was offered")
}

/// What is wrong with a booking: it ran more than once, its answer is a success and not the server's, or
/// the router says wrongly that it has run or has not.
fn problem(deployment: &Deployment, key: &str, record: &Record) -> Option<String> {
    let calls = deployment.sidecars[0].plain().calls();
    let runs = calls
        .iter()
        .filter(|call| call.marker.as_deref() == Some(key));
    let runs = runs.count();
    let expected = match (record.whole, record.verdict) {
        (true, _) => 1..=1,
        (false, Some(Verdict::NotRun)) => 0..=0,
        (false, _) => 0..=1,
    };
    let is_final = record.status.is_none_or(|status| status >= 200);
    let is_wrong = record.is_corrupt() || !is_final || !expected.contains(&runs);
    is_wrong.then(|| format!("ran {runs} times: {record:?}"))
}

/// Guards against an answer that breaks off between a sidecar and its plain service and is passed on as
/// whole, as never run, or after a second run.
#[rstest]
#[case::length(Framing::Length, None)]
#[case::chunked(Framing::Chunked, None)]
#[case::after_early_hints(Framing::Length, Some(103))]
#[case::after_an_unasked_upgrade(Framing::Length, Some(101))]
#[tokio::test]
async fn answer_that_breaks_off_behind_a_sidecar_is_no_success(
    #[case] framing: Framing,
    #[case] interim: Option<u16>,
) {
    /// More bytes than an answer has.
    const MOST_BYTES: usize = 400;
    let deployment = start_sidecar(Layout::new(vec![Service::ordre_app(1)])).await;
    let answer = Written { framing, interim };
    let mut wrong = Vec::new();

    for is_reset in [false, true] {
        for bytes in 0..MOST_BYTES {
            let key = format!("key-{}{bytes}", u8::from(is_reset));
            let point = Break {
                answer,
                bytes,
                is_reset,
            };
            deployment.sidecars[0].plain().set_break_point(point);
            let record = book(&deployment, &key).await;
            // The server was at the end of its answer.
            if record.whole {
                break;
            }
            wrong.extend(problem(&deployment, &key, &record));
        }
    }

    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}

/// Guards against an answer that looks complete because the plain service behind a sidecar crashed where the end
/// of the connection is that of the answer, and against a whole one that is dropped.
#[rstest]
#[case::crash(true)]
#[case::end_of_the_answer(false)]
#[tokio::test]
async fn answer_behind_a_sidecar_whose_server_crashes_is_not_complete(#[case] crashes: bool) {
    let deployment = start_sidecar(Layout::new(vec![Service::ordre_app(1)])).await;
    let plain = deployment.sidecars[0].plain();
    let bytes = if crashes { 10 } else { 1_000 };
    plain.set_break_point(unframed("c", "", bytes));
    if crashes {
        plain.crash_at_break_point();
    }

    let record = book(&deployment, "c").await;

    assert_eq!(record.whole, !crashes, "{record:?}");
    assert_eq!(problem(&deployment, "c", &record), None);
}

/// Guards against a response that breaks off between a router and a sidecar and is passed on as whole, as
/// never run, or after a second run.
#[rstest]
#[tokio::test]
async fn response_that_breaks_off_before_a_router_is_no_success(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] first: u64,
) {
    /// More bytes than the sidecar sends for one request.
    const MOST_BYTES: u64 = 560;
    /// Each of the deployments has its share of the positions.
    const STEP: usize = 8;
    let layout = Layout::new(vec![Service::ordre_app(1)]).with_proxies();
    let deployment = start_sidecar(layout).await;
    let link = deployment.sidecars[0].peer_proxy.as_ref().expect("proxied");
    let mut wrong = Vec::new();
    let mut whole = 0;

    for bytes in (first..MOST_BYTES).step_by(STEP) {
        let key = format!("key-{bytes}");
        let is_back = async {
            while !book(&deployment, &format!("before-{key}")).await.whole {
                sleep(POLL_INTERVAL).await;
            }
        };
        assert!(
            timeout(CALL_LIMIT, is_back).await.is_ok(),
            "not back before {key}"
        );
        link.inject(Scope::Open, Direction::FromTarget, Fault::truncate(bytes));
        let record = book(&deployment, &key).await;
        wrong.extend(problem(&deployment, &key, &record));
        whole += usize::from(record.whole);
    }

    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
    assert!(
        whole > 0,
        "no response was read further on another connection"
    );
}
