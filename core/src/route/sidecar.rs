//! A router's view of one sidecar.

use {
    super::{Prediction, Request},
    crate::{
        batch_limit,
        id::{Attempt, Boot, Incarnation},
        report::{Report, Share, WaitingWork},
        tier::Rank,
        time::{self, Timestamp},
    },
    std::collections::BTreeMap,
};

/// A request of this router in progress at the sidecar.
pub(super) struct Dispatch {
    pub(super) attempt: Attempt,
    pub(super) rank: Rank,
    pub(super) prefill_tokens: u32,
    pub(super) decode_tokens: u32,
}

/// A router's view of one sidecar.
pub(super) struct Sidecar {
    report: Report,
    received: Timestamp,
    is_leaving: bool,
    /// Requests of this router in progress that the report does not include, by sequence number.
    unreported: BTreeMap<u64, Dispatch>,
    outstanding: usize,
}

/// Number of requests and tokens that are processed before a request.
#[derive(Default)]
struct WorkAhead {
    requests: f64,
    prefill: f64,
    decode: f64,
}

impl Sidecar {
    pub(super) fn new(report: Report, now: Timestamp) -> Self {
        Self {
            is_leaving: report.leaving,
            report,
            received: now,
            unreported: BTreeMap::new(),
            outstanding: 0,
        }
    }

    pub(super) fn boot(&self) -> Boot {
        self.report.incarnation.boot
    }

    pub(super) fn incarnation(&self) -> &Incarnation {
        &self.report.incarnation
    }

    pub(super) fn accepts_requests(&self) -> bool {
        !self.is_leaving
    }

    pub(super) fn mark_leaving(&mut self) {
        self.is_leaving = true;
    }

    pub(super) fn outstanding(&self) -> usize {
        self.outstanding
    }

    pub(super) fn update(&mut self, report: Report, router: Boot, now: Timestamp) {
        let seen = report.seen.iter().find(|attempt| attempt.router == router);
        if let Some(seen) = seen {
            self.unreported = match seen.sequence.checked_add(1) {
                Some(next) => self.unreported.split_off(&next),
                None => BTreeMap::new(),
            };
        }
        self.is_leaving |= report.leaving;
        self.report = report;
        self.received = now;
    }

    pub(super) fn record_dispatch(&mut self, dispatch: Dispatch) {
        self.unreported.insert(dispatch.attempt.sequence, dispatch);
        self.outstanding += 1;
    }

    pub(super) fn record_completion(&mut self, attempt: Attempt) {
        self.unreported.remove(&attempt.sequence);
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Predicts the times of a request of which `uncached_tokens` prompt tokens must be prefilled.
    pub(super) fn predict(
        &self,
        request: &Request,
        uncached_tokens: u32,
        corrects_report: bool,
        now: Timestamp,
    ) -> Prediction {
        let rates = self.report.rates;
        let mut ahead = self.reported_work_ahead(request);
        ahead.prefill += f64::from(self.report.unprefilled_tokens);
        if corrects_report {
            self.add_unreported(&mut ahead, request.rank);
        }
        let slots = f64::from(batch_limit::limit_for(
            self.report.limit.max(1),
            request.rank,
        ));
        let running = f64::from(self.report.running);
        let wait_s = if running + ahead.requests < slots {
            ahead.prefill / rates.prefill
        } else {
            let residual = f64::from(self.report.running_tokens) / running.max(1.0);
            let decode_s = (residual + ahead.decode) / (slots * rates.decode);
            decode_s + ahead.prefill / rates.prefill - now.since(self.received).as_secs_f64()
        };
        Prediction {
            wait: time::seconds(wait_s),
            service: rates.service_time(uncached_tokens, request.cost.decode_tokens),
        }
    }

    /// Reported waiting work that is started before the request.
    fn reported_work_ahead(&self, request: &Request) -> WorkAhead {
        let mut ahead = WorkAhead::default();
        for (rank, work) in (0..=request.rank.0).zip(&self.report.waiting) {
            let fraction = match Rank(rank) == request.rank {
                true => fraction_ahead(work, request),
                false => 1.0,
            };
            ahead.requests += fraction * f64::from(work.requests);
            ahead.prefill += fraction * f64::from(work.prefill_tokens);
            ahead.decode += fraction * f64::from(work.decode_tokens);
        }
        ahead
    }

    fn add_unreported(&self, ahead: &mut WorkAhead, rank: Rank) {
        for dispatch in self.unreported.values() {
            if !rank.is_more_urgent_than(dispatch.rank) {
                ahead.requests += 1.0;
                ahead.prefill += f64::from(dispatch.prefill_tokens);
                ahead.decode += f64::from(dispatch.decode_tokens);
            }
        }
    }
}

/// Fraction of the waiting work of the request's own rank that fair queueing starts before it: all
/// work of its own organisation, and for each other one as much as its weight allows in that time.
fn fraction_ahead(work: &WaitingWork, request: &Request) -> f64 {
    let total = work.tokens() as f64;
    if total == 0.0 {
        return 0.0;
    }
    let is_own = |share: &&Share| share.organisation == request.organisation;
    let own = work
        .shares
        .iter()
        .find(is_own)
        .map_or(0.0, |share| f64::from(share.tokens));
    let finish = (own + request.cost.tokens() as f64) / f64::from(request.weight.max(1));
    let mut before = total;
    for share in work.shares.iter().filter(|share| !is_own(share)) {
        let excess = f64::from(share.tokens) - finish * f64::from(share.weight);
        before -= excess.max(0.0);
    }
    (before / total).clamp(0.0, 1.0)
}
