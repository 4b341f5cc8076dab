//! Time between giving a request up and its final answer.

use {
    super::{Decision, History},
    crate::load::Record,
    std::{collections::HashMap, time::Duration},
};

/// Delays of final answers after the decision to give up.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    delays: Vec<Duration>,
}

impl Delays {
    /// Pairs each refused request's answer, as its caller saw it, with the last decision to give
    /// it up. The records' times count from `start`, since the epoch.
    pub fn of(history: &History, records: &[Record], start: Duration) -> Self {
        let decided = last_decisions(history);
        let mut delays: Vec<Duration> = records
            .iter()
            .filter(|record| record.reason.is_some())
            .filter_map(|record| {
                let at = decided.get(record.key.as_deref()?)?;
                Some((start + record.ended).saturating_sub(*at))
            })
            .collect();
        delays.sort_unstable();
        Self { delays }
    }

    /// Number of answers.
    pub fn len(&self) -> usize {
        self.delays.len()
    }

    /// Whether there is no answer.
    pub fn is_empty(&self) -> bool {
        self.delays.is_empty()
    }

    /// A quantile, between 0 and 1.
    pub fn quantile(&self, quantile: f64) -> Duration {
        let last = self.delays.len().saturating_sub(1);
        let index = (quantile * last as f64).round() as usize;
        self.delays.get(index).copied().unwrap_or_default()
    }
}

/// When each request, by its key, was given up: the last decision before the refusal itself.
fn last_decisions(history: &History) -> HashMap<&str, Duration> {
    let mut decided = HashMap::new();
    for event in &history.events {
        let is_decision = matches!(
            event.decision,
            Decision::GivenUp | Decision::Shed | Decision::NotRouted
        );
        if !is_decision {
            continue;
        }
        let request = history
            .requests
            .get(&event.subject)
            .unwrap_or(&event.subject);
        if let Some((_, key)) = request.rsplit_once('/') {
            decided.insert(key, event.at);
        }
    }
    decided
}
