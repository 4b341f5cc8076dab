//! Termination signals and graceful shutdown.

use {
    std::time::Duration,
    tokio::signal::unix::{SignalKind, signal},
    tokio_util::sync::CancellationToken,
};

/// Two-step shutdown: `closing` starts a graceful shutdown, `aborting` ends what is still running.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled at the first signal: accept no new work, finish work in progress.
    pub closing: CancellationToken,
    /// Cancelled at the second signal or after the time limit: abort work in progress.
    pub aborting: CancellationToken,
}

impl Shutdown {
    /// Creates a shutdown that has not been requested yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a shutdown with its own `closing` token that shares the `aborting` token.
    pub fn with_closing(&self, closing: CancellationToken) -> Self {
        Self {
            closing,
            aborting: self.aborting.clone(),
        }
    }

    /// Waits for SIGTERM or SIGINT and cancels `closing`; after a second signal or after `limit`
    /// cancels `aborting`. Returns early once `finished` is cancelled.
    ///
    /// Fails when the signal handlers cannot be installed.
    pub async fn watch(&self, limit: Duration, finished: CancellationToken) -> std::io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = finished.cancelled() => return Ok(()),
        }
        log::info!("closing");
        self.closing.cancel();
        tokio::select! {
            _ = terminate.recv() => log::warn!("second signal received; aborting work in progress"),
            _ = interrupt.recv() => log::warn!("second signal received; aborting work in progress"),
            () = tokio::time::sleep(limit) => {
                log::warn!("shutdown limit reached; aborting work in progress");
            }
            () = finished.cancelled() => return Ok(()),
        }
        self.aborting.cancel();
        Ok(())
    }
}
