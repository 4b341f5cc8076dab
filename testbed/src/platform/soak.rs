//! Random, overlapping faults on a site under load. The invariants are checked on what callers and
//! backend servers observed.

mod demands;
mod drill;
mod load;
mod world;

use {
    self::{demands::Demands, drill::Drill, load::Call, world::World},
    super::Server,
    crate::{http, process},
    derive_more::{Display, Error, From},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{
        collections::HashMap,
        io,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Range of the pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 50..500;

/// Interval at which the active faults are checked.
const TICK: Duration = Duration::from_millis(20);

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

/// Result of a soak.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success and whole.
    pub served: usize,
    /// Faults that were injected, in order.
    pub faults: Vec<String>,
    /// Violated invariants.
    pub violations: Vec<String>,
}

/// Runs a soak for `length` with the faults that `seed` draws.
///
/// # Errors
///
/// Fails when a process cannot be started or signalled.
pub async fn run(seed: u64, length: Duration) -> Result<Report, Fault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut world = World::new().await?;
    Demands::arm(world.servers());
    let mut demands = Demands::draw(seed, length);
    let load = tokio::spawn(load::run(world.callers(), seed, length));
    let mut report = Report::default();
    let start = Instant::now();
    let mut next = start;
    let mut drill = Drill::draw(seed, length);
    while start.elapsed() < length {
        world.end_due()?;
        report.faults.extend(drill.step(&world, start.elapsed()));
        report
            .faults
            .extend(demands.step(world.servers(), start.elapsed()));
        if Instant::now() >= next {
            report.faults.extend(world.begin(&mut random)?);
            next = Instant::now() + millis(&mut random, FAULT_PAUSE_MS);
        }
        sleep(TICK).await;
    }
    let calls = load.await.unwrap_or_default();
    world.end_all().await?;
    check(&calls, world.servers(), &mut report);
    let violations = demands.check(world.servers(), world.disturbed_gateways());
    report.violations.extend(violations);
    for gateway in world.gateways() {
        if !gateway.wait_ready(true).await {
            report
                .violations
                .push("a gateway is not ready again".to_owned());
        }
    }
    Ok(report)
}

fn millis(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
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
        if !call.is_deadly && answer.text().contains("quarantined") {
            let text = format!("{} was quarantined and is sound", call.id);
            report.violations.push(text);
        }
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
