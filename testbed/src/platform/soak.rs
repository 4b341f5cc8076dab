//! Random, overlapping faults on a site under load. The invariants are checked on what callers and
//! backend servers observed.

mod answers;
mod changes;
mod check;
mod demands;
mod drill;
mod load;
mod oddities;
mod release;
mod strict;
mod world;

use {
    self::{
        answers::Answers, changes::Changes, demands::Demands, drill::Drill, oddities::Oddities,
        release::Release, world::World,
    },
    crate::process,
    derive_more::{Display, Error, From},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{
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
const EVENTS: u64 = 8;

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
    /// Tries that took a stream up again.
    pub take_ups: usize,
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
    let mut release = Release::draw(seed, length, &world);
    let mut changes = Changes::draw(seed, length, world.gateways().len());
    let mut oddities = Oddities::new(seed);
    let mut answers = Answers::new(seed);
    while start.elapsed() < length {
        world.end_due()?;
        let elapsed = start.elapsed();
        report.faults.extend(drill.step(&world, elapsed));
        report.faults.extend(release.step(&mut world, elapsed));
        report.faults.extend(changes.step(&mut world, elapsed)?);
        report.faults.extend(oddities.step(&mut world, elapsed));
        report.faults.extend(answers.step(&mut world, elapsed));
        report.faults.extend(demands.step(world.servers(), elapsed));
        if Instant::now() >= next {
            report.faults.extend(world.begin(&mut random)?);
            next = Instant::now() + millis(&mut random, FAULT_PAUSE_MS);
        }
        sleep(TICK).await;
    }
    let calls = load.await.unwrap_or_default();
    world.end_all().await?;
    check::calls(&calls, &world, &mut report);
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
