//! Settings of a router.

use {
    super::{Common, Flag, source::Source},
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::route::Policy,
};

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct Router {
    /// Settings that both roles have.
    pub common: Common,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Services that are routed to.
    pub services: Vec<String>,
    /// How requests are placed.
    pub policy: Policy,
    /// Bytes of request bodies held at once.
    pub max_buffered_bytes: usize,
    /// Time for which callers are still accepted after the router has become unready.
    pub unready_delay: Duration,
}

/// Flags of a router, besides the common ones.
pub const FLAGS: &[Flag] = &[
    Flag::new("listen", "IP:PORT", "address for callers").with_default("127.0.0.1:7700"),
    Flag::new(
        "services",
        "NAMES",
        "services to route to, separated by commas",
    ),
    Flag::new(
        "placement",
        "NAME",
        "predicted, least-outstanding, round-robin or random",
    )
    .with_default("predicted"),
    Flag::new(
        "policy-off",
        "NAMES",
        "parts not used, separated by commas: affinity, feasibility, correction, floor",
    )
    .with_default("none"),
    Flag::new(
        "max-buffered-bytes",
        "BYTES",
        "bytes of request bodies held at once",
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
    /// Reads the settings; problems stay in the source.
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
        switch_off(&mut policy, &name, source);
    }
    policy
}

fn switch_off(policy: &mut Policy, name: &str, source: &mut Source) {
    match name {
        "affinity" => policy.uses_affinity = false,
        "feasibility" => policy.checks_feasibility = false,
        "correction" => policy.corrects_reports = false,
        "floor" => policy.uses_floor = false,
        "none" => {}
        _ => source.refuse("policy-off", name, "a part of the policy, or none"),
    }
}
