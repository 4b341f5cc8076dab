//! Measures what the grant costs and what it saves, on real processes at today's sizes.
//!
//! First the time between asking for a grant and the dispatch under a steady load. Then sidecars
//! are killed one after the other, each in a burst that makes requests wait, and what waited there
//! is followed. Prints Markdown tables; exits with 0 only if no promise was broken.

use {
    getopts::Options,
    miette::IntoDiagnostic as _,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    serde_json::{Value, json},
    std::{
        fs,
        process::ExitCode,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Standin},
        grant::{Death, Toll, Waits},
        history::History,
        load::{Generator, Record, Schedule, Shot, Summary},
        outage::Kind,
        process::Process,
        sample::{Quantiles, Sample},
        traffic::{self, Traffic},
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// Requests that each sidecar runs at once while sidecars are killed, so that others wait.
const BATCH_LIMIT: &str = "4";

/// Time from one kill to the next.
const KILL_INTERVAL: Duration = Duration::from_secs(6);

/// Time from a burst to the kill in it.
const BURST_LEAD: Duration = Duration::from_millis(300);

/// Time from a kill to the start of the successor.
const ABSENCE: Duration = Duration::from_secs(2);

/// What is asked on the command line.
struct Settings {
    seed: u64,
    length: Duration,
    rate: f64,
    kills: u32,
    burst: usize,
    output: Option<String>,
}

/// A run under load, with what its callers saw.
struct Run {
    deployment: Deployment,
    shots: Vec<Shot>,
    records: Vec<Record>,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let settings = settings()?;
    println!(
        "seed {}, {} requests/s; {} kills, each in a burst of {} requests\n",
        settings.seed, settings.rate, settings.kills, settings.burst,
    );

    let steady = run_steady(&settings).await?;
    let engines = waits(&steady, |standin| matches!(standin, Standin::Engine(_)));
    let plain = waits(&steady, |standin| matches!(standin, Standin::Plain(_)));
    print_waits(&engines, &plain, &steady);
    let mut broken = violations(&steady);
    drop(steady);

    let (deaths, start, killed) = run_killing(&settings).await?;
    let lines = logs(
        killed
            .deployment
            .routers
            .iter()
            .map(|router| &router.process),
    );
    let mut toll = Toll::default();
    for death in &deaths {
        toll.add(death.toll(&lines, &killed.records, start));
    }
    print_toll(deaths.len(), &toll, &killed.records);
    broken += violations(&killed);

    if let Some(path) = &settings.output {
        let counts = json!({
            "engines": engines.quantiles(),
            "plain": plain.quantiles(),
            "kills": deaths.len(),
            "toll": toll,
            "violations": broken,
        });
        fs::write(path, counts.to_string()).into_diagnostic()?;
    }
    Ok(match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

fn settings() -> miette::Result<Settings> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of arrivals and requests [1]", "NUMBER");
    options.optopt("", "seconds", "length of the steady load [30]", "SECONDS");
    options.optopt("", "rate", "requests per second [30]", "NUMBER");
    options.optopt("", "kills", "sidecars to kill [8]", "COUNT");
    options.optopt("", "burst", "questions around each kill [300]", "COUNT");
    options.optopt("", "output", "file for the counts in JSON", "FILE");
    let matches = options.parse(std::env::args().skip(1)).into_diagnostic()?;
    let seconds = matches.opt_get_default("seconds", 30).into_diagnostic()?;
    Ok(Settings {
        seed: matches.opt_get_default("seed", 1).into_diagnostic()?,
        length: Duration::from_secs(seconds),
        rate: matches.opt_get_default("rate", 30.0).into_diagnostic()?,
        kills: matches.opt_get_default("kills", 8).into_diagnostic()?,
        burst: matches.opt_get_default("burst", 300).into_diagnostic()?,
        output: matches.opt_str("output"),
    })
}

async fn run_steady(settings: &Settings) -> miette::Result<Run> {
    let deployment = Deployment::start(&Layout::of_today())
        .await
        .into_diagnostic()?;
    let schedule = Schedule::poisson(settings.rate, settings.length, settings.seed);
    let mut traffic = Traffic::of_both(settings.seed);
    let shots = draw(&mut traffic, 0..schedule.offsets.len());
    let generator = Generator::new(&deployment.entries());
    let records = generator.run(&schedule, |index| shots[index].clone()).await;
    Ok(Run {
        deployment,
        shots,
        records,
    })
}

/// Kills sidecars under load; also gives the start of the records' times, since the epoch.
async fn run_killing(settings: &Settings) -> miette::Result<(Vec<Death>, Duration, Run)> {
    let layout = Layout::of_today().with_sidecar_flags(&["--batch-limit", BATCH_LIMIT]);
    let mut deployment = Deployment::start(&layout).await.into_diagnostic()?;
    let length = KILL_INTERVAL * (settings.kills + 1);
    let mut schedule = Schedule::poisson(settings.rate, length, settings.seed);
    for kill in 0..settings.kills {
        let at = KILL_INTERVAL * (kill + 1) - BURST_LEAD;
        schedule = schedule.merged(Schedule::burst(at, settings.burst));
    }
    let mut traffic = Traffic::new(settings.seed, questions());
    let shots = draw(&mut traffic, 0..schedule.offsets.len());
    let generator = Generator::new(&deployment.entries());
    let offered = shots.clone();
    let start = since_epoch();
    let offering = tokio::spawn(async move {
        generator
            .run(&schedule, |index| offered[index].clone())
            .await
    });
    let deaths = kill_in_turn(&mut deployment, settings).await?;
    let records = offering.await.into_diagnostic()?;
    let run = Run {
        deployment,
        shots,
        records,
    };
    Ok((deaths, start, run))
}

/// Kills sidecars of model engines in the order of the seed, each replaced after a while.
async fn kill_in_turn(
    deployment: &mut Deployment,
    settings: &Settings,
) -> miette::Result<Vec<Death>> {
    let start = Instant::now();
    let mut generator = StdRng::seed_from_u64(settings.seed);
    let mut deaths = Vec::new();
    for kill in 0..settings.kills {
        sleep_until(start + KILL_INTERVAL * (kill + 1)).await;
        let service = ["slibe-llm", "tamarack-pool"][kill as usize % 2];
        let sidecars = deployment.sidecars.iter_mut();
        let mut sidecars: Vec<_> = sidecars
            .filter(|sidecar| sidecar.service == service)
            .collect();
        let drawn = generator.random_range(0..sidecars.len());
        let sidecar = &mut sidecars[drawn];
        let at = since_epoch();
        sidecar.kill().into_diagnostic()?;
        deaths.push(Death {
            instance: sidecar.name.clone(),
            at,
        });
        sleep(ABSENCE).await;
        sidecar.restart(&deployment.list).into_diagnostic()?;
    }
    Ok(deaths)
}

/// The short questions of both operators, which are not kept for their callers.
fn questions() -> Vec<(u32, traffic::Kind)> {
    let kinds = [traffic::workshop(), traffic::snow_clearance()].concat();
    let is_short = |kind: &traffic::Kind| match kind {
        traffic::Kind::Question(question) => {
            ["site", "workshop", "resident"].contains(&question.tier)
        }
        traffic::Kind::Order(_) => false,
    };
    kinds
        .into_iter()
        .filter(|(_, kind)| is_short(kind))
        .collect()
}

fn draw(traffic: &mut Traffic, indices: std::ops::Range<usize>) -> Vec<Shot> {
    indices.map(|index| traffic.shot(index)).collect()
}

fn since_epoch() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}

fn logs<'a>(processes: impl Iterator<Item = &'a Process>) -> Vec<Value> {
    processes.flat_map(Process::logs).collect()
}

