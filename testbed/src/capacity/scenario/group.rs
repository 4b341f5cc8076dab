//! The series of one process against one size.

use crate::capacity::{reading::Reading, series::Series, target};

/// The series of one process against one size.
pub(super) struct Group {
    processor: Series,
    memory: Series,
    traffic: Series,
}

impl Group {
    /// Series for control, with its budget.
    pub(super) fn new(observed: &str, size: &str, target: f64) -> Self {
        let group = Self::without_budget(observed, size, target);
        Self {
            processor: group
                .processor
                .with_budget(target::CONTROL_PROCESSOR_PERCENT),
            memory: group.memory.with_budget(target::CONTROL_MEMORY_MB),
            traffic: group.traffic.with_budget(target::CONTROL_TRAFFIC_KB_PER_S),
        }
    }

    /// Series for work that is not control.
    pub(super) fn without_budget(observed: &str, size: &str, target: f64) -> Self {
        Self {
            processor: Series::new(observed, size, "processor, % of a core", target),
            memory: Series::new(observed, size, "memory, MB", target),
            traffic: Series::new(observed, size, "traffic, KB/s", target),
        }
    }

    /// Adds a measurement.
    pub(super) fn push(&mut self, x: f64, reading: &Reading) {
        self.processor.push(x, reading.processor_percent);
        self.memory.push(x, reading.memory_mb);
        self.traffic.push(x, reading.traffic_kb_per_s);
    }

    /// All series.
    pub(super) fn into_series(self) -> Vec<Series> {
        vec![self.processor, self.memory, self.traffic]
    }
}
