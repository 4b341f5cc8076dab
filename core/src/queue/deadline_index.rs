//! Index of waiting entries by the latest time at which they can start and meet their deadline.
//!
//! That time depends on the rates of the backend server, which change. Entries are therefore
//! grouped into size classes that are a quarter of an octave wide in prefill and in decode tokens.
//! Within a class, the order by deadline is independent of the rates, and the number of classes
//! does not grow with the queue.

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

/// Size class of an entry in prefill and in decode tokens.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SizeClass {
    prefill: u8,
    decode: u8,
}

impl SizeClass {
    fn of(entry: &Entry) -> Self {
        Self {
            prefill: size_class(entry.cost.prefill_tokens),
            decode: size_class(entry.cost.decode_tokens),
        }
    }
}

/// Entries that are dropped once they are late, by size class and deadline.
#[derive(Default)]
pub(super) struct DeadlineIndex {
    classes: BTreeMap<SizeClass, BTreeSet<(Timestamp, Attempt)>>,
}

impl DeadlineIndex {
    pub(super) fn insert(&mut self, entry: &Entry) {
        if entry.late == LatePolicy::Drop {
            let class = self.classes.entry(SizeClass::of(entry)).or_default();
            class.insert((entry.deadline, entry.attempt));
        }
    }

    pub(super) fn remove(&mut self, entry: &Entry) {
        let key = SizeClass::of(entry);
        if let Some(class) = self.classes.get_mut(&key) {
            class.remove(&(entry.deadline, entry.attempt));
            if class.is_empty() {
                self.classes.remove(&key);
            }
        }
    }

    /// Entries that would miss their deadline if started now, even with the smallest size of their
    /// size class.
    pub(super) fn expired(&self, now: Timestamp, rates: Rates) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for (class, entries) in &self.classes {
            let service = rates.service_time(min_tokens(class.prefill), min_tokens(class.decode));
            let earliest_end = now.plus(cost::min_time(service));
            let expired = entries
                .iter()
                .take_while(|(deadline, _)| *deadline < earliest_end);
            attempts.extend(expired.map(|(_, attempt)| *attempt));
        }
        attempts
    }
}

fn size_class(tokens: u32) -> u8 {
    if tokens == 0 {
        return 0;
    }
    1 + (f64::from(tokens).log2() * CLASSES_PER_OCTAVE) as u8
}

/// The smallest number of tokens in a size class, rounded down.
fn min_tokens(class: u8) -> u32 {
    match class {
        0 => 0,
        _ => (f64::from(class - 1) / CLASSES_PER_OCTAVE).exp2().floor() as u32,
    }
}
