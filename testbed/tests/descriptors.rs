//! A gateway that runs out of file descriptors, as a real process.

use {
    rstest::rstest,
    rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit},
    std::{collections::BTreeMap, fs, time::Duration},
    tamarackdale_testbed::{
        http,
        platform::{Configuration, Gateway, Server, Site, request},
    },
    tokio::task::JoinSet,
};

/// Descriptors that the gateway may open after its start.
const ROOM: u64 = 12;

/// Callers of a test, far more than the gateway has descriptors for.
const CALLERS: usize = 40;

/// Longest time for an answer: twice the time of the route.
const LIMIT: Duration = Duration::from_secs(6);

struct Bench {
    server: Server,
    _site: Site,
    gateway: Gateway,
}

/// A gateway that is ready and may open a few more descriptors.
async fn start() -> Bench {
    let site = Site::new(&Configuration::default()).expect("starts");
    let server = Server::new("plain-0", "plain").expect("starts");
    site.register(&server);
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    let process = gateway.process.id();
    let open = fs::read_dir(format!("/proc/{process}/fd")).expect("runs");
    let limit = Rlimit {
        current: Some(open.count() as u64 + ROOM),
        maximum: getrlimit(Resource::Nofile).maximum,
    };
    let id = Pid::from_raw(process as i32);
    prlimit(id, Resource::Nofile, limit).expect("limited");
    Bench {
        server,
        _site: site,
        gateway,
    }
}

/// Guards against callers that are cut, or wait without end, while the gateway has no descriptors left for
/// them or for connections to its servers, and against servers that count as failed by that.
#[rstest]
#[case::at_once("booking", false)]
#[case::that_may_run_again("status", false)]
#[case::that_stay_connected("booking", true)]
#[tokio::test]
async fn callers_are_answered_although_descriptors_run_out(#[case] kind: &str, #[case] stay: bool) {
    let bench = start().await;
    bench.server.set_latency(Duration::from_millis(50));
    let callers = bench.gateway.callers();
    let mut calls = JoinSet::new();

    for number in 0..CALLERS {
        let message = request(&format!("/{kind}/1"), &format!("d-{number}"));
        calls.spawn(async move {
            let mut connection = http::Connection::open(callers).await?;
            let answer = connection.call(message, LIMIT).await;
            Ok::<_, http::Fault>((answer?.status(), stay.then_some(connection)))
        });
    }
    let mut outcomes = BTreeMap::<String, usize>::new();
    let mut open = Vec::new();
    while let Some(call) = calls.join_next().await {
        let outcome = match call.expect("no panic") {
            Ok((status, connection)) => {
                open.push(connection);
                status.to_string()
            }
            Err(error) => error.to_string(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    drop(open);
    let last = bench.gateway.call(&format!("/{kind}/1"), "d-last").await;

    let told: usize = ["200", "503"]
        .iter()
        .filter_map(|status| outcomes.get(*status))
        .sum();
    assert_eq!(told, CALLERS, "{outcomes:?}");
    assert_eq!(last.expect("answered").status(), 200, "{outcomes:?}");
}
