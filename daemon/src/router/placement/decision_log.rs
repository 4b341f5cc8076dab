//! Log of the last placement decisions, which lets operators see why a sidecar was chosen.

use {
    crate::router::inbound::InboundRequest,
    std::{collections::VecDeque, time::Duration},
    tamarackdale_core::{failure::Failure, route::Choice, time::Timestamp},
    tamarackdale_wire::status::{Candidate, Decision},
};

/// Number of decisions kept for each service.
const CAPACITY: usize = 1024;

struct Entry {
    /// Idempotency key of the request.
    key: String,
    at: Timestamp,
    decision: Decision,
}

/// The last decisions on requests for one service, oldest first.
#[derive(Default)]
pub struct DecisionLog {
    entries: VecDeque<Entry>,
}

impl DecisionLog {
    /// Records that a sidecar was chosen.
    pub fn record_choice(&mut self, request: &InboundRequest, choice: &Choice, now: Timestamp) {
        let candidates = choice
            .candidates
            .iter()
            .map(|candidate| Candidate {
                instance: candidate.incarnation.instance.to_string(),
                predicted_ms: millis(candidate.predicted),
            })
            .collect();
        let decision = Decision {
            candidates,
            chosen: choice.incarnation.to_string(),
            reason: choice.basis.to_string(),
            ..decision(request)
        };
        self.record(request, decision, now);
    }

    /// Records that no sidecar was chosen.
    pub fn record_refusal(&mut self, request: &InboundRequest, failure: &Failure, now: Timestamp) {
        let decision = Decision {
            reason: failure.reason.to_string(),
            ..decision(request)
        };
        self.record(request, decision, now);
    }

    /// Returns the decisions on a request, oldest first.
    pub fn decisions(&self, key: &str, now: Timestamp) -> Vec<Decision> {
        self.entries
            .iter()
            .filter(|entry| entry.key == key)
            .map(|entry| Decision {
                age_ms: millis(now.since(entry.at)),
                ..entry.decision.clone()
            })
            .collect()
    }

    fn record(&mut self, request: &InboundRequest, decision: Decision, now: Timestamp) {
        if self.entries.len() == CAPACITY {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry {
            key: request.id.key.clone(),
            at: now,
            decision,
        });
    }
}

fn decision(request: &InboundRequest) -> Decision {
    Decision {
        service: request.id.service.clone(),
        organisation: request.id.organisation.clone(),
        tier: request.tier.clone(),
        revision: request.version.revision.0,
        ..Decision::default()
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
