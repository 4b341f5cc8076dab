//! Writes log lines on a thread of its own, so that a reader that stops reading stops nobody.
//!
//! The volume is bounded twice: a ring holds the lines that are not written yet, and lines of
//! ordinary events have a budget a second. Warnings and errors, which tell of refusals and
//! failures, have none. What is left out is counted and told.

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

/// Lines that may wait to be written; at most some megabytes.
const RING_LINES: usize = 4_096;

/// Lines of ordinary events a second: some for each request of a process under a burst, and about one
/// hundredth of a core.
const LINES_PER_S: u32 = 1_000;

/// Pause between two lines that tell how many were left out.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Lines that were left out.
#[derive(Debug, Default)]
struct Omission {
    over_budget: AtomicU64,
    ring_full: AtomicU64,
}

impl Omission {
    /// What was left out since the last look, as a line; none if nothing was.
    fn take_line(&self) -> Option<String> {
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

#[derive(Debug)]
struct Budget {
    left: u32,
    since: Instant,
}

impl Budget {
    fn take(&mut self) -> bool {
        if self.since.elapsed() >= Duration::from_secs(1) {
            self.left = LINES_PER_S;
            self.since = Instant::now();
        }
        let has_room = self.left > 0;
        self.left = self.left.saturating_sub(1);
        has_room
    }
}

/// Takes log lines and never waits.
#[derive(Clone)]
pub(super) struct Writer {
    lines: Sender<String>,
    budget: Arc<Mutex<Budget>>,
    omission: Arc<Omission>,
}

impl Writer {
    /// A writer to the standard output, and the duty that writes.
    pub(super) fn spawn() -> io::Result<(Self, Worker)> {
        let (lines, receiver) = bounded(RING_LINES);
        let omission = Arc::new(Omission::default());
        let writer = Self {
            lines,
            budget: Arc::new(Mutex::new(Budget {
                left: LINES_PER_S,
                since: Instant::now(),
            })),
            omission: Arc::clone(&omission),
        };
        let duty = Worker::spawn("log", move || write_all(&receiver, &omission))?;
        Ok((writer, duty))
    }

    /// Takes a formatted record.
    pub(super) fn take(&self, record: &Record<'_>) {
        if record.level() >= Level::Info && !self.lock().take() {
            self.omission.over_budget.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let line = record.args().to_string();
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.omission.ring_full.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Ends the duty after all lines before.
    pub(super) fn end(&self) {
        // An empty line is the end; a ring without room for it is one that nobody reads.
        let _ = self.lines.try_send(String::new());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_all(lines: &Receiver<String>, omission: &Omission) {
    let mut output = BufWriter::new(io::stdout());
    let mut reported = Instant::now();
    while let Ok(line) = lines.recv() {
        if line.is_empty() {
            break;
        }
        // An output that is closed is no reason to end; there is nowhere to tell it either.
        let _ = writeln!(output, "{line}");
        if reported.elapsed() >= REPORT_INTERVAL {
            reported = Instant::now();
            if let Some(line) = omission.take_line() {
                let _ = writeln!(output, "{line}");
            }
        }
        if lines.is_empty() {
            let _ = output.flush();
        }
    }
    let _ = output.flush();
}
