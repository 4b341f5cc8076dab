//! Settings of a router.

use {
    super::{Common, Flag, source::Source},
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::route::Policy,
};

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct Router {
    /// Settings shared with sidecars.
    pub common: Common,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Services that this router routes to.
    pub services: Vec<String>,
    /// How a sidecar is chosen for a request.
    pub policy: Policy,
    /// Memory that callers and sidecars can make the router hold, in bytes.
    pub max_buffered_bytes: usize,
    /// Time for which callers are still accepted after the router has stopped reporting ready.
    pub unready_delay: Duration,
}

/// Flags of a router, in addition to the common flags.
pub const FLAGS: &[Flag] = &[
    Flag::new("listen", "IP:PORT", "listen address for callers").with_default("127.0.0.1:7700"),
    Flag::new("services", "NAMES", "comma-separated services to route to"),
    Flag::new(
        "placement",
        "NAME",
        "predicted, least-outstanding, round-robin or random",
    )
    .with_default("predicted"),
    Flag::new(
        "policy-off",
        "NAMES",
        "comma-separated parts of the policy to disable: affinity, feasibility, correction, floor",
    )
    .with_default("none"),
    Flag::new(
        "max-buffered-bytes",
        "BYTES",
        "maximum number of bytes that callers can make the router hold",
    )
    .with_default("268435456"),
    Flag::new(
        "unready-delay-ms",
        "MILLISECONDS",
        "time for which callers are still accepted after a termination signal",
    )
    .with_default("1000"),
];

impl Router {
    /// Reads the settings; `source` collects the errors.
    pub fn read(source: &mut Source) -> Self {
        Self {
            common: Common::read(source),
            listen: source.address("listen"),
            services: source.names("services"),
            policy: read_policy(source),
            max_buffered_bytes: source.number("max-buffered-bytes") as usize,
            unready_delay: Duration::from_millis(source.number("unready-delay-ms")),
        }
    }
}

fn read_policy(source: &mut Source) -> Policy {
    let placement = source.parsed(
        "placement",
        "predicted, least-outstanding, round-robin or random",
    );
    let mut policy = Policy {
        placement: placement.unwrap_or_default(),
        ..Policy::default()
    };
    for name in source.names("policy-off") {
        disable_part(&mut policy, &name, source);
    }
    policy
}

fn disable_part(policy: &mut Policy, name: &str, source: &mut Source) {
    match name {
        "affinity" => policy.uses_affinity = false,
        "feasibility" => policy.checks_feasibility = false,
        "correction" => policy.corrects_reports = false,
        "floor" => policy.uses_floor = false,
        "none" => {}
        _ => source.reject("policy-off", name, "a part of the policy, or none"),
    }
}
