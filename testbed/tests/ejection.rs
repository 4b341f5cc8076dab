//! Servers that fail at once, against gateways that eject them together, as real processes.

use {
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tamarackdale_testbed::platform::{Behaviour, Configuration, Gateway, Server, Site},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

const GATEWAYS: usize = 3;

const SERVERS: usize = 5;

/// Requests that are open at any time. The other servers have 32 slots, so that the failing one is needed.
const OPEN: usize = 36;

/// Time for which a server fails.
const FAILING: Duration = Duration::from_secs(3);

/// Requests that a failing server may get in that time, from all gateways, besides those that lead to its
/// ejection: as many as it has slots are on their way, and four are trials.
const MOST_FAILED: usize = 12;

/// Time within which a server that is well again gets requests.
const BACK: Duration = Duration::from_secs(3);

/// Guards against a server that fails at once, always has free slots, and so draws most requests of all
/// gateways; and against one that stays ejected once it is well.
#[rstest]
#[case::resets(Behaviour::LosesAnswers, 3)]
#[case::errors(Behaviour::Fails, 5)]
#[tokio::test]
async fn server_that_fails_at_once_gets_few_requests_and_returns(
    #[case] behaviour: Behaviour,
    #[case] ejecting: usize,
) {
    let site = Site::new(&Configuration::default()).expect("starts");
    let site = site.with_guarantee("health");
    let server = |number| Server::new(&format!("server-{number}"), "plain").expect("starts");
    let servers: Vec<Server> = (0..SERVERS).map(server).collect();
    for server in &servers {
        server.set_latency(Duration::from_millis(100));
        site.register(server);
    }
    let gateways = site.ready_gateways(GATEWAYS).await.expect("ready");
    let gateways: Arc<Vec<Gateway>> = Arc::new(gateways);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..OPEN {
        let (gateways, is_over) = (Arc::clone(&gateways), Arc::clone(&is_over));
        callers.spawn(async move {
            let mut call = 0;
            while !is_over.load(Ordering::Relaxed) {
                let kind = ["status", "booking"][call % 2];
                let gateway = &gateways[(number + call) % GATEWAYS];
                let id = format!("{number}-{call}");
                // A request that is lost is counted at the server.
                let _ = gateway.call(&format!("/{kind}/1"), &id).await;
                call += 1;
            }
        });
    }
    sleep(Duration::from_secs(2)).await;
    let first = &servers[0];
    let before = first.runs().len();

    first.set_behaviour(behaviour);
    sleep(FAILING).await;
    let during = first.runs().len() - before;
    first.set_behaviour(Behaviour::Sound);
    let well = Instant::now();
    let failed_until = first.runs().len();
    while first.runs().len() < failed_until + 20 && well.elapsed() < BACK {
        sleep(Duration::from_millis(20)).await;
    }
    let back = well.elapsed();
    is_over.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}

    println!("{before} requests before, {during} while failing, back after {back:?}");
    assert!(before > 0, "the server was not used before");
    assert!(
        during <= MOST_FAILED + ejecting,
        "{during} requests to a failing server"
    );
    assert!(back < BACK, "the server gets no requests once it is well");
}
