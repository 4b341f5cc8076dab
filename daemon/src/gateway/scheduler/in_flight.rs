//! A request's place at a backend server.

use {
    super::Scheduler,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{fleet::Share, time::Timestamp},
};

/// A request's place at a backend server; given up when dropped.
pub struct InFlightRequest {
    scheduler: Arc<Scheduler>,
    id: String,
    share: Share,
    started: Timestamp,
    first: Option<Timestamp>,
}

impl InFlightRequest {
    pub(super) fn new(scheduler: &Arc<Scheduler>, id: &str, share: Share) -> Self {
        Self {
            scheduler: Arc::clone(scheduler),
            id: id.to_owned(),
            share,
            started: scheduler.clock.now(),
            first: None,
        }
    }

    /// The scheduler that counts it.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// The backend server's identifier.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Notes the first event or the answer.
    pub fn begin(&mut self) {
        if self.first.is_some() {
            return;
        }
        let now = self.scheduler.clock.now();
        self.first = Some(now);
        let elapsed = now.since(self.started);
        let mut state = self.scheduler.lock();
        state.fleet.progress(&self.id, self.share, elapsed);
        self.scheduler.changed.notify_one();
    }

    /// Time from the sending to the first event.
    pub fn first(&self) -> Option<Duration> {
        self.first.map(|first| first.since(self.started))
    }

    /// Notes the whole answer, with `tokens` of output after the first event.
    pub fn finish(&mut self, tokens: u32) {
        let now = self.scheduler.clock.now();
        let decoding = self.first.map_or(Duration::ZERO, |first| now.since(first));
        let stay = now.since(self.started);
        let mut state = self.scheduler.lock();
        state.fleet.learn(&self.id, tokens, decoding, stay, now);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now = self.scheduler.clock.now();
        let mut state = self.scheduler.lock();
        state.fleet.end(&self.id, self.share, self.first.is_some());
        // Nobody else knows yet that there is room.
        state.pump(Some(&self.id), now);
        self.scheduler.changed.notify_one();
    }
}
