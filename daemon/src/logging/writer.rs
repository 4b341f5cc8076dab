//! Writes log lines on a separate thread, so that a blocked standard output does not block the
//! threads that log.
//!
//! Two limits bound the volume: a bounded channel holds the lines that are not written yet, and
//! lines at level info and below are rate-limited. Warnings and errors, which report refusals and
//! failures, are not rate-limited. Dropped lines are counted and reported in the log.

use {
    crate::worker::Worker,
    crossbeam_channel::{Receiver, Sender, TrySendError, bounded},
    log::{Level, Record},
    serde_json::json,
    std::{
        io::{self, BufWriter, Write as _},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Lines that may wait to be written; a few megabytes at most.
const CHANNEL_CAPACITY: usize = 4_096;

/// Lines per second at level info and below. Enough for several lines per request during a burst;
/// writing them takes about 1% of a core.
const MAX_INFO_LINES_PER_S: u32 = 1_000;

/// Shortest time between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of dropped lines since the last report.
#[derive(Debug, Default)]
struct DroppedLines {
    over_budget: AtomicU64,
    ring_full: AtomicU64,
}

impl DroppedLines {
    /// Resets the counts and formats them as a log line; `None` if no line was dropped.
    fn take_report(&self) -> Option<String> {
        let over_budget = self.over_budget.swap(0, Ordering::Relaxed);
        let ring_full = self.ring_full.swap(0, Ordering::Relaxed);
        let line = json!({
            "level": "WARN",
            "message": "log lines left out",
            "over_budget": over_budget,
            "ring_full": ring_full,
        });
        (over_budget + ring_full > 0).then(|| line.to_string())
    }
}

/// Fixed-window rate limiter with a window of one second.
#[derive(Debug)]
struct RateLimiter {
    remaining: u32,
    window_start: Instant,
}

impl RateLimiter {
    fn try_acquire(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.remaining = MAX_INFO_LINES_PER_S;
            self.window_start = Instant::now();
        }
        let is_allowed = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        is_allowed
    }
}

/// Queues log lines for the writer worker without blocking.
#[derive(Clone)]
pub(super) struct Writer {
    lines: Sender<String>,
    rate_limiter: Arc<Mutex<RateLimiter>>,
    dropped: Arc<DroppedLines>,
}

impl Writer {
    /// Creates a writer to the standard output and starts its thread.
    pub(super) fn spawn() -> io::Result<(Self, Worker)> {
        let (lines, receiver) = bounded(CHANNEL_CAPACITY);
        let dropped = Arc::new(DroppedLines::default());
        let writer = Self {
            lines,
            rate_limiter: Arc::new(Mutex::new(RateLimiter {
                remaining: MAX_INFO_LINES_PER_S,
                window_start: Instant::now(),
            })),
            dropped: Arc::clone(&dropped),
        };
        let worker = Worker::spawn("log", move || write_lines(&receiver, &dropped))?;
        Ok((writer, worker))
    }

    /// Queues a formatted record, or counts it as dropped.
    pub(super) fn write(&self, record: &Record<'_>) {
        if record.level() >= Level::Info && !self.lock_rate_limiter().try_acquire() {
            self.dropped.over_budget.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let line = record.args().to_string();
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.ring_full.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Ends the writer worker after the lines queued so far.
    pub(super) fn close(&self) {
        // An empty line marks the end. If the channel has no room for it, the output is blocked.
        let _ = self.lines.try_send(String::new());
    }

    fn lock_rate_limiter(&self) -> std::sync::MutexGuard<'_, RateLimiter> {
        self.rate_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_lines(lines: &Receiver<String>, dropped: &DroppedLines) {
    let mut output = BufWriter::new(io::stdout());
    let mut last_report = Instant::now();
    while let Ok(line) = lines.recv() {
        if line.is_empty() {
            break;
        }
        // A closed output does not end the process, and there is nowhere else to report it.
        let _ = writeln!(output, "{line}");
        if last_report.elapsed() >= REPORT_INTERVAL {
            last_report = Instant::now();
            if let Some(line) = dropped.take_report() {
                let _ = writeln!(output, "{line}");
            }
        }
        if lines.is_empty() {
            let _ = output.flush();
        }
    }
    let _ = output.flush();
}
