//! One measurement of a process over a window of time.

use std::time::Duration;

/// What a process had used by some moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Processor time.
    pub processor: Duration,
    /// Memory resident now, in bytes.
    pub memory_bytes: u64,
    /// Bytes on its links.
    pub link_bytes: u64,
    /// Reads that all processes have made of the key-value service.
    pub store_reads: u64,
    /// Writes that all processes have made to the key-value service.
    pub store_writes: u64,
}

impl Counters {
    /// Both together; the store's calls, which all processes share, are the first's.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processor: self.processor + other.processor,
            memory_bytes: self.memory_bytes + other.memory_bytes,
            link_bytes: self.link_bytes + other.link_bytes,
            ..*self
        }
    }

    /// The share of one process of `count`; nothing of none.
    pub fn divided_by(&self, count: u32) -> Self {
        let count = count.max(1);
        Self {
            processor: self.processor / count,
            memory_bytes: self.memory_bytes / u64::from(count),
            link_bytes: self.link_bytes / u64::from(count),
            ..*self
        }
    }
}

/// What a process uses, and the platform's services are called, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// Processor time, in percent of a core.
    pub processor_percent: f64,
    /// Memory at the end of the window, in megabytes.
    pub memory_mb: f64,
    /// Traffic on its links, in kilobytes per second.
    pub traffic_kb_per_s: f64,
    /// Reads of the key-value service per second, by all processes.
    pub store_reads_per_s: f64,
    /// Writes to the key-value service per second, by all processes.
    pub store_writes_per_s: f64,
}

impl Reading {
    /// What was used between two moments that lie `window` apart.
    pub fn between(before: Counters, after: Counters, window: Duration) -> Self {
        let seconds = window.as_secs_f64();
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        let processor = after.processor.saturating_sub(before.processor);
        Self {
            processor_percent: 100.0 * processor.as_secs_f64() / seconds,
            memory_mb: after.memory_bytes as f64 / 1e6,
            traffic_kb_per_s: rate(before.link_bytes, after.link_bytes) / 1e3,
            store_reads_per_s: rate(before.store_reads, after.store_reads),
            store_writes_per_s: rate(before.store_writes, after.store_writes),
        }
    }
}
