//! Settings of a sidecar.

use {
    super::{Common, Flag, source::Source},
    std::time::Duration,
    tamarackdale_core::{batch_limit, queue::Order},
};

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
    /// Order in which requests start.
    pub queue_order: Order,
    /// How many requests may run at once.
    pub batch: batch_limit::Settings,
    /// Whether the shed floor is used.
    pub uses_floor: bool,
    /// Shortest time between two reports.
    pub report_interval: Duration,
    /// Time that a router may be gone before its running work is cancelled.
    pub router_absence_limit: Duration,
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
    Flag::new("queue-order", "NAME", "tiers or first-in").with_default("tiers"),
    Flag::new(
        "batch-limit",
        "COUNT",
        "requests that may run at once, or adaptive",
    )
    .with_default("adaptive"),
    Flag::new("shed-floor", "SWITCH", "on or off").with_default("on"),
    Flag::new(
        "report-interval-ms",
        "MILLISECONDS",
        "shortest time between two reports",
    )
    .with_default("100"),
    Flag::new(
        "router-absence-ms",
        "MILLISECONDS",
        "time that a router may be gone before its running work is cancelled",
    )
    .with_default("15000"),
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
            source.refuse("batch-limit", &text, EXPECTED);
            batch_limit::Settings::default()
        }
    }
}

fn read_switch(source: &mut Source, flag: &str) -> bool {
    let text: String = source.parsed(flag, "on or off").unwrap_or_default();
    if text != "on" && text != "off" {
        source.refuse(flag, &text, "on or off");
    }
    text == "on"
}
