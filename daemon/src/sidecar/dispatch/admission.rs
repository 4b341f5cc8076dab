//! Admission of attempts to the queue, and load shedding.

use {
    super::{Dispatcher, Offer},
    crate::sidecar::task::Handle,
    tamarackdale_core::{
        failure::{Failure, Reason},
        queue::{self, Entry},
        tier::Rank,
        time::Timestamp,
    },
};

impl Dispatcher {
    pub(super) fn enqueue(&mut self, offer: Offer, task: Handle) -> Result<(), Failure> {
        let now = self.clock.now();
        if self.closed {
            return Err(Failure::not_run(Reason::Closing));
        }
        if offer.revision < (self.revision)() {
            return Err(Failure::not_run(Reason::StaleRevision));
        }
        self.floor.merge(offer.floor, now);
        self.table.enqueue(offer.attempt, offer.boot, now)?;
        self.latest_attempts.record(offer.attempt, now);
        let attempt = offer.attempt;
        let entry = offer.into_entry(now);
        if let Err(failure) = self.push(entry, now) {
            // An attempt that was just enqueued is not dispatched yet, so voiding it succeeds.
            let _ = self.table.void(attempt, now);
            return Err(failure);
        }
        self.tasks.insert(attempt, task);
        Ok(())
    }

    /// Queues an entry; if the queue is full, sheds less urgent entries, or refuses this one.
    pub(super) fn push(&mut self, entry: Entry, now: Timestamp) -> Result<(), Failure> {
        self.apply_floor(now);
        self.check_feasible(&entry, now)?;
        let rank = entry.rank;
        let pushed = match self.queue.push(entry.clone(), now) {
            Err(failure) if failure.reason == Reason::Overload => {
                // Refusing this entry for overload means that nothing less urgent may be served,
                // so the floor is raised first and the entry tried again.
                self.floor.raise(rank, now);
                self.apply_floor(now);
                self.queue.push(entry, now)
            }
            pushed => pushed,
        };
        for evicted in pushed? {
            self.floor.raise(evicted.rank, now);
            self.shed(&evicted, now);
        }
        self.apply_floor(now);
        Ok(())
    }

    /// Refuses an entry that would miss its deadline behind the prompts queued before it, so that
    /// its router can move it to another sidecar. The router may have chosen this sidecar by an
    /// outdated report.
    pub(super) fn check_feasible(&self, entry: &Entry, now: Timestamp) -> Result<(), Failure> {
        let above = self.queue.work();
        let above = above.iter().take(usize::from(entry.rank.0));
        let prefill_tokens = above
            .map(|work| work.prefill_tokens)
            .fold(self.in_flight.unprefilled_tokens(), u32::saturating_add);
        let wait = self.limit.rates(now).service_time(prefill_tokens, 0);
        let is_checked = self.settings.queue.order == queue::Order::Tiers;
        if !is_checked || !entry.should_drop(now.plus(wait), self.limit.rates(now)) {
            return Ok(());
        }
        Err(Failure::not_run(Reason::Infeasible).with_retry_after(wait))
    }

    /// Applies the service's current shed floor to the queue, and sheds the entries below it.
    pub(super) fn apply_floor(&mut self, now: Timestamp) {
        let rank = self.floor.current(now);
        self.queue.lower_floor(rank);
        for entry in self.queue.raise_floor(rank) {
            self.floor.raise(entry.rank, now);
            self.shed(&entry, now);
        }
    }

    pub(super) fn shed(&mut self, entry: &Entry, now: Timestamp) {
        log::info!(
            attempt:% = entry.attempt,
            organisation = entry.organisation.as_str(),
            rank = entry.rank.0,
            floor = self.floor.current(now).0;
            "shed"
        );
        let failure = self.overload(entry.rank);
        self.void(entry.attempt, failure, now);
    }

    pub(super) fn overload(&self, rank: Rank) -> Failure {
        Failure::not_run(Reason::Overload).with_retry_after(self.queue.retry_after(rank))
    }
}
