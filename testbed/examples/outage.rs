//! Measures what an outage of the key-value service does to each kind of request.
//!
//! Offers a steady load of both operators' requests to real processes at today's sizes, before,
//! during and after an outage, and while the store is slow. Each request is offered once. Prints
//! Markdown tables; exits with 0 only if no promise was broken.

use {
    getopts::{Matches, Options},
    miette::{IntoDiagnostic as _, miette},
    std::{fs, process::ExitCode, time::Duration},
    tamarackdale_testbed::{
        deployment::{Deployment, Layout},
        history::History,
        load::{Generator, Record, Schedule, Shot},
        outage::{Calls, Kind, Phase, Report, Timeline},
        store::{Outage, Store},
        traffic::Traffic,
    },
    tokio::time::{Instant, sleep_until},
};

/// What is asked on the command line.
struct Settings {
    seed: u64,
    rate: f64,
    timeline: Timeline,
    outage: Outage,
    slow: Duration,
    output: Option<String>,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let settings = settings()?;
    let deployment = Deployment::start(&Layout::of_today())
        .await
        .into_diagnostic()?;
    let schedule = Schedule::poisson(settings.rate, settings.timeline.length(), settings.seed);
    let mut traffic = Traffic::of_both(settings.seed);
    let shots: Vec<Shot> = (0..schedule.offsets.len())
        .map(|index| traffic.shot(index))
        .collect();
    let generator = Generator::new(&deployment.entries());

    let offering = generator.run(&schedule, |index| shots[index].clone());
    let disturbing = disturb(&deployment.store, &settings);
    let (records, calls) = tokio::join!(offering, disturbing);

    let report = Report::new(&settings.timeline, shots.iter().zip(&records), &calls);
    if let Some(path) = &settings.output {
        let json = serde_json::to_string_pretty(&report).into_diagnostic()?;
        fs::write(path, json).into_diagnostic()?;
    }
    println!(
        "seed {}, {} requests/s, outage: {:?}, slow store: {:?} a call; {} routers, {} sidecars\n",
        settings.seed,
        settings.rate,
        settings.outage,
        settings.slow,
        deployment.routers.len(),
        deployment.sidecars.len(),
    );
    println!("{}", report.markdown());
    print_goodput(&report);
    Ok(check(&deployment, &shots, &records))
}

fn settings() -> miette::Result<Settings> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of arrivals and requests [1]", "NUMBER");
    options.optopt("", "seconds", "length of the outage [60]", "SECONDS");
    options.optopt("", "around", "length of the other phases [20]", "SECONDS");
    options.optopt("", "rate", "requests per second [30]", "NUMBER");
    options.optopt("", "outage", "refuse or hang [refuse]", "KIND");
    options.optopt("", "slow-ms", "delay of the slow store [300]", "NUMBER");
    options.optopt("", "output", "file for the counts in JSON", "FILE");
    let matches = options.parse(std::env::args().skip(1)).into_diagnostic()?;
    let slow = Duration::from_millis(number(&matches, "slow-ms", 300)?);
    let seconds = |name, default| number(&matches, name, default).map(Duration::from_secs);
    let outage = match matches.opt_str("outage").as_deref() {
        None | Some("refuse") => Outage::Refuse,
        Some("hang") => Outage::Hang,
        Some(other) => return Err(miette!("no outage {other:?}")),
    };
    Ok(Settings {
        seed: number(&matches, "seed", 1)?,
        rate: matches.opt_get_default("rate", 30.0).into_diagnostic()?,
        timeline: Timeline::new(
            seconds("around", 20)?,
            seconds("seconds", 60)?,
            !slow.is_zero(),
        ),
        outage,
        slow,
        output: matches.opt_str("output"),
    })
}

fn number(matches: &Matches, name: &str, default: u64) -> miette::Result<u64> {
    matches.opt_get_default(name, default).into_diagnostic()
}

/// Brings about the state of the store in each phase; gives its calls at the end of each.
async fn disturb(store: &Store, settings: &Settings) -> Vec<Calls> {
    let start = Instant::now();
    let mut calls = Vec::new();
    for (phase, end) in settings.timeline.ends() {
        match phase {
            Phase::Onset => store.stop(settings.outage),
            Phase::Return => store.resume(),
            Phase::Slow => store.set_delay(settings.slow),
            Phase::WarmUp | Phase::Before | Phase::Down | Phase::After => {}
        }
        sleep_until(start + end).await;
        calls.push(Calls::of(store));
    }
    store.set_delay(Duration::ZERO);
    calls
}

fn print_goodput(report: &Report) {
    println!("| goodput | before | onset | down | return | after | slow |");
    println!("|---|---|---|---|---|---|---|");
    for kind in Kind::ALL {
        print!("| {kind} |");
        for phase in [
            Phase::Before,
            Phase::Onset,
            Phase::Down,
            Phase::Return,
            Phase::After,
            Phase::Slow,
        ] {
            match report.goodput(phase, kind) {
                Some(part) => print!(" {:.1}% |", part * 100.0),
                None => print!(" – |"),
            }
        }
        println!();
    }
}

fn check(deployment: &Deployment, shots: &[Shot], records: &[Record]) -> ExitCode {
    let history = History::of_run(deployment, shots.iter().zip(records));
    println!("\n{history}");
    match history.violations().is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
