//! Scenarios with requests. They enter by the second router, so that the observed one, which
//! follows the same sidecars, shows what control costs under load.

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
    std::{slice, time::Duration},
    tamarackdale_core::document::example::{ORDRE_APP, SLIBE_LLM},
};

/// Requests per second, and the sidecars that share them.
const RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];
const SIDECARS: usize = 8;

/// Tokens of an answer, at a constant rate of requests.
const TOKENS: [u32; 4] = [50, 100, 200, 400];
const TOKEN_REQUESTS_PER_S: f64 = 16.0;

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
        let readings = offer(settings, &fleet, rate, &shot).await?;
        groups.push(rate, &readings);
    }
    Ok(groups.into_series())
}

/// Tokens generated per second.
pub(super) async fn tokens(settings: &Settings) -> Result<Vec<Series>, Fault> {
    let hardware = Hardware::newer().with_speedup(SPEEDUP);
    let model = Model::new(hardware).with_models(&["sharpening"]);
    let server = BackendServer::Engine(model);
    let mut fleet = Fleet::new(SLIBE_LLM.service, SLIBE_LLM.text, server)?;
    start(&mut fleet).await?;
    let size = format!("tokens/s in {TOKEN_REQUESTS_PER_S} requests/s");
    let mut groups = Groups::new(&size, target::TOKENS_PER_S);
    for tokens in TOKENS {
        let shot = Shot::model(
            SLIBE_LLM.service,
            "carver-example-key",
            "sharpening",
            "Which bevel for mortise chisels?",
            tokens,
        );
        let readings = offer(settings, &fleet, TOKEN_REQUESTS_PER_S, &shot).await?;
        groups.push(TOKEN_REQUESTS_PER_S * f64::from(tokens), &readings);
    }
    Ok(groups.into_series())
}

async fn start(fleet: &mut Fleet) -> Result<(), Fault> {
    fleet.grow_sidecars(SIDECARS).await?;
    fleet.grow_routers(2).await
}

/// Readings of the router that does the work, the observed router, and the observed sidecar.
type Readings = [Reading; 3];

async fn offer(
    settings: &Settings,
    fleet: &Fleet,
    rate: f64,
    shot: &Shot,
) -> Result<Readings, Fault> {
    let Some(entry) = fleet.routers[1].callers else {
        return Ok(Readings::default());
    };
    let generator = Generator::new(slice::from_ref(&entry)).with_limit(Duration::from_secs(10));
    let schedule = Schedule::poisson(rate, settings.settling + settings.window, settings.seed);
    let all = [Observed::Worker, Observed::Router, Observed::Sidecar];
    let observed = async {
        settings.settle().await;
        settings.observe_all(fleet, all).await
    };
    let (records, readings) = tokio::join!(generator.run(&schedule, |_| shot.clone()), observed);
    let whole = records.iter().filter(|record| record.whole).count();
    if whole < records.len() {
        println!("{whole} of {} answers were whole", records.len());
    }
    readings
}

struct Groups {
    worker: Group,
    router: Group,
    sidecar: Group,
}

impl Groups {
    /// Groups whose sizes are shared by the routers and by the sidecars.
    fn new(size: &str, target: f64) -> Self {
        let (per_router, per_sidecar) = (target / target::ROUTERS, target / target::SIDECARS);
        let elsewhere = format!("{size} through another router, {SIDECARS} sidecars");
        Self {
            worker: Group::without_budget("router, all its work", size, per_router),
            router: Group::new("router, control", &elsewhere, per_router),
            sidecar: Group::without_budget("sidecar, all its work", size, per_sidecar),
        }
    }

    fn push(&mut self, size: f64, [worker, router, sidecar]: &Readings) {
        self.worker.push(size, worker);
        self.router.push(size, router);
        self.sidecar.push(size / SIDECARS as f64, sidecar);
    }

    fn into_series(self) -> Vec<Series> {
        [self.worker, self.router, self.sidecar]
            .into_iter()
            .flat_map(Group::into_series)
            .collect()
    }
}
