//! Index of waiting entries by the time until which they can still be started.
//!
//! That time depends on the backend server's rates, which change. Entries are therefore grouped
//! by their size, a quarter of an octave wide in either dimension; within a group the order by
//! deadline holds whatever the rates are, and the number of groups does not grow with the queue.

use {
    super::{Entry, LatePolicy},
    crate::{
        cost::{self, Rates},
        id::Attempt,
        time::Timestamp,
    },
    std::collections::{BTreeMap, BTreeSet},
};

const CLASSES_PER_OCTAVE: f64 = 4.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    prefill: u8,
    decode: u8,
}

impl Class {
    fn of(entry: &Entry) -> Self {
        Self {
            prefill: class(entry.cost.prefill_tokens),
            decode: class(entry.cost.decode_tokens),
        }
    }
}

/// Entries that are dropped once they are late, by size and deadline.
#[derive(Default)]
pub(super) struct Deadlines {
    classes: BTreeMap<Class, BTreeSet<(Timestamp, Attempt)>>,
}

impl Deadlines {
    pub(super) fn insert(&mut self, entry: &Entry) {
        if entry.late == LatePolicy::Drop {
            let class = self.classes.entry(Class::of(entry)).or_default();
            class.insert((entry.deadline, entry.attempt));
        }
    }

    pub(super) fn remove(&mut self, entry: &Entry) {
        let key = Class::of(entry);
        if let Some(class) = self.classes.get_mut(&key) {
            class.remove(&(entry.deadline, entry.attempt));
            if class.is_empty() {
                self.classes.remove(&key);
            }
        }
    }

    /// Entries that would miss their deadline if started now, taken with the size of the
    /// smallest entry of their group.
    pub(super) fn hopeless(&self, now: Timestamp, rates: Rates) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for (class, entries) in &self.classes {
            let service = rates.service_time(smallest(class.prefill), smallest(class.decode));
            let earliest_end = now.plus(cost::least_time(service));
            let late = entries
                .iter()
                .take_while(|(deadline, _)| *deadline < earliest_end);
            attempts.extend(late.map(|(_, attempt)| *attempt));
        }
        attempts
    }
}

fn class(tokens: u32) -> u8 {
    if tokens == 0 {
        return 0;
    }
    1 + (f64::from(tokens).log2() * CLASSES_PER_OCTAVE) as u8
}

fn smallest(class: u8) -> u32 {
    match class {
        0 => 0,
        _ => (f64::from(class - 1) / CLASSES_PER_OCTAVE).exp2().floor() as u32,
    }
}
