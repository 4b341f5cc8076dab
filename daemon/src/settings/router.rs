//! Settings of a router.

use {
    super::{Common, Flag, source::Source},
    std::{net::SocketAddr, time::Duration},
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
            max_buffered_bytes: source.number("max-buffered-bytes") as usize,
            unready_delay: Duration::from_millis(source.number("unready-delay-ms")),
        }
    }
}
