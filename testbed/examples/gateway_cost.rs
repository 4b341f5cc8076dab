//! Measures the processor time that gateways take for requests, events and each other.
//!
//! `gateway_cost [--gateways N] [--servers N] [--rate R] [--events N] [--gap-ms MS] [--seconds S]`
//! runs that many gateways without load, then with `R` streams a second at each, and prints what one
//! gateway takes. Build the daemon with `--release` first.

use {
    getopts::{Matches, Options},
    miette::{IntoDiagnostic as _, miette},
    std::{str::FromStr, time::Duration},
    tamarackdale_testbed::{
        http,
        platform::{Configuration, Gateway, Server, Site, request},
    },
    tokio::{
        task::JoinSet,
        time::{Instant, MissedTickBehavior, interval, sleep},
    },
};

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Time for gateways to hear each other before anything is measured.
const WARM_UP: Duration = Duration::from_secs(2);

/// What is run.
struct Load {
    gateways: usize,
    servers: usize,
    rate: f64,
    events: u64,
    gap: Duration,
    length: Duration,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let load = load()?;
    let site = Site::new(&Configuration::default()).into_diagnostic()?;
    let servers = servers(&site, &load)?;
    let gateways = gateways(&site, load.gateways).await?;
    sleep(WARM_UP).await;

    let idle = measure(&gateways, sleep(load.length)).await?;
    let mut answered = 0;
    let busy = measure(&gateways, async { answered = send(&load, &gateways).await }).await?;

    let count = load.gateways as f64;
    let seconds = load.length.as_secs_f64();
    let runs: usize = servers.iter().map(|server| server.runs().len()).sum();
    println!(
        "cores a gateway, no requests: {:.5}",
        idle / count / seconds
    );
    println!(
        "cores a gateway, with requests: {:.5}",
        busy / count / seconds
    );
    println!("streams: {answered} answered, {runs} run");
    let events = (answered as u64 * load.events).max(1);
    let micros = (busy - idle) * 1e6;
    println!(
        "microseconds a stream: {:.0}",
        micros / (answered as f64).max(1.0)
    );
    println!(
        "microseconds an event, all in: {:.1}",
        micros / events as f64
    );
    Ok(())
}

fn load() -> miette::Result<Load> {
    let mut options = Options::new();
    options.optopt("", "gateways", "number of gateways [12]", "N");
    options.optopt("", "servers", "number of engines [12]", "N");
    options.optopt("", "rate", "streams a second at each gateway [10]", "R");
    options.optopt("", "events", "events of a stream [35]", "N");
    options.optopt("", "gap-ms", "time between two events [20]", "MS");
    options.optopt("", "seconds", "length of each measurement [5]", "S");
    let matches = options.parse(std::env::args().skip(1)).into_diagnostic()?;
    Ok(Load {
        gateways: number(&matches, "gateways", 12)?,
        servers: number(&matches, "servers", 12)?,
        rate: number(&matches, "rate", 10.0)?,
        events: number(&matches, "events", 35)?,
        gap: Duration::from_millis(number(&matches, "gap-ms", 20)?),
        length: Duration::from_secs(number(&matches, "seconds", 5)?),
    })
}

fn number<T: FromStr<Err: std::fmt::Display>>(
    matches: &Matches,
    name: &str,
    default: T,
) -> miette::Result<T> {
    let number = matches.opt_get_default(name, default);
    number.map_err(|error| miette!("--{name}: {error}"))
}

fn servers(site: &Site, load: &Load) -> miette::Result<Vec<Server>> {
    let mut servers = Vec::new();
    for number in 0..load.servers {
        let server = Server::new(&format!("engine-{number}"), "engine").into_diagnostic()?;
        server.set_events(load.events);
        server.set_latency(load.gap);
        site.register(&server);
        servers.push(server);
    }
    Ok(servers)
}

async fn gateways(site: &Site, count: usize) -> miette::Result<Vec<Gateway>> {
    let mut gateways = Vec::new();
    for number in 0..count {
        let gateway = site.gateway(&format!("gateway-{number}"));
        gateways.push(gateway.into_diagnostic()?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(true).await {
            return Err(miette!("a gateway is not ready"));
        }
    }
    Ok(gateways)
}

/// Processor time, in seconds, that all gateways take while `work` runs.
async fn measure(gateways: &[Gateway], work: impl Future<Output = ()>) -> miette::Result<f64> {
    let before = processor_time(gateways)?;
    work.await;
    Ok(processor_time(gateways)? - before)
}

fn processor_time(gateways: &[Gateway]) -> miette::Result<f64> {
    let mut total = 0.0;
    for gateway in gateways {
        total += gateway
            .process
            .usage()
            .into_diagnostic()?
            .processor
            .as_secs_f64();
    }
    Ok(total)
}

/// Sends streams at an even pace to all gateways; returns how many were answered whole.
async fn send(load: &Load, gateways: &[Gateway]) -> usize {
    let pause = Duration::from_secs_f64(1.0 / (load.rate * gateways.len() as f64));
    let mut ticks = interval(pause);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut running = JoinSet::new();
    let start = Instant::now();
    for (number, gateway) in gateways.iter().cycle().enumerate() {
        if start.elapsed() >= load.length {
            break;
        }
        ticks.tick().await;
        let address = gateway.callers();
        let message = request("/stream/1", &format!("c-{number}"));
        running.spawn(async move { http::call(address, message, CALL_LIMIT).await });
    }
    let answers = running.join_all().await;
    let whole = answers.iter().filter_map(|answer| answer.as_ref().ok());
    whole.filter(|answer| answer.status() == 200).count()
}
