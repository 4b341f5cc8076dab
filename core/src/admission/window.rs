//! Sums over the latest part of the time.

use {
    crate::time::Timestamp,
    std::{collections::VecDeque, time::Duration},
};

/// Number of parts of which a window consists, each with one sum.
const PARTS: u32 = 16;

/// Sum of the values that were added within the latest `span`.
#[derive(Clone, Debug)]
pub(super) struct Window {
    span: Duration,
    parts: VecDeque<(Timestamp, f64)>,
}

impl Window {
    pub(super) const fn new(span: Duration) -> Self {
        Self {
            span,
            parts: VecDeque::new(),
        }
    }

    pub(super) fn add(&mut self, value: f64, now: Timestamp) {
        while let Some((begin, _)) = self.parts.front()
            && now.since(*begin) >= self.span
        {
            self.parts.pop_front();
        }
        match self.parts.back_mut() {
            Some((begin, sum)) if now.since(*begin) < self.span / PARTS => *sum += value,
            _ => self.parts.push_back((now, value)),
        }
    }

    pub(super) fn sum(&self, now: Timestamp) -> f64 {
        let parts = self.parts.iter();
        parts
            .filter(|(begin, _)| now.since(*begin) < self.span)
            .map(|(_, sum)| sum)
            .sum()
    }
}
