//! Scenario of unrelated failures.

use {
    super::{Settings, group::Group},
    crate::{
        capacity::{
            fleet::{Fleet, Observed},
            series::Series,
        },
        deployment::{BackendServer, Fault},
    },
    std::time::Duration,
    tamarackdale_core::document::example::ORDRE_APP,
    tokio::time::sleep,
};

/// Sidecars killed together, at each step.
const KILLS: [usize; 4] = [1, 2, 4, 8];

/// Sidecars at the start.
const SIDECARS: usize = 30;

/// Sidecars of one rack.
const RACK: f64 = 16.0;

/// Time for which the list still names a dead instance.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Sidecars killed at once, in the window that follows; the list drops them after its lag.
pub(super) async fn kills(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = Fleet::new(ORDRE_APP.service, ORDRE_APP.text, BackendServer::Plain)?;
    fleet.grow_sidecars(SIDECARS).await?;
    fleet.grow_routers(1).await?;
    let size = format!("sidecars killed at once of {SIDECARS}, listed 2 s longer");
    let mut group = Group::new("router", &size, RACK);
    for count in KILLS {
        fleet.grow_sidecars(SIDECARS).await?;
        settings.settle().await;
        let killed = fleet.kill_sidecars(count);
        let delist = async {
            sleep(LIST_LAG).await;
            for name in &killed {
                fleet.delist(name);
            }
        };
        let (reading, ()) = tokio::join!(settings.observe(&fleet, Observed::Router), delist);
        group.push(count as f64, &reading?);
    }
    Ok(group.into_series())
}
