//! Settings of a router.

use {
    super::{Common, Flag, source::Source},
    std::net::SocketAddr,
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
}

/// Flags of a router, besides the common ones.
pub const FLAGS: &[Flag] = &[
    Flag::new("listen", "IP:PORT", "address for callers").with_default("127.0.0.1:7700"),
    Flag::new(
        "services",
        "NAMES",
        "services to route to, separated by commas",
    ),
];

impl Router {
    /// Reads the settings; problems stay in the source.
    pub fn read(source: &mut Source) -> Self {
        Self {
            common: Common::read(source),
            listen: source.address("listen"),
            services: source.names("services"),
        }
    }
}
