//! The size that the system is built for, and the budget for control.

use tamarackdale_core::subscription::REMOTE_FOLLOWERS;

/// Routers.
pub const ROUTERS: f64 = 360.0;
/// Sidecars, one beside each backend server.
pub const SIDECARS: f64 = 2_600.0;
/// Data centres.
pub const DATA_CENTRES: f64 = 13.0;
/// Sidecars that a router follows: those of its data centre and a sample of the others.
pub const FOLLOWED: f64 = SIDECARS / DATA_CENTRES + SIDECARS * (REMOTE_FOLLOWERS as f64) / ROUTERS;
/// Routers that follow a sidecar: those of its data centre and some of the others.
pub const FOLLOWERS: f64 = ROUTERS / DATA_CENTRES + REMOTE_FOLLOWERS as f64;
/// Organisations.
pub const ORGANISATIONS: f64 = 4_400.0;
/// Requests per second at the peak.
pub const REQUESTS_PER_S: f64 = 6_900.0;
/// Tokens generated per second at the peak.
pub const TOKENS_PER_S: f64 = 2_100_000.0;
/// Configuration changes per second, on average over a day.
pub const CHANGES_PER_S: f64 = 14_000.0 / 86_400.0;

/// Non-idempotent requests per second, if one request in ten is one.
pub const CLAIMS_PER_S: f64 = REQUESTS_PER_S / 10.0;
/// Changes of the instance list per second, on average over a day: each instance that fails or is
/// replaced goes and comes.
pub const LIST_CHANGES_PER_S: f64 = 2.0 * (53.0 + 580.0) / 86_400.0;

/// Processor time for control, in percent of a core.
pub const CONTROL_PROCESSOR_PERCENT: f64 = 4.0;
/// Memory for control, in megabytes.
pub const CONTROL_MEMORY_MB: f64 = 64.0;
/// Traffic for control, in kilobytes per second.
pub const CONTROL_TRAFFIC_KB_PER_S: f64 = 15.0;
/// Reads per second that the key-value service takes.
pub const STORE_READS_PER_S: f64 = 2_000.0;
/// Writes per second that the key-value service takes.
pub const STORE_WRITES_PER_S: f64 = 300.0;
/// Time until a change is in force everywhere, in seconds.
pub const IN_FORCE_S: f64 = 4.0;
