//! Stand-ins, fault proxy, load tool and history checkers for tests of tamarackdale.

pub mod capacity;
pub mod deployment;
pub mod engine;
pub mod experiment;
pub mod grant;
pub mod history;
pub mod host;
pub mod http;
pub mod injection;
pub mod list;
pub mod load;
pub mod operator;
pub mod outage;
pub mod peer;
pub mod plain;
pub mod platform;
mod port;
pub mod process;
pub mod proxy;
pub mod sample;
mod silence;
pub mod sse;
pub mod store;
pub mod strict;
pub mod traffic;
pub mod wait;
pub mod written;
