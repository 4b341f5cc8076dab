//! The users' platform in small: its store, backend servers that register there, and gateways as
//! real processes.

mod server;
mod site;
pub mod soak;

pub use {
    server::{Behaviour, CrashPoint, Repeat, RepeatPoint, Run, Server},
    site::{Configuration, Gateway, Site, request},
};
