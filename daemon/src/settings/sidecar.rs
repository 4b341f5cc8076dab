//! Settings of a sidecar.

use super::{Common, Flag, source::Source};

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Settings that both roles have.
    pub common: Common,
    /// Service that the backend server belongs to.
    pub service: String,
    /// The backend server.
    pub backend_server: String,
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Bytes of answers kept until they are acknowledged.
    pub max_kept_bytes: usize,
}

/// Flags of a sidecar, besides the common ones.
pub const FLAGS: &[Flag] = &[
    Flag::new(
        "service",
        "NAME",
        "service that the backend server belongs to",
    ),
    Flag::new("backend-server", "URL", "the backend server"),
    Flag::new("max-waiting", "COUNT", "requests that may wait").with_default("1000"),
    Flag::new(
        "max-kept-bytes",
        "BYTES",
        "bytes of answers kept until acknowledged",
    )
    .with_default("67108864"),
];

impl Sidecar {
    /// Reads the settings; problems stay in the source.
    pub fn read(source: &mut Source) -> Self {
        Self {
            common: Common::read(source),
            service: source.name("service"),
            backend_server: source.url("backend-server"),
            max_waiting: source.number("max-waiting") as usize,
            max_kept_bytes: source.number("max-kept-bytes") as usize,
        }
    }
}
