//! Settings from flags and environment variables; a flag overrides its variable.

pub mod problem;
pub mod router;
pub mod sidecar;
pub mod source;

use {
    self::source::Source,
    log::LevelFilter,
    std::{net::SocketAddr, time::Duration},
    tamarackdale_core::id,
};

pub use {problem::Problems, router::Router, sidecar::Sidecar};

/// Settings shared by routers and sidecars.
#[derive(Clone, Debug)]
pub struct Common {
    /// Name of this instance in the instance list.
    pub instance: id::Instance,
    /// Data centre that this instance is in.
    pub data_centre: String,
    /// Listen address for the other daemons.
    pub peer_listen: SocketAddr,
    /// Listen address for metrics and health probes.
    pub admin_listen: SocketAddr,
    /// URL of the key-value store.
    pub store: String,
    /// URL of the instance list.
    pub instance_list: String,
    /// Least severe log level that is written.
    pub log_level: LevelFilter,
    /// Time limit of a graceful shutdown.
    pub shutdown_limit: Duration,
    /// Largest request body accepted, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of open connections per listener.
    pub max_connections: usize,
    /// Number of threads that serve HTTP.
    pub http_threads: usize,
}

impl Common {
    fn read(source: &mut Source) -> Self {
        Self {
            instance: id::Instance(source.name("instance")),
            data_centre: source.name("data-centre"),
            peer_listen: source.address("peer-listen"),
            admin_listen: source.address("admin-listen"),
            store: source.url("store"),
            instance_list: source.url("instance-list"),
            log_level: source.log_level("log-level"),
            shutdown_limit: Duration::from_secs(source.number("shutdown-limit-s")),
            max_body_bytes: source.number("max-body-bytes") as usize,
            max_connections: source.number("max-connections") as usize,
            http_threads: source.number("http-threads") as usize,
        }
    }
}

/// A setting's flag, from which its environment variable is derived, and its help text.
pub struct Flag {
    /// Long flag, without dashes.
    pub name: &'static str,
    /// Placeholder of the value in the help text.
    pub hint: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// Value if neither flag nor variable is given; `None` if the setting is mandatory.
    pub default: Option<&'static str>,
}

impl Flag {
    const fn new(name: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self {
            name,
            hint,
            help,
            default: None,
        }
    }

    const fn with_default(mut self, default: &'static str) -> Self {
        self.default = Some(default);
        self
    }

    /// Name of the environment variable.
    pub fn variable_name(&self) -> String {
        format!(
            "TAMARACKDALE_{}",
            self.name.replace('-', "_").to_uppercase()
        )
    }
}

/// Flags shared by routers and sidecars.
pub const COMMON_FLAGS: &[Flag] = &[
    Flag::new(
        "instance",
        "NAME",
        "name of this instance in the instance list",
    ),
    Flag::new(
        "data-centre",
        "NAME",
        "data centre that this instance is in",
    ),
    Flag::new(
        "peer-listen",
        "IP:PORT",
        "listen address for the other daemons",
    )
    .with_default("127.0.0.1:7701"),
    Flag::new(
        "admin-listen",
        "IP:PORT",
        "listen address for metrics and health probes",
    )
    .with_default("127.0.0.1:7702"),
    Flag::new("store", "URL", "URL of the key-value store"),
    Flag::new("instance-list", "URL", "URL of the instance list"),
    Flag::new("log-level", "LEVEL", "error, warn, info, debug or trace").with_default("info"),
    Flag::new(
        "shutdown-limit-s",
        "SECONDS",
        "time limit of a graceful shutdown",
    )
    .with_default("600"),
    Flag::new("max-body-bytes", "BYTES", "largest request body").with_default("4194304"),
    Flag::new(
        "max-connections",
        "COUNT",
        "maximum number of open connections per listener",
    )
    .with_default("4096"),
    Flag::new("http-threads", "COUNT", "number of threads that serve HTTP").with_default("2"),
];
