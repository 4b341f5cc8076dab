//! Termination signals and graceful shutdown.

use {
    std::{
        io,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        time::{Instant, sleep, sleep_until},
    },
    tokio_util::sync::CancellationToken,
};

/// Time for writing the answers to the requests that have not ended by themselves, before their
/// connections are dropped.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(300);

/// Interval at which the process notes that it runs. A pause in front of a signal (SIGSTOP, a stalled machine)
/// is known to this precision.
const TICK: Duration = Duration::from_millis(250);

/// Time after a pause in which a signal that came during it is handled. The runtime hears of the signal before
/// this ends, since the process has it when it runs again.
const TICK_AFTER_PAUSE: Duration = Duration::from_millis(20);

/// Shutdown in steps: `closing` starts it, at `ending` each request that is left is answered with what
/// became of it, and `aborting` drops what is still open.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled at the first signal: requests that cannot end in time are not begun.
    pub closing: CancellationToken,
    /// Cancelled shortly before `aborting`: requests in progress end with an answer.
    pub ending: CancellationToken,
    /// Cancelled after the time limit or at an interrupt during the shutdown: abort what is left.
    pub aborting: CancellationToken,
    /// The time of the shutdown, once it has begun.
    period: Arc<OnceLock<Period>>,
}

/// Handlers of the signals that begin a shutdown. Until they are installed, the signals end the process.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a runtime.
    ///
    /// Fails when they cannot be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

/// The time of a shutdown.
#[derive(Clone, Copy, Debug)]
struct Period {
    begin: Instant,
    /// When `ending` is cancelled.
    end: Instant,
}

impl Shutdown {
    /// Creates a shutdown that has not been requested yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a shutdown with its own `closing` token that shares the rest.
    pub fn with_closing(&self, closing: CancellationToken) -> Self {
        Self {
            closing,
            ..self.clone()
        }
    }

    /// Begins the shutdown: `ending` is due [`ANSWER_RESERVE`] before `limit` has passed. Later calls
    /// change nothing.
    pub fn begin(&self, limit: Duration) {
        let begin = Instant::now();
        let end = begin + limit.saturating_sub(ANSWER_RESERVE);
        // A shutdown that has begun keeps its end.
        let _ = self.period.set(Period { begin, end });
        self.closing.cancel();
    }

    /// Time until requests in progress are ended, or `None` while no shutdown has begun.
    pub fn time_left(&self) -> Option<Duration> {
        let period = self.period.get()?;
        Some(period.end.saturating_duration_since(Instant::now()))
    }

    /// Time since the shutdown began, or `None` while it has not.
    pub fn closing_for(&self) -> Option<Duration> {
        let period = self.period.get()?;
        Some(period.begin.elapsed())
    }

    /// Waits for SIGTERM or SIGINT and begins the shutdown. Cancels `aborting` after `limit`, or at a
    /// SIGINT meanwhile; another SIGTERM changes nothing. Returns early once `finished` is cancelled.
    ///
    /// Fails when the signal handlers cannot be installed.
    pub async fn watch(&self, limit: Duration, finished: CancellationToken) -> io::Result<()> {
        self.watch_signals(Signals::new()?, limit, finished).await;
        Ok(())
    }

    /// Does the same with handlers that are installed already.
    pub async fn watch_signals(
        &self,
        signals: Signals,
        limit: Duration,
        finished: CancellationToken,
    ) {
        let Signals {
            mut terminate,
            mut interrupt,
        } = signals;
        let mut ran_at = Instant::now();
        // A tick may come before a signal that came first.
        let mut paused = Duration::ZERO;
        let mut tick = TICK;
        loop {
            tokio::select! {
                biased;
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                () = finished.cancelled() => return,
                () = sleep(tick) => {
                    paused = ran_at.elapsed().saturating_sub(tick);
                    ran_at = Instant::now();
                    tick = match paused > TICK {
                        true => TICK_AFTER_PAUSE,
                        false => TICK,
                    };
                }
            }
        }
        // The signal may have come at the beginning of a pause.
        let paused = paused + ran_at.elapsed().saturating_sub(tick);
        let limit = limit.saturating_sub(paused);
        let mut abort_at = Instant::now() + limit;
        self.begin(limit);
        log::info!(
            limit_ms = limit.as_millis() as u64,
            paused_ms = paused.as_millis() as u64;
            "closing"
        );
        let end = self.period.get().map_or(abort_at, |period| period.end);
        loop {
            tokio::select! {
                biased;
                _ = terminate.recv() => log::info!("SIGTERM received again; the shutdown goes on"),
                _ = interrupt.recv() => {
                    log::warn!("interrupted during the shutdown; aborting work in progress");
                    break;
                }
                () = sleep_until(end), if !self.ending.is_cancelled() => {
                    log::info!("ending what is still in progress");
                    self.ending.cancel();
                    // The process may have been paused until now.
                    abort_at = abort_at.max(Instant::now() + ANSWER_RESERVE);
                }
                () = sleep_until(abort_at) => {
                    log::warn!("shutdown limit reached; aborting work in progress");
                    break;
                }
                () = finished.cancelled() => return,
            }
        }
        self.ending.cancel();
        self.aborting.cancel();
    }
}
