//! Settings of a sidecar.

use {
    super::{Common, Flag, source::Source},
    std::time::Duration,
    tamarackdale_core::{batch_limit, queue::Order},
};

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Settings shared with routers.
    pub common: Common,
    /// Service that the backend server provides.
    pub service: String,
    /// URL of the backend server.
    pub backend_server: String,
    /// Maximum number of queued requests.
    pub max_waiting: usize,
    /// Maximum number of bytes of responses kept until they are acknowledged, and of what routers can make the
    /// sidecar hold.
    pub max_kept_bytes: usize,
    /// Order in which queued requests start.
    pub queue_order: Order,
    /// Limit on the number of concurrent requests.
    pub batch: batch_limit::Settings,
    /// Whether the shed floor is enabled.
    pub uses_floor: bool,
    /// Minimum time between two reports.
    pub report_interval: Duration,
    /// Time for which a router may be disconnected before its running requests are cancelled.
    pub router_absence_limit: Duration,
}

/// Flags of a sidecar, in addition to the common flags.
pub const FLAGS: &[Flag] = &[
    Flag::new(
        "service",
        "NAME",
        "service that the backend server provides",
    ),
    Flag::new("backend-server", "URL", "URL of the backend server"),
    Flag::new("max-waiting", "COUNT", "maximum number of queued requests").with_default("1000"),
    Flag::new(
        "max-kept-bytes",
        "BYTES",
        "maximum number of bytes of responses kept until they are acknowledged",
    )
    .with_default("67108864"),
    Flag::new("queue-order", "NAME", "tiers or first-in").with_default("tiers"),
    Flag::new(
        "batch-limit",
        "COUNT",
        "maximum number of concurrent requests, or adaptive",
    )
    .with_default("adaptive"),
    Flag::new("shed-floor", "SWITCH", "on or off").with_default("on"),
    Flag::new(
        "report-interval-ms",
        "MILLISECONDS",
        "minimum time between two reports",
    )
    .with_default("100"),
    Flag::new(
        "router-absence-ms",
        "MILLISECONDS",
        "time for which a router may be disconnected before its running requests are cancelled",
    )
    .with_default("15000"),
];

impl Sidecar {
    /// Reads the settings; `source` collects the errors.
    pub fn read(source: &mut Source) -> Self {
        Self {
            common: Common::read(source),
            service: source.name("service"),
            backend_server: source.url("backend-server"),
            max_waiting: source.number("max-waiting") as usize,
            max_kept_bytes: source.number("max-kept-bytes") as usize,
            queue_order: source
                .parsed("queue-order", "tiers or first-in")
                .unwrap_or_default(),
            batch: read_batch(source),
            uses_floor: read_switch(source, "shed-floor"),
            report_interval: Duration::from_millis(source.number("report-interval-ms")),
            router_absence_limit: Duration::from_millis(source.number("router-absence-ms")),
        }
    }
}

fn read_batch(source: &mut Source) -> batch_limit::Settings {
    const EXPECTED: &str = "adaptive, or a whole number above 0";
    let text: String = source.parsed("batch-limit", EXPECTED).unwrap_or_default();
    if text == "adaptive" {
        return batch_limit::Settings::default();
    }
    match text.parse() {
        Ok(limit) if limit > 0 => batch_limit::Settings::fixed(limit),
        _ => {
            source.reject("batch-limit", &text, EXPECTED);
            batch_limit::Settings::default()
        }
    }
}

fn read_switch(source: &mut Source, flag: &str) -> bool {
    let text: String = source.parsed(flag, "on or off").unwrap_or_default();
    if text != "on" && text != "off" {
        source.reject(flag, &text, "on or off");
    }
    text == "on"
}
