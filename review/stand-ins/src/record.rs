//! The record of a run: what was sent, answered and run, and when.

use {
    crate::lock,
    std::{
        fmt::Display,
        fs,
        path::PathBuf,
        sync::{Arc, Mutex},
        time::Instant,
    },
};

/// Lines with the time since the start of the run. Clones share them.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    /// Adds a line.
    pub fn add(&self, line: impl Display) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line with its own time.
    pub fn add_at(&self, at: Instant, line: impl Display) {
        lock(&self.lines).push((self.millis(at), line.to_string()));
    }

    /// Milliseconds since the start.
    pub fn millis(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    /// Writes the lines to the file that `RECORD` names, and the last ones to the standard output.
    pub fn write(&self, verdict: &str) {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::from("ms since the start, then what happened\n");
        for (at, line) in &lines {
            text.push_str(&format!("{at:>7} {line}\n"));
        }
        text.push_str(&format!("verdict: {verdict}\n"));
        println!("{verdict}");
        let path = PathBuf::from(std::env::var("RECORD").unwrap_or("record.txt".into()));
        if let Err(error) = fs::write(&path, text) {
            eprintln!("cannot write {path:?}: {error}");
        }
    }
}
