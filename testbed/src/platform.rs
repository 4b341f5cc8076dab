//! The users' platform in small: its store, backend servers that register there, and gateways as
//! real processes.

mod caller;
mod server;
mod site;
pub mod soak;

pub use {
    caller::{Caller, Event, Try, take_up},
    server::{Behaviour, CrashPoint, Oddities, Oddity, Repeat, RepeatPoint, Run, Server},
    site::{Configuration, Gateway, Site, request},
};
