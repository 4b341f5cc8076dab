//! Requests that crash backend servers and come again, against gateways as real processes.

use {
    bytes::Bytes,
    hyper::Method,
    rstest::rstest,
    std::time::{Duration, Instant},
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        http,
        load::{Generator, Record, Shot},
        platform::{Configuration, CrashPoint, Gateway, Server, Site, request},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Gateways of the site.
const GATEWAYS: usize = 3;

/// Backend servers of the service.
const SERVERS: usize = 3;

/// Pause between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Number of sound requests to each deadly one.
const SOUND_TO_DEADLY: usize = 12;

/// Length of the load: several times what a server needs to return.
const LENGTH: Duration = Duration::from_secs(10);

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(6);

/// Time from the third crash until all gateways must know: `stable_ms` of the platform.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Most times that a request may reach a server after that.
const ALLOWED: usize = 3;

/// Body that is deadly to the servers.
const DEADLY: &str = "deadly";

struct Bench {
    _site: Site,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
}

async fn start(service: &str, point: CrashPoint) -> Bench {
    let site = Site::new(&Configuration::default()).expect("starts");
    let servers: Vec<Server> = (1..=SERVERS)
        .map(|number| Server::new(&format!("{service}-{number}"), service).expect("starts"))
        .collect();
    for server in &servers {
        server.set_deadly(DEADLY, point);
        site.register(server);
    }
    let gateways = site.ready_gateways(GATEWAYS).await.expect("ready");
    Bench {
        _site: site,
        gateways,
        servers,
    }
}

/// A sound request and what became of it.
struct Sound {
    sent: Instant,
    answer: Result<http::Answer, http::Fault>,
}

/// Sends sound requests, each with a body of its own, and the same deadly one again and again, to all
/// gateways in turn. Returns what became of the sound ones.
async fn load(bench: &Bench, path: &'static str) -> Vec<Sound> {
    let end = Instant::now() + LENGTH;
    let mut running = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        let callers = bench.gateways[number % GATEWAYS].callers();
        let is_deadly = number % (SOUND_TO_DEADLY + 1) == 0;
        let body = match is_deadly {
            true => Bytes::from_static(DEADLY.as_bytes()),
            false => Bytes::from(format!("sound {number}")),
        };
        let message = request(path, &format!("r-{number}")).map(|_| body);
        let sent = Instant::now();
        running.spawn(async move {
            let answer = http::call(callers, message, CALL_LIMIT).await;
            (!is_deadly).then_some(Sound { sent, answer })
        });
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    running.join_all().await.into_iter().flatten().collect()
}

/// Guards against the same in the own interface, where sidecars send to the backend servers: a retry with
/// another key is another request there. A request with a key of its caller's is quarantined later, since
/// its answer may have been kept.
#[rstest]
#[case::read(Method::GET, "/orders/1", None)]
#[case::booking(Method::POST, "/pickups/1", None)]
#[case::booking_with_a_key(Method::POST, "/pickups/1", Some("key"))]
#[tokio::test]
async fn request_that_crashes_servers_behind_sidecars_is_soon_sent_to_none(
    #[case] method: Method,
    #[case] path: &str,
    #[case] key: Option<&str>,
) {
    let layout = Layout::new(vec![Service::ordre_app(SERVERS)]);
    let deployment = Deployment::start(&layout).await.expect("starts");
    for sidecar in &deployment.sidecars {
        sidecar.plain().set_deadly_path(path);
    }
    let generator = Generator::new(&deployment.entries());
    let started = Instant::now();

    let mut records = Vec::new();
    while started.elapsed() < LENGTH {
        let number = records.len();
        let shot = Shot::plain("ordre-app", "joiner-example-key", method.clone(), path, "");
        let shot = shot.with_tier("status");
        let shot = match key {
            Some(key) => shot.with_key(&format!("{key}-{number}")),
            None => shot,
        };
        let now = tokio::time::Instant::now();
        records.push(generator.offer(now, number, &shot).await);
        sleep(REQUEST_INTERVAL * SOUND_TO_DEADLY as u32).await;
    }

    let calls = deployment.sidecars.iter().flat_map(|sidecar| {
        let calls = sidecar.plain().calls();
        calls.into_iter().map(|call| call.received)
    });
    let mut calls: Vec<Duration> = calls.collect();
    calls.sort();
    let known = calls[2] + KNOWN_AFTER;
    let later = calls.iter().filter(|at| **at > known).count();
    assert!(later <= ALLOWED, "{later} runs, {} in all", calls.len());
    eprintln!(
        "DBG later {later} calls {} offered {}",
        calls.len(),
        records.len()
    );
    let not_run = records.iter();
    let not_run = not_run.filter(|record| record.verdict == Some(Verdict::NotRun));
    assert!(
        calls.len() <= records.len() - not_run.count(),
        "what was not run did not run"
    );
}

/// Guards against sound requests that are refused in place of the deadly one behind sidecars, and against
/// refusals that callers cannot rely on.
#[tokio::test]
async fn requests_beside_a_deadly_one_behind_sidecars_are_served_once_it_is_refused() {
    const PATH: &str = "/orders/1";
    let layout = Layout::new(vec![Service::ordre_app(SERVERS)]);
    let deployment = Deployment::start(&layout).await.expect("starts");
    for sidecar in &deployment.sidecars {
        sidecar.plain().set_deadly_path(PATH);
    }
    let entries = deployment.entries();

    let start = tokio::time::Instant::now();
    let mut running = JoinSet::new();
    let mut number = 0;
    while start.elapsed() < LENGTH {
        let generator = Generator::new(&entries);
        let is_deadly = number % (SOUND_TO_DEADLY + 1) == 0;
        let path = match is_deadly {
            true => PATH.to_owned(),
            // A few polls that come again and again, as the deadly one does.
            false => format!("/orders/{}", 2 + number % 5),
        };
        let shot = Shot::plain("ordre-app", "joiner-example-key", Method::GET, &path, "");
        let shot = shot.with_tier("status");
        running.spawn(async move { (is_deadly, generator.offer(start, number, &shot).await) });
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    let records = running.join_all().await;

    let is_refused = |record: &Record| record.reason.as_deref() == Some("quarantined");
    let (deadly, sound): (Vec<_>, Vec<_>) = records.iter().partition(|(is_deadly, _)| *is_deadly);
    let refused = deadly.iter().map(|(_, record)| record);
    let refused: Vec<&Record> = refused.filter(|record| is_refused(record)).collect();
    let first = refused.iter().map(|record| record.offered).min();
    let first = first.expect("the deadly request is refused");
    assert!(refused.iter().all(|record| {
        record.verdict == Some(Verdict::NotRun)
            && record.status == Some(503)
            && record.retry_after > Some(Duration::from_secs(60))
    }));
    let quarantined = sound.iter().filter(|(_, record)| is_refused(record));
    assert_eq!(quarantined.count(), 0, "no sound request is quarantined");
    // The servers that crashed last are back by then.
    let known = first + KNOWN_AFTER;
    let unserved = sound
        .iter()
        .filter(|(_, record)| record.offered > known && !record.whole);
    assert_eq!(unserved.count(), 0, "sound requests after that are served");
}

/// Guards against a request that crashes one server after the other each time that it comes again.
#[rstest]
#[case::status_before_the_head("plain", "/status/1", CrashPoint::BeforeHead)]
#[case::status_in_the_body("plain", "/status/1", CrashPoint::AfterHead)]
#[case::booking("plain", "/booking/1", CrashPoint::BeforeHead)]
#[case::stream_before_the_head("engine", "/stream/1", CrashPoint::BeforeHead)]
#[case::stream_after_an_event("engine", "/stream/1", CrashPoint::AfterFirstEvent)]
#[case::resumable_stream("engine", "/resumable/1", CrashPoint::AfterHead)]
#[tokio::test]
async fn request_that_crashes_servers_is_soon_sent_to_none(
    #[case] service: &str,
    #[case] path: &'static str,
    #[case] point: CrashPoint,
) {
    let bench = start(service, point).await;

    let sound = load(&bench, path).await;

    let mut crashes: Vec<Instant> = bench.servers.iter().flat_map(Server::crashes).collect();
    crashes.sort();
    let third = *crashes.get(2).expect("three crashes");
    let known = third + KNOWN_AFTER;
    let runs = bench.servers.iter().flat_map(Server::runs);
    let later = runs.filter(|run| run.body == DEADLY && run.at > known);
    let later = later.count();
    assert!(later <= ALLOWED, "{later} runs, {} crashes", crashes.len());
    let refused = sound.iter().filter(|sound| {
        let answer = sound.answer.as_ref();
        sound.sent > known && answer.map_or(true, |answer| answer.status() != 200)
    });
    assert_eq!(refused.count(), 0, "sound requests after that are served");
    let quarantined = sound.iter().filter(|sound| {
        let answer = sound.answer.as_ref();
        answer.is_ok_and(|answer| answer.text().contains("quarantined"))
    });
    assert_eq!(quarantined.count(), 0, "no sound request is quarantined");
}
