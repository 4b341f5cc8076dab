//! Random faults from a seed under traffic of both operators; the history is checked at the end.
//!
//! Exits with 0 only if no promise was broken.

use {
    getopts::Options,
    miette::{IntoDiagnostic as _, miette},
    std::{collections::BTreeMap, process::ExitCode, str::FromStr, time::Duration},
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        engine::Hardware,
        history::{History, is_idempotent},
        injection::Injector,
        load::{Generator, Record, Schedule, Shot, Summary, Table},
        traffic::Traffic,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Longest that one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// Calls with one key, at most.
const MAX_CALLS: usize = 4;

/// Pause of a caller before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How often faults are looked after.
const STEP: Duration = Duration::from_millis(20);

/// What is asked on the command line.
struct Settings {
    seed: u64,
    length: Duration,
    rate: f64,
}

/// All calls with one key.
struct Exchange {
    shot: Shot,
    records: Vec<Record>,
}

fn layout() -> Layout {
    let quick = |hardware: Hardware| hardware.with_speedup(4.0).with_max_batch(8);
    let unlike = [
        quick(Hardware::older()),
        quick(Hardware::newer()),
        quick(Hardware::newer()),
    ];
    Layout::new(vec![
        Service::slibe_llm(&unlike),
        Service::ordre_app(2),
        Service::tamarack_pool(&unlike[1..]),
        Service::dispatch_app(2),
    ])
    .with_routers(3)
    .with_proxies()
}

fn settings() -> miette::Result<Settings> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of traffic and faults [1]", "NUMBER");
    options.optopt(
        "",
        "length-s",
        "how long requests are offered [60]",
        "SECONDS",
    );
    options.optopt("", "rate", "requests per second [20]", "NUMBER");
    let matches = options.parse(std::env::args().skip(1)).into_diagnostic()?;
    fn number<T: FromStr>(text: Option<String>, default: T) -> miette::Result<T> {
        let Some(text) = text else {
            return Ok(default);
        };
        text.parse()
            .map_err(|_| miette!("{text:?} is not a number"))
    }
    Ok(Settings {
        seed: number(matches.opt_str("seed"), 1)?,
        length: Duration::from_secs(number(matches.opt_str("length-s"), 60)?),
        rate: number(matches.opt_str("rate"), 20.0)?,
    })
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let settings = settings()?;
    let mut deployment = Deployment::start(&layout()).await.into_diagnostic()?;
    let generator = Generator::new(&deployment.entries()).with_limit(CALL_LIMIT);
    let schedule = Schedule::poisson(settings.rate, settings.length, settings.seed);
    let mut traffic = Traffic::of_both(settings.seed);
    let shots = (0..schedule.offsets.len())
        .map(|index| traffic.shot(index))
        .collect();
    let offered = tokio::spawn(offer_all(generator, schedule, shots));
    let mut injector = Injector::new(settings.seed);

    let start = Instant::now();
    while start.elapsed() < settings.length {
        injector.step(&mut deployment).await.into_diagnostic()?;
        sleep(STEP).await;
    }
    injector
        .repair_all(&mut deployment)
        .await
        .into_diagnostic()?;
    let exchanges = offered.await.into_diagnostic()?;

    Ok(report(&settings, &deployment, &injector, &exchanges))
}

async fn offer_all(generator: Generator, schedule: Schedule, shots: Vec<Shot>) -> Vec<Exchange> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for (index, (offset, shot)) in schedule.offsets.iter().zip(shots).enumerate() {
        sleep_until(start + *offset).await;
        calls.spawn(persist(generator.clone(), start, index, shot));
    }
    calls.join_all().await
}

/// Calls with the same key until the answer is whole, each time another router.
async fn persist(generator: Generator, start: Instant, index: usize, shot: Shot) -> Exchange {
    let mut records = Vec::new();
    while records.len() < MAX_CALLS {
        let record = generator.offer(start, index + records.len(), &shot).await;
        let is_over = record.whole || record.reason.as_deref() == Some("infeasible");
        let pause = record.retry_after.unwrap_or(RETRY_PAUSE).max(RETRY_PAUSE);
        records.push(record);
        if is_over {
            break;
        }
        sleep(pause).await;
    }
    Exchange { shot, records }
}

fn report(
    settings: &Settings,
    deployment: &Deployment,
    injector: &Injector,
    exchanges: &[Exchange],
) -> ExitCode {
    let Settings { seed, length, rate } = settings;
    println!("seed {seed}, {} s, {rate} requests/s", length.as_secs());
    println!("\nfaults:");
    for (kind, count) in injector.counts() {
        println!("  {kind:<16} {count:>5}");
    }
    let calls = || exchanges.iter().flat_map(|exchange| &exchange.records);
    println!("\nall calls:\n{}", Table::of(calls()));
    let last = exchanges
        .iter()
        .filter_map(|exchange| exchange.records.last());
    println!("last call of each request:\n{}", Table::of(last));
    print_bookings(exchanges);
    print_failures(calls());
    let pairs = exchanges.iter().flat_map(|exchange| {
        exchange
            .records
            .iter()
            .map(|record| (&exchange.shot, record))
    });
    let history = History::of_run(deployment, pairs);
    println!("\n{history}");
    match history.violations().is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn print_bookings(exchanges: &[Exchange]) {
    let bookings = exchanges
        .iter()
        .filter(|exchange| !is_idempotent(&exchange.shot));
    let records = bookings.flat_map(|exchange| &exchange.records);
    let summary = Summary::of(records);
    println!(
        "calls of non-idempotent requests: {} offered, {} whole, {} not-run, {} may-have-run, {} broken",
        summary.offered, summary.whole, summary.not_run, summary.may_have_run, summary.broken,
    );
}

/// Counts failed calls by verdict and reason.
fn print_failures<'a>(records: impl Iterator<Item = &'a Record>) {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for record in records.filter(|record| !record.whole) {
        let verdict = record
            .verdict
            .as_ref()
            .map_or("none".to_owned(), Verdict::to_string);
        let reason = record.reason.as_deref().unwrap_or("none");
        let limit = if record.latency() >= CALL_LIMIT {
            ", at the limit"
        } else {
            ""
        };
        *counts
            .entry(format!("{verdict}, {reason}{limit}"))
            .or_default() += 1;
    }
    println!("failed calls by verdict and reason:");
    for (name, count) in counts {
        println!("  {name:<40} {count:>6}");
    }
}
