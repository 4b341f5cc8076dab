//! Scenarios: each changes one size of a running system and observes a process.

mod change;
mod failure;
mod group;
mod load;
mod rest;

use {
    super::{
        fleet::{Fleet, Observed},
        reading::Reading,
        series::Series,
    },
    crate::deployment::Fault,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// How a run is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of one measurement.
    pub window: Duration,
    /// Time between a change of size and the measurement.
    pub settling: Duration,
    /// Seed of arrivals.
    pub seed: u64,
}

/// Names of the scenarios, in the order in which they run.
pub const NAMES: &[&str] = &[
    "sidecars",
    "routers",
    "instances",
    "list-changes",
    "organisations",
    "changes",
    "requests",
    "tokens",
    "claims",
    "busy",
    "failures",
];

/// Runs the scenario of this name, or none if there is no such scenario.
///
/// # Errors
///
/// Fails when a part of the system does not start or ends.
pub async fn run(name: &str, settings: &Settings) -> Result<Vec<Series>, Fault> {
    match name {
        "sidecars" => rest::sidecars(settings).await,
        "routers" => rest::routers(settings).await,
        "instances" => rest::instances(settings).await,
        "list-changes" => rest::list_changes(settings).await,
        "organisations" => change::organisations(settings).await,
        "changes" => change::rate(settings).await,
        "requests" => load::requests(settings).await,
        "tokens" => load::tokens(settings).await,
        "claims" => load::claims(settings).await,
        "busy" => load::busy(settings).await,
        "failures" => failure::kills(settings).await,
        _ => Ok(Vec::new()),
    }
}

impl Settings {
    /// Lets the system settle.
    async fn settle(&self) {
        sleep(self.settling).await;
    }

    /// Observes a process for one window.
    async fn observe(&self, fleet: &Fleet, observed: Observed) -> Result<Reading, Fault> {
        let [reading] = self.observe_all(fleet, [observed]).await?;
        Ok(reading)
    }

    /// Observes processes for the same window.
    async fn observe_all<const N: usize>(
        &self,
        fleet: &Fleet,
        observed: [Observed; N],
    ) -> Result<[Reading; N], Fault> {
        let start = Instant::now();
        let mut before = Vec::new();
        for observed in observed {
            before.push(fleet.counters(observed)?);
        }
        sleep(self.window).await;
        let elapsed = start.elapsed();
        let mut readings = [Reading::default(); N];
        for (index, observed) in observed.into_iter().enumerate() {
            let after = fleet.counters(observed)?;
            readings[index] = Reading::between(before[index], after, elapsed);
        }
        Ok(readings)
    }
}
