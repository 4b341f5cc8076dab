//! Measures the spreading of documents against the number of processes.
//!
//! Starts real routers and sidecars before stand-ins, counts the calls of the store at rest, then
//! writes changes and takes from the processes' logs when each was in force.

use {
    derive_more::{Display, Error},
    getopts::Options,
    std::{
        collections::HashMap,
        env,
        error::Error as StdError,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service, documents::orders_with_weight},
        store::Call,
    },
    tokio::time::sleep,
};

const SERVICE: &str = "ordre-app";

/// Longest wait for one change.
const LIMIT: Duration = Duration::from_secs(20);

/// Time for a started system to settle on its watching instances.
const SETTLE: Duration = Duration::from_secs(4);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A change did not arrive everywhere.
#[derive(Debug, Display, Error)]
#[display("revision {revision} is not in force everywhere after {LIMIT:?}")]
struct Missing {
    revision: i64,
}

/// What one size came to.
struct Row {
    processes: usize,
    watches: usize,
    reads_at_rest: f64,
    reads_in_change: f64,
    in_force_ms: Vec<u64>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn StdError>> {
    let mut options = Options::new();
    options.optopt("", "sidecars", "numbers of sidecars [6,20,60]", "N,N,...");
    options.optopt("", "changes", "changes for each size [20]", "COUNT");
    options.optopt("", "rest-s", "length of the rest [10]", "SECONDS");
    let matches = options.parse(env::args().skip(1))?;
    let sizes = matches.opt_str("sidecars").unwrap_or("6,20,60".into());
    let changes: u32 = matches.opt_get_default("changes", 20)?;
    let rest = Duration::from_secs(matches.opt_get_default("rest-s", 10)?);
    println!(
        "| processes | watches | store reads/s at rest | in change | in force: median ms | worst ms |"
    );
    println!("|---|---|---|---|---|---|");
    for size in sizes.split(',') {
        let row = measure(size.parse()?, changes, rest).await?;
        show(row);
    }
    Ok(())
}

async fn measure(sidecars: usize, changes: u32, rest: Duration) -> Result<Row, Box<dyn StdError>> {
    let layout = Layout::new(vec![Service::ordre_app(sidecars)]);
    let deployment = Deployment::start(&layout).await?;
    sleep(SETTLE).await;
    let before = deployment.store.calls(Call::Read);
    sleep(rest).await;
    let reads_at_rest = per_second(deployment.store.calls(Call::Read) - before, rest);
    let before = deployment.store.calls(Call::Read);
    let started = Instant::now();
    let mut in_force_ms = Vec::new();
    for change in 0..changes {
        let document = orders_with_weight(change + 5);
        let written = wall_clock_ms();
        let revision = deployment.apply(SERVICE, &document);
        in_force_ms.push(
            last_in_force(&deployment, revision)
                .await?
                .saturating_sub(written),
        );
    }
    let reads = deployment.store.calls(Call::Read) - before;
    Ok(Row {
        processes: deployment.processes().count(),
        watches: deployment.store.open_watches(),
        reads_at_rest,
        reads_in_change: per_second(reads, started.elapsed()),
        in_force_ms,
    })
}

/// When the last process put a revision in force, by the clock of the logs.
async fn last_in_force(deployment: &Deployment, revision: i64) -> Result<u64, Missing> {
    let started = Instant::now();
    let mut seen: HashMap<&str, u64> = HashMap::new();
    let count = deployment.processes().count();
    while seen.len() < count {
        if started.elapsed() > LIMIT {
            return Err(Missing { revision });
        }
        sleep(POLL_INTERVAL).await;
        for process in deployment.processes() {
            if seen.contains_key(process.name()) {
                continue;
            }
            let logs = process.logs();
            let line = logs.iter().rev().find(|line| {
                line["message"] == "document in force" && line["revision"] == revision
            });
            if let Some(time) = line.and_then(|line| line["time_ms"].as_u64()) {
                seen.insert(process.name(), time);
            }
        }
    }
    Ok(seen.into_values().max().unwrap_or_default())
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

fn per_second(calls: u64, time: Duration) -> f64 {
    calls as f64 / time.as_secs_f64()
}

fn show(mut row: Row) {
    row.in_force_ms.sort_unstable();
    let median = row.in_force_ms.get(row.in_force_ms.len() / 2);
    println!(
        "| {} | {} | {:.1} | {:.1} | {} | {} |",
        row.processes,
        row.watches,
        row.reads_at_rest,
        row.reads_in_change,
        median.copied().unwrap_or_default(),
        row.in_force_ms.last().copied().unwrap_or_default(),
    );
}
