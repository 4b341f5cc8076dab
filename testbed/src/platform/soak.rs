//! Random faults on a site under load, and the promises checked from what callers and backend
//! servers saw.

use {
    super::{Behaviour, Configuration, Gateway, Server, Site, request},
    crate::{http, process, store::Outage},
    derive_more::{Display, Error, From},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

const GATEWAYS: usize = 3;
const SERVERS_PER_SERVICE: usize = 3;

/// Pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Longest and shortest pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..700;

/// Longest and shortest duration of a fault, in milliseconds.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 200..1_500;

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(6);

/// Time within which a process that was told to end does.
const END_LIMIT: Duration = Duration::from_secs(7);

/// Events of each stream.
const EVENTS: u64 = 5;

/// Why a soak could not be run.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The operating system refused something.
    Io(io::Error),
    /// A process could not be started or signalled.
    Process(process::Fault),
}

/// What a soak showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success and whole.
    pub served: usize,
    /// Faults brought about, in order.
    pub faults: Vec<String>,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// One request and what became of it.
struct Call {
    id: String,
    kind: &'static str,
    answer: Result<http::Answer, http::Fault>,
}

/// Kinds of requests, by the prefix of their route.
const KINDS: [&str; 4] = ["booking", "status", "stream", "resumable"];

/// Runs a soak for `length` with the faults that `seed` draws.
///
/// # Errors
///
/// Fails when a process cannot be started or signalled.
pub async fn run(seed: u64, length: Duration) -> Result<Report, Fault> {
    let mut random = StdRng::seed_from_u64(seed);
    let site = Site::new(&Configuration::default())?;
    let servers = servers()?;
    servers.iter().for_each(|server| site.register(server));
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        gateways.push(site.gateway(&format!("gateway-{number}"))?);
    }
    for gateway in &gateways {
        gateway.wait_ready(true).await;
    }
    let callers: Vec<SocketAddr> = gateways.iter().map(Gateway::callers).collect();
    let load = tokio::spawn(load(callers, seed, length));
    let mut report = Report::default();
    let start = Instant::now();
    while start.elapsed() < length {
        let fault = disturb(&site, &servers, &mut gateways, &mut random).await?;
        report.faults.push(fault);
        sleep(millis(&mut random, FAULT_PAUSE_MS)).await;
    }
    heal(&site, &servers);
    let calls = load.await.unwrap_or_default();
    check(&calls, &servers, &mut report);
    for gateway in &gateways {
        if !gateway.wait_ready(true).await {
            report
                .violations
                .push("a gateway is not ready again".to_owned());
        }
    }
    Ok(report)
}

fn servers() -> io::Result<Vec<Server>> {
    let mut servers = Vec::new();
    for service in ["engine", "plain"] {
        for number in 0..SERVERS_PER_SERVICE {
            let server = Server::new(&format!("{service}-{number}"), service)?;
            server.set_events(EVENTS);
            servers.push(server);
        }
    }
    Ok(servers)
}

fn millis(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Sends requests of all kinds to all gateways.
async fn load(callers: Vec<SocketAddr>, seed: u64, length: Duration) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed.wrapping_add(1));
    let mut running = JoinSet::new();
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < length {
        number += 1;
        let id = format!("s-{number}");
        let kind = KINDS.choose(&mut random).copied().unwrap_or(KINDS[0]);
        let address = callers[random.random_range(0..callers.len())];
        running.spawn(async move {
            let message = request(&format!("/{kind}/1"), &id);
            let answer = http::call(address, message, CALL_LIMIT).await;
            Call { id, kind, answer }
        });
        sleep(REQUEST_INTERVAL).await;
    }
    running.join_all().await
}

/// Brings about one fault, and ends it where it does not end by itself.
async fn disturb(
    site: &Site,
    servers: &[Server],
    gateways: &mut [Gateway],
    random: &mut StdRng,
) -> Result<String, Fault> {
    let length = millis(random, FAULT_LENGTH_MS);
    let server = &servers[random.random_range(0..servers.len())];
    let chosen = random.random_range(0..gateways.len());
    let gateway = &mut gateways[chosen];
    let name = match random.random_range(0..8) {
        0 | 1 => {
            let behaviours = [
                Behaviour::Full,
                Behaviour::LosesAnswers,
                Behaviour::MixesAnswers,
                Behaviour::Unsigned,
                Behaviour::BreaksOff,
                Behaviour::Fails,
                Behaviour::Silent,
            ];
            let behaviour = *behaviours.choose(random).unwrap_or(&Behaviour::Full);
            server.set_behaviour(behaviour);
            sleep(length).await;
            server.set_behaviour(Behaviour::Sound);
            format!("{} {behaviour:?}", server.id())
        }
        2 => {
            let outage = match random.random_bool(0.5) {
                true => Outage::Refuse,
                false => Outage::Hang,
            };
            site.store.stop(outage);
            sleep(length).await;
            site.store.resume();
            format!("store {outage:?}")
        }
        3 => {
            site.store.lose_answers(random.random_range(1..5));
            "store loses answers".to_owned()
        }
        4 => {
            site.set_state(server, "draining");
            sleep(length).await;
            site.register(server);
            format!("{} drains", server.id())
        }
        5 => {
            gateway.process.pause()?;
            sleep(length).await;
            gateway.process.resume_execution()?;
            format!("{} paused", gateway.process.name())
        }
        6 => {
            gateway.process.kill()?;
            sleep(length / 4).await;
            gateway.restart()?;
            format!("{} killed", gateway.process.name())
        }
        _ => {
            gateway.process.terminate()?;
            gateway.process.wait(END_LIMIT)?;
            gateway.restart()?;
            format!("{} told to end", gateway.process.name())
        }
    };
    Ok(format!("{name} ({} ms)", length.as_millis()))
}

fn heal(site: &Site, servers: &[Server]) {
    site.store.resume();
    for server in servers {
        server.set_behaviour(Behaviour::Sound);
        site.register(server);
    }
}

fn check(calls: &[Call], servers: &[Server], report: &mut Report) {
    let mut runs: HashMap<String, Vec<&str>> = HashMap::new();
    for server in servers {
        for run in server.runs() {
            runs.entry(run.id).or_default().push(server.id());
        }
    }
    report.requests = calls.len();
    for call in calls {
        let ran = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        if matches!(call.kind, "booking" | "stream") && ran.len() > 1 {
            report
                .violations
                .push(format!("{} ran at {ran:?}", call.id));
        }
        let Ok(answer) = &call.answer else {
            continue;
        };
        if [408, 421, 429, 503].contains(&answer.status()) && !ran.is_empty() {
            let text = format!("{} was refused and ran at {ran:?}", call.id);
            report.violations.push(text);
        }
        if answer.status() == 200 {
            report.served += 1;
            if let Some(problem) = problem(call, answer, ran) {
                report.violations.push(format!("{}: {problem}", call.id));
            }
        }
    }
}

/// What is wrong with a successful answer, if anything is.
fn problem(call: &Call, answer: &http::Answer, ran: &[&str]) -> Option<String> {
    if answer.header("attempt-id") != call.id || answer.header("response-seal").is_empty() {
        return Some("answered as another request".to_owned());
    }
    let text = answer.text();
    if matches!(call.kind, "booking" | "status") {
        let is_own = ran.iter().any(|server| text.starts_with(server));
        return (!is_own).then(|| format!("answer {text:?} is of no server that ran it"));
    }
    let ids: Vec<u64> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    let expected: Vec<u64> = (1..=EVENTS).collect();
    (ids != expected).then(|| format!("events {ids:?}"))
}
