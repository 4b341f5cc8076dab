//! A whole system on loopback: stand-ins, routers and sidecars as real processes, and fault
//! proxies on the links between them.

pub mod documents;
mod layout;
mod router;
mod sidecar;

pub use {
    layout::{BackendServer, Layout, Service},
    router::Router,
    sidecar::{Sidecar, Standin},
};

use {
    crate::{http, list::List, process, store::Store},
    bytes::Bytes,
    derive_more::{Display, Error, From},
    hyper::Request,
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Longest that a process may take to start or to become ready.
pub const START_LIMIT: Duration = Duration::from_secs(20);

/// How often readiness is asked for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Key of a service's document in the store.
const DOCUMENTS: &str = "tamarackdale/documents/";

/// Why a system could not be started.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A stand-in or proxy has no port or thread.
    #[display("{_0}")]
    Io(io::Error),
    /// A process did not start.
    #[display("{_0}")]
    Process(process::Fault),
    /// A process did not become ready.
    #[display("{name} is not ready after {START_LIMIT:?}: {answer}")]
    #[from(skip)]
    NotReady {
        /// Name of the instance.
        name: String,
        /// Its last answer.
        answer: String,
    },
}

/// A running system; everything is stopped and joined on drop.
pub struct Deployment {
    /// Routers, in the order of their names.
    pub routers: Vec<Router>,
    /// Sidecars, in the order of the layout's services and backend servers.
    pub sidecars: Vec<Sidecar>,
    /// The key-value service.
    pub store: Store,
    /// The instance list.
    pub list: List,
}

/// Where the processes of a system find the platform.
pub(crate) struct Platform<'a> {
    pub(crate) store: SocketAddr,
    pub(crate) list: &'a List,
    pub(crate) proxied: bool,
}

impl Deployment {
    /// Starts a system and waits until every process is ready.
    ///
    /// # Errors
    ///
    /// Fails when a part does not start or does not become ready.
    pub async fn start(layout: &Layout) -> Result<Self, Fault> {
        let mut deployment = Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            store: Store::start()?,
            list: List::start()?,
        };
        for service in &layout.services {
            deployment.apply(&service.name, &service.document);
        }
        let platform = Platform {
            store: deployment.store.address(),
            list: &deployment.list,
            proxied: layout.proxied,
        };
        for service in &layout.services {
            for (index, server) in service.backend_servers.iter().enumerate() {
                let name = format!("{}-{index}", service.name);
                let sidecar = Sidecar::start(&name, &service.name, server, layout, &platform)?;
                deployment.sidecars.push(sidecar);
            }
        }
        for index in 0..layout.routers {
            let router = Router::start(&format!("router-{index}"), layout, &platform)?;
            deployment.routers.push(router);
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Writes a service's document; returns the store's revision.
    pub fn apply(&self, service: &str, document: &str) -> i64 {
        self.store
            .put(format!("{DOCUMENTS}{service}"), document.as_bytes())
    }

    /// Callers' addresses of the routers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.callers).collect()
    }

    /// The sidecars of a service.
    pub fn sidecars_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Sidecar> {
        let of_service = move |sidecar: &&Sidecar| sidecar.service == service;
        self.sidecars.iter().filter(of_service)
    }

    /// Routing decisions that the present processes of the routers have logged.
    pub fn routed(&self) -> usize {
        let is_decision = |line: &&serde_json::Value| line["message"] == "routed";
        self.routers
            .iter()
            .map(|router| router.process.logs().iter().filter(is_decision).count())
            .sum()
    }

    /// Log lines of all processes that name a request's key, one a line.
    pub fn logs_about(&self, key: &str) -> String {
        let routers = self.routers.iter().map(|router| &router.process);
        let sidecars = self.sidecars.iter().map(|sidecar| &sidecar.process);
        let names_it = |line: &String| line.contains(&format!("{key}\""));
        routers
            .chain(sidecars)
            .flat_map(|process| process.logs())
            .map(|line| line.to_string())
            .filter(names_it)
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// Waits until every router and sidecar says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when one does not.
    pub async fn wait_until_ready(&self) -> Result<(), Fault> {
        for sidecar in &self.sidecars {
            wait_until_ready(&sidecar.name, sidecar.admin).await?;
        }
        for router in &self.routers {
            wait_until_ready(&router.name, router.admin).await?;
        }
        Ok(())
    }
}

/// Waits until the process with this admin address says that it is ready.
pub(crate) async fn wait_until_ready(name: &str, admin: SocketAddr) -> Result<(), Fault> {
    let deadline = Instant::now() + START_LIMIT;
    loop {
        let request = Request::get("/ready").body(Bytes::new());
        let request = request.expect("a constant request is valid");
        let answer = match http::call(admin, request, START_LIMIT).await {
            Ok(answer) if answer.status() == 200 => return Ok(()),
            Ok(answer) => format!("{} {}", answer.status(), answer.text()),
            Err(fault) => fault.to_string(),
        };
        if Instant::now() >= deadline {
            let name = name.to_owned();
            return Err(Fault::NotReady { name, answer });
        }
        sleep(POLL_INTERVAL).await;
    }
}
