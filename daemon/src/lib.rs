//! `tamarackdaled`, the daemon of tamarackdale, which runs in one of three roles.
//!
//! A *router* accepts requests from callers, chooses a sidecar for each and relays the response. A
//! *sidecar* runs next to one backend server, queues requests by tier and dispatches them. A
//! *gateway* routes requests directly to backend servers on the users' platform.

pub mod admin;
pub mod channel;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod gateway;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod quarantine;
pub mod router;
pub mod settings;
pub mod sidecar;
pub mod signal;
pub mod worker;
