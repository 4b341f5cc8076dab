//! Routes and their targets.

use {crate::tier::Rank, std::time::Duration};

/// Whether a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Never,
    /// The request runs at most once; its response is a stream.
    Stream,
    /// The response is a stream that another run can continue after the last event received.
    ResumableStream,
}

impl RepeatPolicy {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request that may have run may be sent again.
    pub fn may_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// Where the requests of a path prefix are sent, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Prefix of the paths that the route matches.
    pub prefix: String,
    /// Services that share the requests by weight; at least one.
    pub targets: Vec<Target>,
    /// Whether requests may be repeated.
    pub repeat_policy: RepeatPolicy,
    /// Maximum time from acceptance to the complete response.
    pub timeout: Duration,
    /// Latency objective: time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// Maximum number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Urgency of the requests.
    pub rank: Rank,
    /// Whether no API key is needed.
    pub is_anonymous: bool,
}

impl Route {
    /// Whether the route sends requests to a service.
    pub fn leads_to(&self, service: &str) -> bool {
        self.targets.iter().any(|target| target.service == service)
    }

    /// The service for a request whose identifier hashes to `hash`. The same request is always sent
    /// to the same service, and the services share the requests by weight.
    pub fn target(&self, hash: u64) -> Option<&str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut point = hash % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}
