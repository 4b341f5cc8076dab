//! Workers: named threads that their parent joins.

use std::{
    io,
    thread::{self, JoinHandle},
};

/// Handle of a running worker thread.
pub struct Worker {
    name: &'static str,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts a thread named `name` that runs `body`.
    pub fn spawn(name: &'static str, body: impl FnOnce() + Send + 'static) -> io::Result<Self> {
        let thread = thread::Builder::new().name(name.into()).spawn(body)?;
        Ok(Self { name, thread })
    }

    /// Starts a thread that runs `future` on its own single-threaded Tokio runtime.
    pub fn spawn_async<F>(name: &'static str, future: F) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Self::spawn(name, move || runtime.block_on(future))
    }

    /// Waits until the thread has ended and logs a panic in it.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!(target: "tamarackdaled::duty", duty = self.name; "worker thread panicked");
        }
    }
}
