//! Servers that write a refusal once more on a kept connection: "not run" is said only of requests
//! that have not run, and no booking runs twice.

use {
    futures_util::future::join_all,
    rstest::rstest,
    std::time::Duration,
    tamarackdale_testbed::platform::{
        Behaviour, Configuration, Gateway, Repeat, RepeatPoint, Server, Site,
    },
    tokio::time::{sleep, timeout},
};

/// Requests that are sent one after the other.
const REQUESTS: usize = 20;

/// Requests at once that reach each server: more than one has slots.
const AT_ONCE: usize = 16;

/// Limit for what should happen at once.
const SOON: Duration = Duration::from_secs(3);

/// Time between two requests in which an idle connection gets a late refusal.
const IDLE_TIME: Duration = Duration::from_millis(50);

struct Bench {
    _site: Site,
    gateway: Gateway,
    servers: Vec<Server>,
}

/// A site with two plain servers and one gateway that is ready.
async fn start() -> Bench {
    let site = Site::new(&Configuration::default()).expect("starts");
    let servers: Vec<Server> = (1..=2)
        .map(|number| Server::new(&format!("plain-{number}"), "plain").expect("starts"))
        .collect();
    servers.iter().for_each(|server| site.register(server));
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        _site: site,
        gateway,
        servers,
    }
}

/// A site whose servers have refused a request each, and then answered others on connections that
/// are kept.
async fn start_after_refusals() -> Bench {
    let bench = start().await;
    bench.set_behaviour(Behaviour::Full);
    let refused = bench.send_one("/booking/1", "refused").await;
    bench.set_behaviour(Behaviour::Sound);
    let serves = |server: &Server| !server.runs().is_empty();
    let warm_up = async {
        while !bench.servers.iter().all(serves) {
            let calls = (0..AT_ONCE).map(|_| bench.gateway.call("/status/1", "warm-up"));
            join_all(calls).await;
        }
    };
    let is_warm = timeout(SOON, warm_up).await.is_ok();
    assert!(is_warm, "a server gets nothing after its refusal");
    let refusals: Vec<_> = bench.servers.iter().map(Server::refusals).collect();
    assert_eq!((refused, refusals), ((503, 0), vec![1, 1]));
    bench
}

impl Bench {
    fn set_behaviour(&self, behaviour: Behaviour) {
        self.servers
            .iter()
            .for_each(|server| server.set_behaviour(behaviour));
    }

    /// Sends a request. Returns its status and how often it ran.
    async fn send_one(&self, path: &str, id: &str) -> (u16, usize) {
        let answer = self.gateway.call(path, id).await.expect("answered");
        (answer.status(), self.runs_of(id))
    }

    /// Sends requests one after the other. Returns the status of each and how often it ran.
    async fn send(&self, path: &str, name: &str) -> Vec<(u16, usize)> {
        let mut outcomes = Vec::new();
        for number in 0..REQUESTS {
            outcomes.push(self.send_one(path, &format!("{name}-{number}")).await);
        }
        outcomes
    }

    /// Like [`Self::send`], first with one faulty server and then with the other.
    async fn send_with_each(&self, path: &str, faulty: Behaviour) -> Vec<(u16, usize)> {
        let mut outcomes = Vec::new();
        for server in &self.servers {
            server.set_behaviour(faulty);
            outcomes.extend(self.send(path, server.id()).await);
            server.set_behaviour(Behaviour::Sound);
        }
        outcomes
    }

    fn runs_of(&self, id: &str) -> usize {
        let runs = self.servers.iter().flat_map(Server::runs);
        runs.filter(|run| run.id == id).count()
    }
}

/// The server runs the request, and what comes is an earlier refusal.
#[rstest]
#[case::that_names_its_request(true)]
#[case::that_names_none(false)]
#[tokio::test]
async fn booking_that_runs_is_not_refused_by_an_earlier_refusal(#[case] is_named: bool) {
    let bench = start_after_refusals().await;
    bench.set_behaviour(Behaviour::RepeatsRefusal(Repeat {
        point: RepeatPoint::BeforeAnswer,
        is_named,
    }));

    let outcomes = bench.send("/booking/1", "booking").await;

    let is_true = |outcome: &(u16, usize)| matches!(outcome, (200 | 502, 1) | (503, 0));
    assert!(outcomes.iter().all(is_true), "{outcomes:?}");
    let was_repeated = outcomes.contains(&(502, 1));
    assert!(was_repeated, "no refusal was repeated: {outcomes:?}");
}

/// What may be repeated is asked again when the answer is an earlier refusal.
#[rstest]
#[case::that_names_its_request(true)]
#[case::that_names_none(false)]
#[tokio::test]
async fn status_is_asked_again_after_an_earlier_refusal(#[case] is_named: bool) {
    let bench = start_after_refusals().await;
    let faulty = Behaviour::RepeatsRefusal(Repeat {
        point: RepeatPoint::BeforeAnswer,
        is_named,
    });

    let outcomes = bench.send_with_each("/status/1", faulty).await;

    assert!(
        outcomes.iter().all(|(status, _)| *status == 200),
        "{outcomes:?}"
    );
    let was_repeated = outcomes.iter().any(|(_, runs)| *runs == 2);
    assert!(was_repeated, "no refusal was repeated: {outcomes:?}");
}

/// A refusal that is written twice refuses its own request only, which moves.
#[rstest]
#[case::that_names_its_request(true)]
#[case::that_names_none(false)]
#[tokio::test]
async fn refusal_that_is_written_twice_moves_its_request_only(#[case] is_named: bool) {
    let bench = start_after_refusals().await;
    let faulty = Behaviour::RepeatsRefusal(Repeat {
        point: RepeatPoint::AfterRefusal,
        is_named,
    });

    let outcomes = bench.send_with_each("/booking/1", faulty).await;

    assert!(
        outcomes.iter().all(|outcome| *outcome == (200, 1)),
        "{outcomes:?}"
    );
    let refusals: usize = bench.servers.iter().map(Server::refusals).sum();
    assert!(refusals > 2, "nothing was refused");
}

/// A refusal that arrives as the next request is written is taken for no answer to it.
#[rstest]
#[case::that_names_its_request(true)]
#[case::that_names_none(false)]
#[tokio::test]
async fn late_refusal_refuses_no_booking_that_runs(#[case] is_named: bool) {
    let bench = start_after_refusals().await;
    bench.set_behaviour(Behaviour::RepeatsRefusal(Repeat {
        point: RepeatPoint::WhileIdle,
        is_named,
    }));

    let outcomes = bench.send("/booking/1", "booking").await;

    let is_true = |outcome: &(u16, usize)| matches!(outcome, (200, 1) | (502, 0 | 1) | (503, 0));
    assert!(outcomes.iter().all(is_true), "{outcomes:?}");
}

/// A refusal that arrives on an idle connection is met by no request: the connection is closed.
#[rstest]
#[case::that_names_its_request(true)]
#[case::that_names_none(false)]
#[tokio::test]
async fn refusal_on_an_idle_connection_concerns_no_request(#[case] is_named: bool) {
    let bench = start_after_refusals().await;
    bench.set_behaviour(Behaviour::RepeatsRefusal(Repeat {
        point: RepeatPoint::WhileIdle,
        is_named,
    }));

    let mut outcomes = Vec::new();
    for number in 0..REQUESTS {
        outcomes.push(bench.send_one("/booking/1", &format!("b-{number}")).await);
        sleep(IDLE_TIME).await;
    }

    assert!(
        outcomes.iter().all(|outcome| *outcome == (200, 1)),
        "{outcomes:?}"
    );
}
