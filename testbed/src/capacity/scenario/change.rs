//! Scenarios of the service document: its size and its changes.

use {
    super::{Settings, group::Group},
    crate::{
        capacity::{
            fleet::{Fleet, Observed},
            series::Series,
            target,
        },
        deployment::{BackendServer, Fault, START_LIMIT},
    },
    std::{fmt::Write as _, time::Duration},
    tamarackdale_core::document::{Hash, example::ORDRE_APP},
    tokio::time::{Instant, interval},
};

const ORGANISATIONS: [usize; 4] = [10, 100, 1_000, 4_400];

/// Changes per second.
const RATES: [f64; 4] = [0.0, 1.0, 2.0, 4.0];

/// Organisations in the document whose changes are measured.
const CHANGED_ORGANISATIONS: usize = 100;

/// Changes timed at each size.
const TIMED_CHANGES: usize = 3;

/// Organisations in the document, at rest, and the time until a change is in force.
pub(super) async fn organisations(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = fleet(ORGANISATIONS[0]).await?;
    let size = "organisations in one document";
    let mut group = Group::new("router", size, target::ORGANISATIONS);
    let mut text = Series::new("store", size, "document, KB", target::ORGANISATIONS);
    let mut in_force = Series::new(
        "router and sidecar",
        size,
        "longest time until in force, s",
        target::ORGANISATIONS,
    )
    .with_budget(target::IN_FORCE_S);
    for count in ORGANISATIONS {
        let document = document(count, 0);
        fleet.apply(&document);
        settings.settle().await;
        let reading = settings.observe(&fleet, Observed::Router).await?;
        group.push(count as f64, &reading);
        text.push(count as f64, document.len() as f64 / 1e3);
        let longest = longest_change(&mut fleet, count)?;
        in_force.push(count as f64, longest.as_secs_f64());
    }
    let mut series = group.into_series();
    series.extend([text, in_force]);
    Ok(series)
}

/// Changes of a document per second.
pub(super) async fn rate(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let fleet = fleet(CHANGED_ORGANISATIONS).await?;
    let size = format!("changes/s of a document of {CHANGED_ORGANISATIONS} organisations");
    let mut group = Group::new("router", &size, target::CHANGES_PER_S);
    let mut reads = Series::new(
        "store",
        &size,
        "reads/s, 2 processes",
        target::CHANGES_PER_S,
    );
    for rate in RATES {
        settings.settle().await;
        let observed = settings.observe(&fleet, Observed::Router);
        let reading = tokio::select! {
            reading = observed => reading?,
            () = change_forever(&fleet, rate) => unreachable!("changes go on for ever"),
        };
        group.push(rate, &reading);
        reads.push(rate, reading.store_reads_per_s);
    }
    let mut series = group.into_series();
    series.push(reads);
    Ok(series)
}

async fn fleet(organisations: usize) -> Result<Fleet, Fault> {
    let document = document(organisations, 0);
    let mut fleet = Fleet::new(ORDRE_APP.service, &document, BackendServer::Plain)?;
    fleet.grow_sidecars(1).await?;
    fleet.grow_routers(1).await?;
    Ok(fleet)
}

async fn change_forever(fleet: &Fleet, rate: f64) {
    if rate == 0.0 {
        return std::future::pending().await;
    }
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate));
    for version in 1.. {
        ticks.tick().await;
        fleet.apply(&document(CHANGED_ORGANISATIONS, version));
    }
}

/// Longest time from a write until the router and the sidecar have it in force.
fn longest_change(fleet: &mut Fleet, organisations: usize) -> Result<Duration, Fault> {
    let mut longest = Duration::ZERO;
    for version in 1..=TIMED_CHANGES {
        let start = Instant::now();
        let revision = fleet.apply(&document(organisations, version));
        for node in [&fleet.routers[0], &fleet.sidecars[0]] {
            node.process
                .wait_for_log("the change in force", START_LIMIT, |line| {
                    line["message"] == "document in force"
                        && line["revision"].as_i64() >= Some(revision)
                })?;
        }
        longest = longest.max(start.elapsed());
    }
    Ok(longest)
}

/// The workshop's document with so many more organisations; versions differ in their weights.
fn document(organisations: usize, version: usize) -> String {
    let mut text = ORDRE_APP.text.to_owned();
    let actions = text.find("\n[[actions]]").unwrap_or(text.len());
    let rest = text.split_off(actions);
    for index in 0..organisations {
        let hash = Hash::of(&format!("key-{index}"));
        let weight = 1 + (index + version) % 100;
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "\n[[organisations]]\nname = \"organisation-{index}\"\nkey_hashes = [\"{hash}\"]\n\
             weight = {weight}\ntiers = [\"status\"]\n"
        );
    }
    text + &rest
}
