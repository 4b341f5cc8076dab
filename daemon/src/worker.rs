//! Threads of a process, each with one duty, and their joining.

use std::{
    io,
    thread::{self, JoinHandle},
};

/// A running duty; its parent joins it.
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

    /// Starts a thread that runs a future on an asynchronous runtime of its own.
    pub fn spawn_async<F>(name: &'static str, future: F) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Self::spawn(name, move || runtime.block_on(future))
    }

    /// Waits until the duty has ended; a panic in it is logged.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!(target: "tamarackdaled::duty", duty = self.name; "duty panicked");
        }
    }
}
