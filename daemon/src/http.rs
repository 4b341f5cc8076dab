//! HTTP: listeners with graceful shutdown, clients and bodies.

pub mod body;
pub mod client;
pub mod server;

pub use server::Server;

use {hyper::Method, std::io, tokio::runtime::Runtime};

/// Every method that callers use; a listener for callers takes them all.
pub fn methods() -> Vec<Method> {
    vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
    ]
}

/// The runtime that HTTP is served on.
///
/// Fails when its threads cannot be started.
pub fn runtime(threads: usize) -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("http")
        .worker_threads(threads)
        .build()
}
