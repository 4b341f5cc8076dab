//! HTTP: listeners with graceful shutdown, clients and bodies.

pub mod body;
pub mod client;
pub mod server;

pub use server::Server;
