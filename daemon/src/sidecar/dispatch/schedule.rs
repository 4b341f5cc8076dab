//! Periodic work of the dispatch worker: offers, timeouts, deadlines and reports.

use {
    super::Dispatcher,
    crate::sidecar::task::Message,
    std::time::Duration,
    tamarackdale_core::{
        failure::{Failure, Reason},
        report::Report,
        time::Timestamp,
    },
};

/// Time within which a router must grant an attempt that is ready; after it, the attempt is voided
/// and its slot is free for another.
const GRANT_TIMEOUT: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Does all work that is due now.
    pub(super) fn advance(&mut self) {
        let now = self.clock.now();
        if (self.is_leaving)() {
            self.close(now);
        }
        self.apply_floor(now);
        for attempt in self.in_flight.overdue(now, GRANT_TIMEOUT) {
            self.void(attempt, Failure::not_run(Reason::Void), now);
        }
        self.offer_next(now);
        self.expire(now);
        for attempt in self.table.sweep(now) {
            self.tasks.remove(&attempt);
        }
        self.publish(now);
    }

    /// Requests grants while the backend server has capacity.
    pub(super) fn offer_next(&mut self, now: Timestamp) {
        let rates = self.limit.rates(now);
        while let Some(rank) = self.queue.peek().map(|entry| entry.rank) {
            let taken = self.limit.running() + self.in_flight.offered_count();
            let unprefilled = self.in_flight.unprefilled_tokens();
            if taken >= self.limit.limit_for(rank) || !self.limit.has_prefill_room(unprefilled, now)
            {
                return;
            }
            let Some(entry) = self.queue.pop(now, rates) else {
                return;
            };
            if !self.table.offer(entry.attempt) {
                continue;
            }
            let attempt = entry.attempt;
            self.in_flight.record_offer(entry, now);
            self.notify(attempt, Message::Ready);
        }
    }

    /// Refuses waiting attempts that can no longer meet their deadline, including those that
    /// [`Self::offer_next`] has just skipped.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let rates = self.limit.rates(now);
        for (entry, failure) in self.queue.expire(now, rates) {
            log::info!(
                attempt:% = entry.attempt,
                organisation = entry.organisation.as_str(),
                rank = entry.rank.0;
                "given up"
            );
            self.void(entry.attempt, failure, now);
        }
    }

    /// Returns all waiting attempts to their routers, once. A sidecar that has started to leave
    /// accepts new work only after a restart; routers rely on this.
    pub(super) fn close(&mut self, now: Timestamp) {
        if self.closed {
            return;
        }
        self.closed = true;
        let waiting = self.queue.drain();
        let attempts = waiting
            .into_iter()
            .map(|entry| entry.attempt)
            .chain(self.in_flight.offered_attempts());
        for attempt in attempts.collect::<Vec<_>>() {
            self.void(attempt, Failure::not_run(Reason::Closing), now);
        }
    }

    pub(super) fn publish(&mut self, now: Timestamp) {
        self.poison.prune(now);
        let report = Report {
            incarnation: self.settings.incarnation.clone(),
            service: self.settings.service.clone(),
            leaving: self.closed,
            revision: (self.revision)().0,
            floor: self.floor.notice(now),
            limit: self.limit.current(),
            running: self.limit.running(),
            running_tokens: self.in_flight.running_tokens(),
            unprefilled_tokens: self.in_flight.unprefilled_tokens(),
            waiting: self.queue.work(),
            rates: self.limit.rates(now),
            evicted_prefixes: self.evictions.recent(now),
            seen: self.latest_attempts.recent(now),
            notices: self.poison.own_notices(now).collect(),
        };
        let modified = self.report.send_if_modified(|published| {
            let changed = *published != report;
            *published = report;
            changed
        });
        if modified {
            let report = self.report.borrow();
            self.metrics
                .set_load(report.running, report.limit, &report.waiting);
        }
    }
}
