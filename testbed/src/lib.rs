//! Stand-ins, fault proxy, load tool and history checkers for tests of tamarackdale.

pub mod deployment;
pub mod engine;
pub mod experiment;
pub mod host;
pub mod http;
pub mod list;
pub mod load;
pub mod plain;
pub mod process;
pub mod proxy;
pub mod sse;
pub mod store;
pub mod traffic;
pub mod wait;
