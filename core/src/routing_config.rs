//! Immutable snapshot of the operator's configuration: routes, services, organisations and limits.
//!
//! Snapshots are replaced as a whole, so that a request uses one version from its acceptance to its
//! dispatch.

pub mod organisation;
pub mod route;

pub use {
    organisation::{Organisation, Quota, Unit},
    route::{RepeatPolicy, Route, Target},
};

use {
    crate::fleet::Members,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Properties of a model engine, as configured by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that one engine decodes at once.
    pub slots: u32,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Capacity of the engine's memory in tokens, for running requests and cached prefixes.
    pub memory_tokens: u64,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Maximum number of connections to each of its backend servers, over all callers; zero if it is
    /// not known.
    pub max_connections: u32,
    /// Properties of its engines; none for a plain service.
    pub engine: Option<Engine>,
}

/// Limits on the size of callers' requests, and timeouts for their connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Maximum time to receive a complete head.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
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

/// The parts that a [`RoutingConfig`] is built from.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfigParts {
    /// Version number, which only increases.
    pub version: u64,
    /// Routes with their hosts, in any order.
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

/// Reason why a configuration does not allow a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route of the host has a prefix of the path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
}

impl RoutingConfig {
    /// Builds the snapshot, with the routes of each host sorted by descending prefix length.
    pub fn new(parts: RoutingConfigParts) -> Self {
        let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in parts.routes {
            let host = host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts
            .services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        let mut keys = HashMap::new();
        let mut organisations = Vec::with_capacity(parts.organisations.len());
        for (organisation, api_keys) in parts.organisations {
            let organisation = Arc::new(organisation);
            keys.extend(
                api_keys
                    .into_iter()
                    .map(|key| (key, Arc::clone(&organisation))),
            );
            organisations.push(organisation);
        }
        Self {
            version: parts.version,
            routes,
            services,
            keys,
            organisations,
            limits: parts.limits,
        }
    }

    /// Version number.
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

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The members, none with more slots than its service's servers accept connections: a server runs
    /// one request at a time on each.
    pub fn with_bounded_slots(&self, members: &Members) -> Members {
        let mut members = members.clone();
        for member in members.values_mut() {
            let service = self.service(&member.service);
            let max = service.map_or(0, |service| service.max_connections);
            if max > 0 {
                member.slots = member.slots.min(max);
            }
        }
        members
    }

    /// The route of a request: the one of `host` with the longest prefix that matches `path`. A
    /// port in `host` is ignored.
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

    /// The organisation that `key` belongs to; `None` on an anonymous route, or if no organisations
    /// are configured.
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