/// Waits at the sidecars of these backend servers.
fn waits(run: &Run, is_meant: impl Fn(&Standin) -> bool) -> Waits {
    let sidecars = run.deployment.sidecars.iter();
    let meant = sidecars.filter(|sidecar| is_meant(&sidecar.backend_server));
    Waits::of(&logs(meant.map(|sidecar| &sidecar.process)))
}

fn print_waits(engines: &Waits, plain: &Waits, run: &Run) {
    println!("| time | requests | p50 ms | p99 ms | longest ms |");
    println!("|---|---|---|---|---|");
    print_quantiles("grant, model engine", engines.unclaimed.quantiles());
    print_quantiles(
        "grant, model engine, with claim",
        engines.claimed.quantiles(),
    );
    print_quantiles("grant, plain service", plain.unclaimed.quantiles());
    print_quantiles(
        "grant, plain service, with claim",
        plain.claimed.quantiles(),
    );
    let answers = run.shots.iter().zip(&run.records);
    let tokens: Sample = answers
        .filter(|(shot, _)| matches!(Kind::of(shot), Kind::Question | Kind::Kept))
        .filter_map(|(_, record)| record.first_byte_latency())
        .collect();
    print_quantiles("first token, from the offer", tokens.quantiles());
    println!();
}

fn print_quantiles(name: &str, quantiles: Quantiles) {
    println!(
        "| {name} | {} | {:.2} | {:.2} | {:.2} |",
        quantiles.count, quantiles.p50_ms, quantiles.p99_ms, quantiles.max_ms,
    );
}

fn print_toll(kills: usize, toll: &Toll, records: &[Record]) {
    let summary = Summary::of(records);
    println!(
        "| sidecars killed | offered | waited at the dead | of these whole in time | whole late | not-run | lost | granted at the dead and lost |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    println!(
        "| {kills} | {} | {} | {} | {} | {} | {} | {} |",
        summary.offered,
        toll.waiting,
        toll.saved_in_time,
        toll.saved_late,
        toll.refused,
        toll.waiting_lost,
        toll.granted_lost,
    );
    println!(
        "\nall requests: {} whole, {} in time, {} not-run, {} may-have-run, {} broken",
        summary.whole, summary.in_time, summary.not_run, summary.may_have_run, summary.broken,
    );
}

fn violations(run: &Run) -> usize {
    let history = History::of_run(&run.deployment, run.shots.iter().zip(&run.records));
    println!("{history}\n");
    history.violations().len()
}
