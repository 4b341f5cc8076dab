//! Scenarios with requests. They enter by the second router, so that the first one, which follows
//! the same sidecars, shows what control costs under load.

use {
    super::{Settings, group::Group},
    crate::{
        capacity::{
            fleet::{Fleet, Observed},
            reading::Reading,
            series::Series,
            target,
        },
        deployment::{BackendServer, Fault},
        engine::{Hardware, Model},
        load::{Generator, Schedule, Shot},
    },
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::document::example::{ORDRE_APP, SLIBE_LLM},
};

/// Requests per second, and the sidecars that share them.
const RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];
const SIDECARS: usize = 8;

/// Tokens of an answer, at a constant rate of requests.
const TOKENS: [u32; 4] = [50, 100, 200, 400];
const TOKEN_REQUESTS_PER_S: f64 = 16.0;

/// Sidecars that have requests, each as many per second and as long.
const BUSY_SIDECARS: [usize; 4] = [24, 48, 72, 100];
const BUSY_REQUESTS_PER_S: f64 = 1.0;
const BUSY_TOKENS: u32 = 100;

/// Non-idempotent requests per second, and the routers that share them.
const CLAIM_RATES: [f64; 4] = [10.0, 25.0, 50.0, 100.0];
const CLAIMING_ROUTERS: usize = 4;

/// Longest that a request may take.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// How much faster than the newer hardware the engines are.
const SPEEDUP: f64 = 4.0;

/// Requests per second.
pub(super) async fn requests(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = Fleet::new(ORDRE_APP.service, ORDRE_APP.text, BackendServer::Plain)?;
    start(&mut fleet).await?;
    let shot = Shot::plain(
        ORDRE_APP.service,
        "joiner-example-key",
        Method::GET,
        "/orders/1",
        "",
    );
    let mut groups = Groups::new("requests/s", target::REQUESTS_PER_S);
    for rate in RATES {
        let readings = offer(settings, &fleet, rate, |_| shot.clone()).await?;
        groups.push(rate, &readings);
    }
    Ok(groups.into_series())
}

/// Tokens generated per second.
pub(super) async fn tokens(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = engines(Hardware::newer().with_speedup(SPEEDUP))?;
    start(&mut fleet).await?;
    let size = format!("tokens/s in {TOKEN_REQUESTS_PER_S} requests/s");
    let mut groups = Groups::new(&size, target::TOKENS_PER_S);
    for tokens in TOKENS {
        let ask = |index| question(index, tokens);
        let readings = offer(settings, &fleet, TOKEN_REQUESTS_PER_S, ask).await?;
        groups.push(TOKEN_REQUESTS_PER_S * f64::from(tokens), &readings);
    }
    Ok(groups.into_series())
}

/// A question of its own, so that no sidecar is preferred for having its prompt.
fn question(index: usize, tokens: u32) -> Shot {
    Shot::model(
        SLIBE_LLM.service,
        "carver-example-key",
        "sharpening",
        &format!("{index}: which bevel for a mortise chisel?"),
        tokens,
    )
}

/// Non-idempotent requests per second, spread over several routers.
pub(super) async fn claims(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = Fleet::new(ORDRE_APP.service, ORDRE_APP.text, BackendServer::Plain)?;
    fleet.grow_sidecars(SIDECARS).await?;
    fleet.grow_routers(1 + CLAIMING_ROUTERS).await?;
    let size = format!("non-idempotent requests/s through {CLAIMING_ROUTERS} routers");
    let mut writes = Series::new("store", &size, "writes/s", target::CLAIMS_PER_S)
        .with_budget(target::STORE_WRITES_PER_S);
    let mut reads = Series::new("store", &size, "reads/s", target::CLAIMS_PER_S)
        .with_budget(target::STORE_READS_PER_S);
    for rate in CLAIM_RATES {
        let [worker, _] = offer(settings, &fleet, rate, booking).await?;
        writes.push(rate, worker.store_writes_per_s);
        reads.push(rate, worker.store_reads_per_s);
    }
    Ok(vec![writes, reads])
}

