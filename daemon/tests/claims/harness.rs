//! Test harness: a deployment of two routers and plain HTTP services, and a client for its callers.

use {
    bytes::Bytes,
    hyper::{Method, Request},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    tamarackdale_core::verdict::Verdict,
    tamarackdale_testbed::{
        deployment::{Deployment, Layout, Service, Sidecar},
        history::{Execution, History, Submission},
        http,
        load::{Generator, Record, Shot},
        plain::Call,
    },
    tamarackdale_wire::{claim, codec},
    tokio::{task::JoinHandle, time::sleep},
};

pub const SERVICE: &str = "ordre-app";
pub const KEY: &str = "joiner-example-key";

/// Timeout of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Longest latency of a response that the router gives without waiting for another process.
pub const MAX_LOCAL_LATENCY: Duration = Duration::from_millis(500);

/// A deployment and the load generator that acts as its callers.
pub struct Harness {
    pub deployment: Deployment,
    pub generator: Generator,
    pub start: tokio::time::Instant,
}

impl Harness {
    pub async fn start() -> Self {
        Self::start_with(layout()).await
    }

    pub async fn start_with(layout: Layout) -> Self {
        let deployment = Deployment::start(&layout).await.expect("starts");
        let generator = Generator::new(&deployment.entries()).with_limit(TIMEOUT);
        let harness = Self {
            deployment,
            generator,
            start: tokio::time::Instant::now(),
        };
        // After a booking at each router, both routers know the sidecars and hold a lease.
        for router in 0..2 {
            let shot = booking(&format!("warm-{router}"));
            harness.book_until_served(router, &shot).await;
        }
        harness
    }

    /// Retries a booking, as a caller does, while the response says that it was not run.
    pub async fn book_until_served(&self, router: usize, shot: &Shot) -> Record {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let record = self.book(router, shot).await;
            if record.verdict != Some(Verdict::NotRun) {
                assert!(record.whole, "{record:?}");
                return record;
            }
            assert!(Instant::now() < deadline, "{record:?}");
            let delay = record.retry_after;
            sleep(delay.expect("a refusal has a retry-after header")).await;
        }
    }

    pub async fn book(&self, router: usize, shot: &Shot) -> Record {
        self.generator.offer(self.start, router, shot).await
    }

    pub fn set_latency(&self, latency: Duration) {
        for sidecar in self.deployment.sidecars_of(SERVICE) {
            sidecar.plain().set_latency(latency);
        }
    }

    /// Books in a separate task, so that the test can stop parts of the deployment meanwhile.
    pub fn spawn_booking(&self, router: usize, shot: &Shot) -> JoinHandle<Record> {
        let (generator, start, shot) = (self.generator.clone(), self.start, shot.clone());
        tokio::spawn(async move { generator.offer(start, router, &shot).await })
    }

    pub fn runs(&self, key: &str) -> usize {
        let sidecars = self.deployment.sidecars.iter();
        sidecars.map(|sidecar| runs_at(sidecar, key).len()).sum()
    }

    /// Number of calls that the backend servers have completed.
    pub fn completed(&self) -> usize {
        let sidecars = self.deployment.sidecars_of(SERVICE);
        sidecars.map(|sidecar| sidecar.plain().completed()).sum()
    }

    /// Metrics of the first sidecar.
    pub async fn sidecar_metrics(&self) -> String {
        let request = Request::get("/metrics").body(Bytes::new());
        let admin = self.deployment.sidecars[0].admin;
        let response = http::call(admin, request.expect("a valid request"), TIMEOUT).await;
        response.expect("metrics").text().to_owned()
    }

    pub fn executions(&self, key: &str) -> Vec<Execution> {
        let sidecars = self.deployment.sidecars.iter();
        let calls = sidecars.flat_map(|sidecar| runs_at(sidecar, key));
        calls
            .filter_map(|call| Execution::of_call(SERVICE, &call))
            .collect()
    }

    /// The claims written for a request, oldest first.
    pub fn claims(&self, key: &str) -> Vec<claim::Record> {
        let key = format!("tamarackdale/claims/{SERVICE}/joiners/{key}");
        let mut writes = self.deployment.store.history();
        writes.retain(|write| write.key == key.as_bytes());
        let values = writes.into_iter().filter_map(|write| write.value);
        values
            .map(|value| codec::decode(&value).expect("a claim"))
            .collect()
    }

    /// Asserts that the history of these calls, each with its request, violates no guarantee.
    pub fn assert_no_violations(&self, calls: &[(&Shot, &Record)]) {
        let submissions = calls
            .iter()
            .filter_map(|(shot, record)| Submission::of_record(record, shot, is_read(shot)))
            .collect();
        let executions = calls
            .iter()
            .filter_map(|(shot, _)| shot.key.clone())
            .collect::<BTreeSet<_>>()
            .iter()
            .flat_map(|key| self.executions(key))
            .collect();
        let history = History {
            submissions,
            executions,
            ..History::new()
        };
        assert_eq!(history.violations(), Vec::new());
    }
}

/// Calls with this key that the sidecar's backend server has received.
pub fn runs_at(sidecar: &Sidecar, key: &str) -> Vec<Call> {
    let mut calls = sidecar.plain().calls();
    calls.retain(|call| call.marker.as_deref() == Some(key));
    calls
}

pub fn layout() -> Layout {
    Layout::new(vec![Service::ordre_app(2)])
}

pub fn booking(key: &str) -> Shot {
    booking_of(key, "{\"item\":1}")
}

pub fn booking_of(key: &str, body: &str) -> Shot {
    Shot::plain(SERVICE, KEY, Method::POST, "/pickups", body)
        .with_tier("order")
        .with_key(key)
}

pub fn read(key: &str) -> Shot {
    Shot::plain(SERVICE, KEY, Method::GET, "/orders/1", "")
        .with_tier("status")
        .with_key(key)
}

pub fn is_read(shot: &Shot) -> bool {
    shot.method == Method::GET
}

pub async fn wait_until(awaited: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "no {awaited} within {TIMEOUT:?}");
        sleep(Duration::from_millis(2)).await;
    }
}
