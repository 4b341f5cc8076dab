//! `tamarackdaled`, the daemon of tamarackdale, in one of three roles.
//!
//! A *router* takes callers' requests, chooses a sidecar for each and relays the answer. A
//! *sidecar* runs beside one backend server, queues requests in tier order and dispatches them. A
//! *gateway* is a router that sends to backend servers itself, on the users' platform.

pub mod admin;
pub mod channel;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod gateway;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod router;
pub mod settings;
pub mod sidecar;
pub mod signal;
pub mod worker;
