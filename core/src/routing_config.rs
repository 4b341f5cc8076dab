//! The operator's configuration as one snapshot: routes, services, organisations and limits.
//!
//! A snapshot is built whole and swapped whole, so that a request sees one version from its
//! acceptance to its dispatch.

pub mod organisation;
pub mod route;

pub use {
    organisation::{Organisation, Quota, Unit},
    route::{RepeatPolicy, Route, Target},
};

use std::{collections::HashMap, sync::Arc, time::Duration};

/// A model engine's traits, as the operator states them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine decodes at once.
    pub slots: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Tokens that an engine's memory holds, for running requests and cached prefixes.
    pub memory_tokens: u64,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that each of its backend servers accepts from all callers together.
    pub max_connections: u32,
    /// Traits of its engines; none if it is a plain service.
    pub engine: Option<Engine>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive whole.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What a [`RoutingConfig`] is built from.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfigParts {
    /// Version, which only grows.
    pub version: u64,
    /// Routes in any order, each with its host.
    pub routes: Vec<(String, Route)>,
    /// Services.
    pub services: Vec<Service>,
    /// Organisations with their API keys.
    pub organisations: Vec<(Organisation, Vec<String>)>,
    /// Limits for callers.
    pub limits: Limits,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    keys: HashMap<String, Arc<Organisation>>,
    organisations: Vec<Arc<Organisation>>,
    limits: Limits,
}

/// Why a request may not be served under a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route begins the path on that host.
    NoRoute,
    /// The API key is missing or belongs to nobody.
    UnknownKey,
}

impl RoutingConfig {
    /// Builds the snapshot; among routes of one host the longest prefix comes first.
    pub fn new(draft: RoutingConfigParts) -> Self {
        let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in draft.routes {
            let host = host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = draft
            .services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        let mut keys = HashMap::new();
        let mut organisations = Vec::with_capacity(draft.organisations.len());
        for (organisation, own) in draft.organisations {
            let organisation = Arc::new(organisation);
            keys.extend(own.into_iter().map(|key| (key, Arc::clone(&organisation))));
            organisations.push(organisation);
        }
        Self {
            version: draft.version,
            routes,
            services,
            keys,
            organisations,
            limits: draft.limits,
        }
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits for callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// All organisations.
    pub fn organisations(&self) -> &[Arc<Organisation>] {
        &self.organisations
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The route of a request: the longest prefix that begins `path` on `host`. A port in `host`
    /// is ignored.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denial> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self
            .routes
            .get(name)
            .or_else(|| self.routes.get(&name.to_ascii_lowercase()));
        routes
            .into_iter()
            .flatten()
            .find(|route| path.starts_with(&route.prefix))
            .ok_or(Denial::NoRoute)
    }

    /// The organisation that holds `key`; none on a route that needs no key, or while no
    /// organisations are configured.
    pub fn organisation(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Organisation>>, Denial> {
        if route.is_anonymous || self.organisations.is_empty() {
            return Ok(None);
        }
        let found = key.and_then(|key| self.keys.get(key));
        found.map(Some).ok_or(Denial::UnknownKey)
    }
}
