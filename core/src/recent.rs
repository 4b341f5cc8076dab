//! Limits that change, of which the most generous recent one counts.
//!
//! A peer that has not heard of a change relies on the former limit for the time in which a change
//! takes effect. After a series of changes, that can be any of those in force within that time.

use {
    crate::freshness::BootTime,
    std::{collections::VecDeque, time::Duration},
};

/// Largest value that was in force within some time.
#[derive(Clone, Debug)]
pub struct Maximum<T> {
    current: Option<T>,
    /// Former values and when they were replaced, in the order of time. Each is smaller than the one
    /// before, and larger than the current one.
    former: VecDeque<(BootTime, T)>,
}

impl<T: Copy + Ord> Maximum<T> {
    /// No value has been in force yet.
    pub fn new() -> Self {
        Self {
            current: None,
            former: VecDeque::new(),
        }
    }

    /// Puts a value in force. Former ones that were replaced `window` ago or earlier are forgotten.
    pub fn set(&mut self, value: T, now: BootTime, window: Duration) {
        if let Some(replaced) = self.current.replace(value) {
            self.former.push_back((now, replaced));
        }
        // A former value that is not larger than a later one never counts any more.
        let mut largest = value;
        for index in (0..self.former.len()).rev() {
            match self.former[index].1 > largest {
                true => largest = self.former[index].1,
                false => drop(self.former.remove(index)),
            }
        }
        self.former
            .retain(|(replaced, _)| now.since(*replaced) < window);
    }

    /// The largest value that was in force within the last `window`, or `None` before the first.
    pub fn get(&self, now: BootTime, window: Duration) -> Option<T> {
        let former = self
            .former
            .iter()
            .filter(|(replaced, _)| now.since(*replaced) < window)
            .map(|(_, value)| *value);
        former.chain(self.current).max()
    }
}

impl<T: Copy + Ord> Default for Maximum<T> {
    fn default() -> Self {
        Self::new()
    }
}
