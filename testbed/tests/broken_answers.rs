//! Backend servers whose answers break off, against a gateway as a real process.

use {
    rstest::rstest,
    std::time::Duration,
    tamarackdale_testbed::{
        platform::{Behaviour, Caller, Configuration, Gateway, Server, Site},
        written::{Break, Framing, Written},
    },
};

/// Events of a stream.
const EVENTS: u64 = 2;

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

struct Bench {
    _site: Site,
    gateway: Gateway,
    servers: Vec<Server>,
}

/// A site with servers of the service that requests of a kind go to, and a gateway that is ready.
async fn start(kind: &str, count: usize) -> Bench {
    let service = match kind {
        "stream" | "resumable" => "engine",
        _ => "plain",
    };
    let site = Site::new(&Configuration::default()).expect("starts");
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
        _site: site,
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
