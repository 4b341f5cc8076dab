//! Routes.

use {crate::tier::Rank, std::time::Duration};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Never,
    /// The request runs at most once; its answer is a stream.
    Stream,
    /// The answer is a stream, which another run may continue after its last event.
    ResumableStream,
}

impl RepeatPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request that may have run can be sent again from its start.
    pub fn may_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that a route sends to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// Where requests go and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Start of the paths that the route takes.
    pub prefix: String,
    /// Services by weight, at least one.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub repeat_policy: RepeatPolicy,
    /// Longest time from acceptance to the whole answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers are promised.
    pub objective: Duration,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Urgency.
    pub rank: Rank,
    /// Whether no API key is needed.
    pub is_anonymous: bool,
}

impl Route {
    /// The service for a request whose identifier hashes to `hash`: the same request always goes
    /// to the same one, and services share by weight.
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
