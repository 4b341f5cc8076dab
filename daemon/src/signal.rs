//! Termination signals and the order to close.

use {
    std::time::Duration,
    tokio::signal::unix::{SignalKind, signal},
    tokio_util::sync::CancellationToken,
};

/// Two-step shutdown: `closing` asks everything to finish, `cutting` ends what has not.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Set at the first signal: take nothing new, finish what is in flight.
    pub closing: CancellationToken,
    /// Set at the second signal or after the limit: end now.
    pub aborting: CancellationToken,
}

impl Shutdown {
    /// A shutdown that nobody has asked for yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A shutdown that closes by a token of its own and is cut together with this one.
    pub fn with_closing(&self, closing: CancellationToken) -> Self {
        Self {
            closing,
            aborting: self.aborting.clone(),
        }
    }

    /// Waits for SIGTERM or SIGINT, starts closing, and after a second signal or after `limit`
    /// starts cutting. Returns early once `finished` is set.
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
            _ = terminate.recv() => log::warn!("second signal: cutting what is in flight"),
            _ = interrupt.recv() => log::warn!("second signal: cutting what is in flight"),
            () = tokio::time::sleep(limit) => {
                log::warn!("shutdown limit reached: cutting what is in flight");
            }
            () = finished.cancelled() => return Ok(()),
        }
        self.aborting.cancel();
        Ok(())
    }
}