fn booking(index: usize) -> Shot {
    let body = format!("{{\"item\":{index}}}");
    Shot::plain(
        ORDRE_APP.service,
        "joiner-example-key",
        Method::POST,
        "/pickups",
        &body,
    )
    .with_tier("order")
}

/// Sidecars that have requests, seen from a router that has none.
pub(super) async fn busy(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let mut fleet = engines(Hardware::older())?;
    let size = "sidecars that serve requests of another router";
    let mut group = Group::new("router", size, target::FOLLOWED);
    for count in BUSY_SIDECARS {
        fleet.grow_sidecars(count).await?;
        fleet.grow_routers(2).await?;
        let rate = BUSY_REQUESTS_PER_S * count as f64;
        let length = 2 * (settings.settling + settings.window);
        let schedule = Schedule::poisson(rate, length, settings.seed);
        let generator = generator(&fleet);
        let observed = async {
            settings.settle().await;
            settings.observe(&fleet, Observed::Router).await
        };
        // The requests are given up with the measurement.
        let reading = tokio::select! {
            reading = observed => reading?,
            _ = generator.run(&schedule, |index| question(index, BUSY_TOKENS)) => continue,
        };
        group.push(count as f64, &reading);
    }
    Ok(group.into_series())
}

fn engines(hardware: Hardware) -> Result<Fleet, Fault> {
    let model = Model::new(hardware).with_models(&["sharpening"]);
    let server = BackendServer::Engine(model);
    Fleet::new(SLIBE_LLM.service, SLIBE_LLM.text, server)
}

async fn start(fleet: &mut Fleet) -> Result<(), Fault> {
    fleet.grow_sidecars(SIDECARS).await?;
    fleet.grow_routers(2).await
}

/// Readings of the router that does the work and of the mean sidecar.
type Readings = [Reading; 2];

async fn offer(
    settings: &Settings,
    fleet: &Fleet,
    rate: f64,
    shot: impl FnMut(usize) -> Shot,
) -> Result<Readings, Fault> {
    let generator = generator(fleet);
    let schedule = Schedule::poisson(rate, settings.settling + settings.window, settings.seed);
    let all = [Observed::Worker, Observed::Sidecar];
    let observed = async {
        settings.settle().await;
        settings.observe_all(fleet, all).await
    };
    let (records, readings) = tokio::join!(generator.run(&schedule, shot), observed);
    let whole = records.iter().filter(|record| record.whole).count();
    if whole < records.len() {
        println!("{whole} of {} answers were whole", records.len());
    }
    readings
}

/// A generator that sends the requests to all routers but the first.
fn generator(fleet: &Fleet) -> Generator {
    let entries: Vec<SocketAddr> = fleet.routers[1..]
        .iter()
        .filter_map(|router| router.callers)
        .collect();
    Generator::new(&entries).with_limit(CALL_LIMIT)
}

/// The series of the working processes.
struct Groups {
    worker: Group,
    sidecar: Group,
}

impl Groups {
    /// Groups whose sizes are shared by the routers and by the sidecars.
    fn new(size: &str, target: f64) -> Self {
        let (per_router, per_sidecar) = (target / target::ROUTERS, target / target::SIDECARS);
        Self {
            worker: Group::without_budget("router, all its work", size, per_router),
            sidecar: Group::without_budget("sidecar, all its work", size, per_sidecar),
        }
    }

    fn push(&mut self, size: f64, [worker, sidecar]: &Readings) {
        self.worker.push(size, worker);
        self.sidecar.push(size / SIDECARS as f64, sidecar);
    }

    fn into_series(self) -> Vec<Series> {
        [self.worker, self.sidecar]
            .into_iter()
            .flat_map(Group::into_series)
            .collect()
    }
}
