//! Backend servers that answer without end, against gateways, routers and sidecars as real processes.

use {
    hyper::Method,
    rstest::rstest,
    std::time::Duration,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        flood::Flood,
        load::{Generator, Record, Schedule, Shot},
        platform::{Behaviour, Configuration, Gateway, Server, Site},
    },
    tokio::time::{Instant, sleep},
};

/// Requests that are answered without end at the same time.
const FLOODED: usize = 50;

/// Requests that are answered without end by way of one sidecar at the same time.
const FLOODED_AT_SIDECAR: usize = 8;

/// Most memory that a process may take meanwhile, in bytes, as in the settings of a gateway.
const MOST_MEMORY: u64 = 182_000_000;

/// Longest time for an answer of a sound server meanwhile: that of its route.
const MOST_LATENCY: Duration = Duration::from_secs(3);

/// Longest time for an answer by way of a router and a sidecar.
const CALL_LIMIT: Duration = Duration::from_secs(4);

struct Bench {
    _site: Site,
    gateway: Gateway,
    engine: Server,
    plain: Server,
}

/// A site with an engine, a plain server and a gateway that is ready.
async fn start() -> Bench {
    let site = Site::new(&Configuration::default()).expect("starts");
    let server = |service| Server::new(&format!("{service}-0"), service).expect("starts");
    let (engine, plain) = (server("engine"), server("plain"));
    for server in [&engine, &plain] {
        server.set_latency(Duration::from_millis(1));
        site.register(server);
    }
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    Bench {
        _site: site,
        gateway,
        engine,
        plain,
    }
}

impl Bench {
    /// Sends requests that are answered without end, and returns the statuses of whole answers with their
    /// times.
    async fn send_flooded(&self, path: &str) -> Vec<(Option<u16>, Duration)> {
        let calls = (0..FLOODED).map(|number| async move {
            let sent = Instant::now();
            let answer = self.gateway.call(path, &format!("f-{number}")).await;
            (answer.ok().map(|answer| answer.status()), sent.elapsed())
        });
        futures_util::future::join_all(calls).await
    }

    /// Sends requests to a sound server for a second and a half. Returns statuses and times.
    async fn send_sound(&self, path: &str) -> Vec<(Option<u16>, Duration)> {
        let mut answers = Vec::new();
        for number in 0..30 {
            let sent = Instant::now();
            let answer = self.gateway.call(path, &format!("s-{number}")).await;
            let status = answer.ok().map(|answer| answer.status());
            answers.push((status, sent.elapsed()));
            sleep(Duration::from_millis(50).saturating_sub(sent.elapsed())).await;
        }
        answers
    }
}

/// Guards against a gateway that keeps bytes without end until it runs out of memory, that is busy with them
/// while others wait, or that passes them on as a whole answer.
#[rstest]
#[tokio::test]
async fn answers_without_end_take_bounded_memory_and_hold_up_nobody(
    #[values("/stream/1", "/booking/1")] path: &str,
    #[values(
        Flood::HeaderLine,
        Flood::HeaderLines,
        Flood::Interim,
        Flood::Body,
        Flood::SmallChunks,
        Flood::ChunkExtension,
        Flood::Trailers,
        Flood::EventLine,
        Flood::EventLines,
        Flood::Comments
    )]
    flood: Flood,
) {
    let bench = start().await;
    let (flooding, sound_path) = match path {
        "/stream/1" => (&bench.engine, "/status/1"),
        _ => (&bench.plain, "/resumable/1"),
    };
    flooding.set_behaviour(Behaviour::Floods(flood));

    let (flooded, sound) =
        futures_util::join!(bench.send_flooded(path), bench.send_sound(sound_path));
    let usage = bench.gateway.process.usage().expect("running");

    let is_success = |(status, _): &&(Option<u16>, Duration)| *status == Some(200);
    assert_eq!(flooded.iter().filter(is_success).count(), 0, "{flooded:?}");
    let is_late = |(status, elapsed): &&(Option<u16>, Duration)| {
        *status != Some(200) || *elapsed > MOST_LATENCY
    };
    assert_eq!(sound.iter().filter(is_late).count(), 0, "{sound:?}");
    let peak = usage.peak_memory_bytes;
    assert!(peak < MOST_MEMORY, "{} MB", peak / 1024 / 1024);
    if flood == Flood::Interim {
        // They are refused long before the time of their route is over.
        let longest = flooded.iter().map(|(_, elapsed)| *elapsed).max();
        assert!(longest.is_some_and(|it| it < MOST_LATENCY), "{longest:?}");
    }
}

/// Guards against a sound answer that is lost because its server sent some hundred interim responses while it
/// worked.
#[rstest]
#[case::plain("/booking/1")]
#[case::stream("/stream/1")]
#[tokio::test]
async fn answer_after_many_interim_responses_is_passed_on(#[case] path: &str) {
    let bench = start().await;
    for server in [&bench.engine, &bench.plain] {
        server.set_behaviour(Behaviour::Hints(500));
    }

    for number in 0..10 {
        let answer = bench.gateway.call(path, &format!("h-{number}")).await;
        assert_eq!(answer.expect("whole").status(), 200, "{number}");
    }
}

/// Sends bookings at once by way of a router and a sidecar.
async fn book(deployment: &Deployment, count: usize) -> Vec<Record> {
    let generator = Generator::new(&deployment.entries()).with_limit(CALL_LIMIT);
    let shot = Shot::plain(
        "ordre-app",
        "joiner-example-key",
        Method::POST,
        "/pickups",
        "{}",
    );
    let shot = shot.with_tier("order");
    let schedule = Schedule::burst(Duration::ZERO, count);
    generator.run(&schedule, |_| shot.clone()).await
}

/// Guards against a sidecar or router that keeps bytes without end until it runs out of memory, that passes
/// them on as a whole answer, or that does not serve on after them.
#[rstest]
#[tokio::test]
async fn answers_without_end_behind_a_sidecar_take_bounded_memory(
    #[values(
        Flood::HeaderLine,
        Flood::HeaderLines,
        Flood::Interim,
        Flood::Body,
        Flood::SmallChunks,
        Flood::ChunkExtension,
        Flood::Trailers,
        Flood::EventLine,
        Flood::EventLines,
        Flood::Comments
    )]
    flood: Flood,
) {
    let layout = Layout::new(vec![Service::ordre_app(1)]).with_routers(1);
    let deployment = Deployment::start(&layout).await.expect("starts");
    let plain = deployment.sidecars[0].plain();
    plain.set_flood(Some(flood));

    let flooded = book(&deployment, FLOODED_AT_SIDECAR).await;
    plain.set_flood(None);
    let sound = book(&deployment, 1).await;

    let processes = [
        &deployment.sidecars[0].process,
        &deployment.routers[0].process,
    ];
    let peaks = processes.map(|process| process.usage().expect("running").peak_memory_bytes);
    assert!(
        flooded
            .iter()
            .all(|record| !record.whole && !record.is_corrupt()),
        "{flooded:?}"
    );
    assert!(sound[0].whole, "{sound:?}");
    assert!(peaks.iter().all(|peak| *peak < MOST_MEMORY), "{peaks:?}");
}
