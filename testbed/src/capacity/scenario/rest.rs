//! Scenarios without requests.

use {
    super::{Settings, group::Group},
    crate::{
        capacity::{
            fleet::{Fleet, Observed},
            series::Series,
            target,
        },
        deployment::{BackendServer, Fault},
    },
    tamarackdale_core::document::example::ORDRE_APP,
    tokio::time::sleep,
};

/// Sizes of the scenarios.
const SIDECARS: [usize; 4] = [10, 25, 50, 100];
const ROUTERS: [usize; 4] = [1, 5, 10, 20];
const INSTANCES: [usize; 4] = [100, 500, 1_500, 3_000];

/// Changes of the list in one window, further apart than two readings of it.
const LIST_CHANGES: [u32; 4] = [0, 1, 2, 3];

/// Sidecars that one router follows; also the store's reads by number of processes.
pub(super) async fn sidecars(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = plain()?;
    fleet.grow_routers(1).await?;
    let mut group = Group::new("router", "sidecars that it follows", target::FOLLOWED);
    let mut reads = Series::new(
        "store",
        "processes of one data centre, at rest",
        "reads/s",
        (target::ROUTERS + target::SIDECARS) / target::DATA_CENTRES,
    )
    .with_budget(target::STORE_READS_PER_S / target::DATA_CENTRES);
    for count in SIDECARS {
        fleet.grow_sidecars(count).await?;
        settings.settle().await;
        let reading = settings.observe(&fleet, Observed::Router).await?;
        group.push(count as f64, &reading);
        reads.push(1.0 + count as f64, reading.store_reads_per_s);
    }
    let mut series = group.into_series();
    series.push(reads);
    Ok(series)
}

/// Routers that follow one sidecar.
pub(super) async fn routers(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = plain()?;
    fleet.grow_sidecars(1).await?;
    let mut group = Group::new("sidecar", "routers that follow it", target::FOLLOWERS);
    for count in ROUTERS {
        fleet.grow_routers(count).await?;
        settings.settle().await;
        let reading = settings.observe(&fleet, Observed::Sidecar).await?;
        group.push(count as f64, &reading);
    }
    Ok(group.into_series())
}

/// Entries of the instance list.
pub(super) async fn instances(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = plain()?;
    fleet.grow_sidecars(1).await?;
    fleet.grow_routers(1).await?;
    let mut group = Group::new(
        "router",
        "entries of the instance list",
        target::ROUTERS + target::SIDECARS,
    );
    for count in INSTANCES {
        fleet.list_strangers(count);
        settings.settle().await;
        let reading = settings.observe(&fleet, Observed::Router).await?;
        group.push(count as f64, &reading);
    }
    Ok(group.into_series())
}

/// Changes of an instance list of the target's size.
pub(super) async fn list_changes(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = plain()?;
    fleet.grow_sidecars(1).await?;
    fleet.grow_routers(1).await?;
    let entries = target::ROUTERS + target::SIDECARS;
    fleet.list_strangers(entries as usize);
    let size = format!("changes/s of an instance list of {entries} entries");
    let mut group = Group::new("router", &size, target::LIST_CHANGES_PER_S);
    for changes in LIST_CHANGES {
        settings.settle().await;
        let interval = settings.window / (changes + 1);
        let change = async {
            for _ in 0..changes {
                sleep(interval).await;
                fleet.change_stranger();
            }
        };
        let (reading, ()) = tokio::join!(settings.observe(&fleet, Observed::Router), change);
        let rate = f64::from(changes) / settings.window.as_secs_f64();
        group.push(rate, &reading?);
    }
    Ok(group.into_series())
}

fn plain() -> Result<Fleet, Fault> {
    Fleet::new(ORDRE_APP.service, ORDRE_APP.text, BackendServer::Plain)
}
