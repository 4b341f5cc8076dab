//! Measures what router and sidecar add to the latency of a call, and what one router carries.
//!
//! Calls straight to the engine and calls through the system take turns on the same processes,
//! several times at each rate, so that both see the same machine.

use {
    miette::IntoDiagnostic as _,
    std::time::Duration,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service},
        engine::Hardware,
        load::{Generator, Record, Schedule, Shot, Summary},
        process::Usage,
    },
};

/// Rates measured, in requests per second.
const RATES: [f64; 2] = [50.0, 500.0];

/// Turns of each way at each rate.
const TURNS: u64 = 3;

/// Length of a turn.
const TURN: Duration = Duration::from_secs(4);

/// Calls in flight when the router's capacity is measured.
const CONCURRENCY: usize = 64;

/// Length of the measurement of capacity.
const SATURATION: Duration = Duration::from_secs(10);

/// Tokens of an answer.
const OUTPUT_TOKENS: u32 = 4;

/// Both ways' records at one rate.
#[derive(Default)]
struct Comparison {
    direct: Vec<Record>,
    routed: Vec<Record>,
}

fn layout() -> Layout {
    // An engine that is quick and never full, so that its own time varies little.
    let hardware = Hardware {
        step_base: Duration::from_millis(1),
        step_per_request: Duration::ZERO,
        prefill_rate: 1e9,
        prefill_chunk: 1_000_000,
        max_batch: 10_000,
        cache_blocks: 1,
    };
    Layout::new(vec![Service::slibe_llm(&[hardware]), Service::ordre_app(2)]).with_routers(1)
}

fn question(index: usize) -> Shot {
    let input = format!("plane iron {index}");
    Shot::model(
        "slibe-llm",
        "joiner-example-key",
        "sharpening",
        &input,
        OUTPUT_TOKENS,
    )
    .with_tier("site")
}

fn read(index: usize) -> Shot {
    let (method, path) = (hyper::Method::GET, format!("/orders/{index}"));
    Shot::plain("ordre-app", "joiner-example-key", method, &path, "").with_tier("status")
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let deployment = Deployment::start(&layout()).await.into_diagnostic()?;
    for rate in RATES {
        let comparison = compare(&deployment, rate).await;
        print_comparison(rate, &comparison);
    }
    saturate(&deployment).await
}

async fn compare(deployment: &Deployment, rate: f64) -> Comparison {
    let direct = Generator::direct(deployment.sidecars[0].engine().address());
    let routed = Generator::new(&deployment.entries());
    let mut comparison = Comparison::default();
    for seed in 0..TURNS {
        let schedule = Schedule::poisson(rate, TURN, seed);
        comparison
            .direct
            .extend(direct.run(&schedule, question).await);
        comparison
            .routed
            .extend(routed.run(&schedule, question).await);
    }
    comparison
}

fn print_comparison(rate: f64, comparison: &Comparison) {
    let (direct, routed) = (
        Summary::of(&comparison.direct),
        Summary::of(&comparison.routed),
    );
    println!(
        "{rate} requests/s: {} of {} direct and {} of {} routed answers whole",
        direct.whole, direct.offered, routed.whole, routed.offered,
    );
    let histograms = [
        ("first token", &direct.first_byte, &routed.first_byte),
        ("whole answer", &direct.latency, &routed.latency),
    ];
    for (name, direct, routed) in histograms {
        for quantile in [0.5, 0.99] {
            let direct = Summary::quantile(direct, quantile).as_secs_f64() * 1e3;
            let routed = Summary::quantile(routed, quantile).as_secs_f64() * 1e3;
            println!(
                "  {name:<12} p{:<3} direct {direct:>7.2} ms, routed {routed:>7.2} ms, added {:>6.2} ms",
                quantile * 100.0,
                routed - direct,
            );
        }
    }
}

async fn saturate(deployment: &Deployment) -> miette::Result<()> {
    let generator = Generator::new(&deployment.entries());
    let usage = || deployment.routers[0].process.usage();
    let before = usage().into_diagnostic()?;
    let records = generator.saturate(CONCURRENCY, SATURATION, read).await;
    let after = usage().into_diagnostic()?;
    let summary = Summary::of(&records);
    let processor = after.processor - before.processor;
    println!(
        "{CONCURRENCY} calls in flight: {:.0} whole answers/s, {} of {} whole, p99 {:?}",
        summary.whole as f64 / SATURATION.as_secs_f64(),
        summary.whole,
        summary.offered,
        Summary::quantile(&summary.latency, 0.99),
    );
    println!(
        "  router: {:.2} cores busy, {:.0} answers per second of processor time, {} MiB resident",
        processor.as_secs_f64() / SATURATION.as_secs_f64(),
        summary.whole as f64 / processor.as_secs_f64(),
        memory_mebibytes(&after),
    );
    Ok(())
}

fn memory_mebibytes(usage: &Usage) -> u64 {
    usage.memory_bytes / (1_024 * 1_024)
}
