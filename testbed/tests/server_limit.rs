//! Backend servers that name a limit, against gateways as real processes.

use {
    rstest::rstest,
    serde_json::json,
    std::time::{Duration, Instant},
    tamarackdale_testbed::{
        http,
        platform::{Configuration, Gateway, Server, Site, request},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Gateways of the site.
const GATEWAYS: usize = 4;

/// Pause between two requests of the load: 80 a second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(12_500);

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(6);

/// Time from the first statement of a limit until it must be kept: `stable_ms` of the platform.
const BINDS_AFTER: Duration = Duration::from_secs(3);

/// Window in which the requests at a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Limit that servers name in these tests, in requests per second.
const LIMIT: f64 = 4.0;

/// Most requests that may reach a server with the limit [`LIMIT`] in a window.
const ALLOWED: usize = 29; // 1.5 * 4 per second * 4 s + 5

/// Latency at which the load needs twelve slots, of which one server has eight.
const NEEDS_BOTH: Duration = Duration::from_millis(150);

/// Latency at which one server carries the load.
const QUICK: Duration = Duration::from_millis(10);

/// A site with two servers of a service.
struct Bench {
    _site: Site,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
}

/// Starts the site with gateways in each data centre, among which the two servers are divided.
async fn start_with(service: &str, data_centres: &[&str], in_each: usize) -> Bench {
    start_configured(service, data_centres, in_each, &Configuration::default()).await
}

impl Bench {
    fn set_latency(&self, latency: Duration) {
        let servers = self.servers.iter();
        servers.for_each(|server| server.set_latency(latency));
    }
}

async fn start_configured(
    service: &str,
    data_centres: &[&str],
    in_each: usize,
    configuration: &Configuration,
) -> Bench {
    let site = Site::new(configuration).expect("starts");
    let servers: Vec<Server> = (0..2)
        .map(|number| {
            let server = Server::new(&format!("{service}-{number}"), service).expect("starts");
            server.with_data_centre(data_centres[number % data_centres.len()])
        })
        .collect();
    servers.iter().for_each(|server| site.register(server));
    let gateways: Vec<Gateway> = (0..in_each * data_centres.len())
        .map(|number| {
            let data_centre = data_centres[number % data_centres.len()];
            let name = format!("gateway-{number}");
            site.gateway_in(&name, data_centre).expect("starts")
        })
        .collect();
    for gateway in &gateways {
        assert!(gateway.wait_ready(true).await, "not ready");
    }
    Bench {
        _site: site,
        gateways,
        servers,
    }
}

async fn start(service: &str) -> Bench {
    start_with(service, &["a"], GATEWAYS).await
}

/// Sends requests to all gateways in turn for `length`. Returns the answers.
async fn load(bench: &Bench, path: &'static str, length: Duration) -> Vec<http::Answer> {
    let end = Instant::now() + length;
    let mut running = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        let callers = bench.gateways[number % bench.gateways.len()].callers();
        let message = request(path, &format!("l-{number}"));
        running.spawn(async move { http::call(callers, message, CALL_LIMIT).await });
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    let answers = running.join_all().await;
    answers
        .into_iter()
        .map(|answer| answer.expect("answered"))
        .collect()
}

fn served(answers: &[http::Answer]) -> usize {
    answers
        .iter()
        .filter(|answer| answer.status() == 200)
        .count()
}

/// Guards against more requests than a server in need has said that it takes from all gateways
/// together.
#[rstest]
#[case::engine("engine", "/stream/1")]
#[case::plain("plain", "/status/1")]
#[tokio::test]
async fn server_that_names_a_limit_gets_no_more_from_all_gateways(
    #[case] service: &str,
    #[case] path: &'static str,
) {
    let bench = start(service).await;
    let limited = &bench.servers[0];
    // A gateway that has an open connection to the other server need not ask this one, and would not hear
    // of the limit: so both are needed until it is named.
    bench.set_latency(NEEDS_BOTH);
    load(&bench, path, Duration::from_secs(1)).await;
    limited.set_limit(Some(&LIMIT.to_string()));
    let named = Instant::now();
    load(&bench, path, Duration::from_secs(1)).await;
    bench.set_latency(QUICK);

    let heard = Instant::now();
    let answers = load(&bench, path, BINDS_AFTER + WINDOW * 2).await;

    let most = limited.most_arrivals(WINDOW, named + BINDS_AFTER);
    assert!(
        most <= ALLOWED,
        "{most} requests in a window, allowed {ALLOWED}"
    );
    assert_eq!(
        served(&answers),
        answers.len(),
        "the other server takes the rest"
    );
    let taken = limited.arrivals().iter().filter(|at| **at > heard).count();
    let offered = LIMIT * (BINDS_AFTER + WINDOW * 2).as_secs_f64();
    assert!(taken as f64 > offered / 2.0, "{taken} of {offered}");
}

/// Guards against a limit that is exceeded, or left unused, while no other server can take the load;
/// also by gateways that form several cells, which hear of each other's requests late.
#[rstest]
#[case::one_cell(&["a"], GATEWAYS)]
#[case::two_cells(&["a", "b"], 13)]
#[tokio::test]
async fn limits_of_a_whole_service_are_used_and_the_rest_is_refused_with_the_time_to_return(
    #[case] data_centres: &[&str],
    #[case] gateways_in_each: usize,
) {
    let bench = start_with("plain", data_centres, gateways_in_each).await;
    let limit = LIMIT.to_string();
    bench
        .servers
        .iter()
        .for_each(|server| server.set_limit(Some(&limit)));

    let named = Instant::now();
    let answers = load(&bench, "/status/1", BINDS_AFTER + WINDOW * 2).await;

    for server in &bench.servers {
        let most = server.most_arrivals(WINDOW, named + BINDS_AFTER);
        assert!(
            most <= ALLOWED,
            "{most} requests in a window, allowed {ALLOWED}"
        );
    }
    let offered = 2.0 * LIMIT * (BINDS_AFTER + WINDOW * 2).as_secs_f64();
    let served = served(&answers);
    assert!(served as f64 > offered / 2.0, "{served} of {offered}");
    let mut refused = answers.iter().filter(|answer| answer.status() != 200);
    assert!(refused.all(|answer| {
        answer.status() == 503
            && answer
                .header("retry-after")
                .parse()
                .is_ok_and(|delay: f64| delay > 0.0)
    }));
}

/// Guards against a limit that is applied for longer than the server names it.
#[tokio::test]
async fn limit_ends_when_the_server_stops_naming_it() {
    /// Time in which all gateways hear of it and the rate has risen again.
    const RETURN: Duration = Duration::from_secs(6);
    let bench = start("plain").await;
    let [limited, other] = &bench.servers[..] else {
        unreachable!("two servers")
    };
    bench.set_latency(NEEDS_BOTH);
    limited.set_limit(Some(&LIMIT.to_string()));
    load(&bench, "/status/1", BINDS_AFTER).await;

    limited.set_limit(None);
    load(&bench, "/status/1", RETURN).await;
    let before = [limited, other].map(|server| server.arrivals().len());
    load(&bench, "/status/1", WINDOW).await;

    let after = [limited, other].map(|server| server.arrivals().len());
    let taken = after[0] - before[0];
    let all = after[0] + after[1] - before[0] - before[1];
    assert!(taken * 4 > all, "{taken} of {all}");
}

/// Guards against starts that go to less urgent requests of one gateway while more urgent ones of another
/// are refused.
#[tokio::test]
async fn more_urgent_requests_of_any_gateway_get_the_starts_first() {
    /// One of so many requests is urgent: 5 a second, where servers take 8.
    const REQUESTS_TO_URGENT: usize = 16;
    let configuration = Configuration::default()
        .with("/routes/2/priority", json!(0))
        .with("/routes/3/priority", json!(3));
    let bench = start_configured("plain", &["a"], GATEWAYS, &configuration).await;
    let limit = LIMIT.to_string();
    bench
        .servers
        .iter()
        .for_each(|server| server.set_limit(Some(&limit)));
    load(&bench, "/status/1", BINDS_AFTER).await;

    let end = Instant::now() + WINDOW * 2;
    let mut running = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        let is_urgent = number % REQUESTS_TO_URGENT == 0;
        let path = if is_urgent { "/booking/1" } else { "/status/1" };
        // Urgent requests come to one gateway after the other.
        let gateway = (number / REQUESTS_TO_URGENT + number) % GATEWAYS;
        let callers = bench.gateways[gateway].callers();
        let message = request(path, &format!("u-{number}"));
        running.spawn(async move {
            let answer = http::call(callers, message, CALL_LIMIT).await;
            (is_urgent, answer.expect("answered").status())
        });
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    let answers = running.join_all().await;

    let served = |urgent: bool| {
        let mut of_kind = answers.iter().filter(|(is_urgent, _)| *is_urgent == urgent);
        let all = of_kind.clone().count();
        (
            of_kind
                .by_ref()
                .filter(|(_, status)| *status == 200)
                .count(),
            all,
        )
    };
    let (urgent, all_urgent) = served(true);
    let (others, _) = served(false);
    assert_eq!(
        urgent, all_urgent,
        "urgent requests served, beside {others} others"
    );
}
