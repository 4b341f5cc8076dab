//! One policy under one load.

use {
    super::{Arrivals, History, Outcome, Policy, Profile, outcome::Evidence},
    crate::{
        deployment::{self, Deployment},
        engine::Run,
        load::{Generator, Record},
    },
    serde_json::Value,
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Time after its deadline at which a caller gives up.
const PATIENCE: Duration = Duration::from_millis(500);

/// Engines that are slow for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, from the start.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
    /// Every how many engines one is slow.
    pub every: usize,
    /// How many times as long its steps take.
    pub factor: f64,
}

/// One policy under one load.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Deployment and traffic.
    pub profile: Profile,
    /// Policy.
    pub policy: Policy,
    /// Offered load, relative to the capacity.
    pub load: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// How long requests are offered.
    pub length: Duration,
    /// Time between two reports of a sidecar; the daemon's own if none.
    pub report_interval: Option<Duration>,
    /// Engines that slow down.
    pub fault: Option<Fault>,
    /// Class and caller that offer ten times as much.
    pub flood: Option<(usize, usize)>,
}

impl Trial {
    /// Starts a deployment, offers the requests and gathers what came of them.
    ///
    /// # Errors
    ///
    /// Fails when the deployment does not start.
    pub async fn run(&self) -> Result<Outcome, deployment::Fault> {
        let arrivals = self.arrivals();
        let deployment = Deployment::start(&self.layout()).await?;
        let begun = Instant::now() + Duration::from_secs(1);
        let start = unix_time() + Duration::from_secs(1);
        let (records, ()) = tokio::join!(
            self.offer(&arrivals, &deployment, begun),
            self.inject(&deployment, begun)
        );
        let runs = runs(&deployment);
        let history = History::of(&logs(&deployment));
        let evidence = Evidence {
            profile: &self.profile,
            arrivals: &arrivals,
            records: &records,
            runs: &runs,
            history: &history,
            start,
        };
        Ok(evidence.outcome(self.policy.name, self.load, self.seed))
    }

    fn arrivals(&self) -> Arrivals {
        let rate = self.profile.capacity() * self.load;
        let arrivals = Arrivals::new(&self.profile, rate, self.length, self.seed);
        match self.flood {
            Some((class, caller)) => arrivals.with_flood(class, caller, 10),
            None => arrivals,
        }
    }

    fn layout(&self) -> deployment::Layout {
        let layout = self.profile.layout();
        let layout = layout.with_router_flags(self.policy.router_flags);
        let layout = layout.with_sidecar_flags(self.policy.sidecar_flags);
        match self.report_interval {
            Some(interval) => {
                let millis = interval.as_millis().to_string();
                layout.with_sidecar_flags(&["--report-interval-ms", &millis])
            }
            None => layout,
        }
    }

    async fn offer(
        &self,
        arrivals: &Arrivals,
        deployment: &Deployment,
        start: Instant,
    ) -> Vec<Record> {
        let generators: Vec<Generator> = self
            .profile
            .classes
            .iter()
            .map(|class| {
                Generator::new(&deployment.entries()).with_limit(class.deadline + PATIENCE)
            })
            .collect();
        let profile = Arc::new(self.profile.clone());
        let mut calls = JoinSet::new();
        for (index, arrival) in arrivals.arrivals.iter().enumerate() {
            sleep_until(start + arrival.offset).await;
            let generator = generators[arrival.class].clone();
            let (profile, arrival) = (Arc::clone(&profile), arrival.clone());
            calls.spawn(async move {
                let shot = arrival.shot(&profile);
                generator.offer(start, index, &shot).await
            });
        }
        let mut records = calls.join_all().await;
        records.sort_by_key(|record| record.index);
        records
    }

    async fn inject(&self, deployment: &Deployment, start: Instant) {
        let Some(fault) = self.fault else {
            return;
        };
        for (at, factor) in [(fault.from, fault.factor), (fault.to, 1.0)] {
            sleep_until(start + at).await;
            for sidecar in deployment.sidecars.iter().step_by(fault.every) {
                sidecar.engine().set_slow_factor(factor);
            }
        }
    }
}

fn runs(deployment: &Deployment) -> Vec<Run> {
    let sidecars = deployment.sidecars.iter();
    sidecars
        .flat_map(|sidecar| sidecar.engine().runs())
        .collect()
}

fn logs(deployment: &Deployment) -> Vec<Value> {
    let routers = deployment.routers.iter().map(|router| &router.process);
    let sidecars = deployment.sidecars.iter().map(|sidecar| &sidecar.process);
    routers
        .chain(sidecars)
        .flat_map(|process| process.logs())
        .collect()
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
