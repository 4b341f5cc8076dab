//! Runs both example operators on loopback and prints what became of their requests.
//!
//! Exits with 0 only if every answer was whole, no booking ran twice and the history of the run
//! breaks no promise.

use {
    miette::IntoDiagnostic as _,
    std::{collections::HashMap, process::ExitCode, time::Duration},
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service, Standin},
        engine::Hardware,
        history::{History, is_idempotent},
        load::{Generator, Record, Schedule, Shot, Table},
        traffic::Traffic,
    },
    tokio::time::Instant,
};

/// Seed of arrivals and requests.
const SEED: u64 = 1;

/// Requests offered per second.
const RATE: f64 = 15.0;

/// How long requests are offered.
const LENGTH: Duration = Duration::from_secs(15);

fn layout() -> Layout {
    let unlike = [
        Hardware::older(),
        Hardware::newer(),
        Hardware::newer().with_speedup(2.0),
    ];
    Layout::new(vec![
        Service::slibe_llm(&unlike),
        Service::ordre_app(1),
        Service::tamarack_pool(&unlike[1..]),
        Service::dispatch_app(1),
    ])
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let deployment = Deployment::start(&layout()).await.into_diagnostic()?;
    println!(
        "{} routers and {} sidecars are ready; offering {RATE} requests/s for {} s",
        deployment.routers.len(),
        deployment.sidecars.len(),
        LENGTH.as_secs(),
    );
    let schedule = Schedule::poisson(RATE, LENGTH, SEED);
    let mut traffic = Traffic::of_both(SEED);
    let shots: Vec<Shot> = (0..schedule.offsets.len())
        .map(|index| traffic.shot(index))
        .collect();
    let generator = Generator::new(&deployment.entries());

    let records = generator.run(&schedule, |index| shots[index].clone()).await;
    let retries = retry_bookings(&generator, &shots).await;

    print!("\n{}", Table::of(&records));
    let most_runs = most_runs_of_a_booking(&deployment);
    println!(
        "\n{} bookings were sent again with their key; the most often that one ran: {most_runs}",
        retries.len(),
    );
    let retried = retries
        .iter()
        .map(|record| (&shots[record.index - 1], record));
    let history = History::of_run(&deployment, shots.iter().zip(&records).chain(retried));
    println!("{history}");
    let is_whole = records.iter().chain(&retries).all(|record| record.whole);
    let is_kept = history.violations().is_empty();
    Ok(match is_whole && is_kept && most_runs <= 1 {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Sends every booking once more, to the router that did not have it before.
async fn retry_bookings(generator: &Generator, shots: &[Shot]) -> Vec<Record> {
    let start = Instant::now();
    let bookings = shots
        .iter()
        .enumerate()
        .filter(|(_, shot)| !is_idempotent(shot));
    let calls = bookings.map(|(index, shot)| generator.offer(start, index + 1, shot));
    futures_util::future::join_all(calls).await
}

fn most_runs_of_a_booking(deployment: &Deployment) -> usize {
    let mut runs = HashMap::new();
    for sidecar in &deployment.sidecars {
        let Standin::Plain(service) = &sidecar.backend_server else {
            continue;
        };
        for call in service
            .calls()
            .into_iter()
            .filter(|call| call.method == "POST")
        {
            *runs.entry(call.marker).or_default() += 1;
        }
    }
    runs.into_values().max().unwrap_or_default()
}
