//! A request that is being processed by a backend server.

use {
    super::{CountedAnswer, Scheduler},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{fleet::RequestLoad, time::Timestamp},
};

/// A request in flight at a backend server. It counts towards the server's load until it is
/// dropped.
pub struct InFlightRequest {
    pub(super) scheduler: Arc<Scheduler>,
    id: String,
    pub(super) load: RequestLoad,
    started: Timestamp,
    /// When the first event or the response arrived.
    pub(super) first_event: Option<Timestamp>,
    /// The answer, until it has counted in the statistics of a rollout.
    pub(super) answer: Answer,
}

/// An answer that counts once at most, and not if its caller disconnects before its end.
#[derive(Default)]
pub(super) struct Answer(Mutex<Option<CountedAnswer>>);

impl Answer {
    pub(super) fn replace(&self, answer: Option<CountedAnswer>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = answer;
    }

    pub(super) fn take(&self) -> Option<CountedAnswer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl InFlightRequest {
    pub(super) fn new(scheduler: &Arc<Scheduler>, id: &str, load: RequestLoad) -> Self {
        Self {
            scheduler: Arc::clone(scheduler),
            id: id.to_owned(),
            load,
            started: scheduler.clock.now(),
            first_event: None,
            answer: Answer::default(),
        }
    }

    /// The scheduler that tracks the request.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Identifier of the backend server.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Records the arrival of the first event, or of the response if it is no stream. Later calls
    /// have no effect.
    pub fn record_first_event(&mut self) {
        if self.first_event.is_some() {
            return;
        }
        let now = self.scheduler.clock.now();
        self.first_event = Some(now);
        let elapsed = now.since(self.started);
        let mut state = self.scheduler.lock();
        state.fleet.record_first_token(&self.id, self.load, elapsed);
        self.scheduler.changed.notify_one();
    }

    /// Time from sending the request to the first event.
    pub fn time_to_first_event(&self) -> Option<Duration> {
        self.first_event.map(|first| first.since(self.started))
    }

    /// Records the end of a complete response that had `tokens` output tokens after the first
    /// event.
    pub fn finish(&mut self, tokens: u32) {
        let now = self.scheduler.clock.now();
        let decoding = self
            .first_event
            .map_or(Duration::ZERO, |first| now.since(first));
        let occupancy = now.since(self.started);
        self.record_good_answer(tokens, now);
        let mut state = self.scheduler.lock();
        state
            .fleet
            .record_answer(&self.id, tokens, decoding, occupancy, now);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now = self.scheduler.clock.now();
        let mut state = self.scheduler.lock();
        state
            .fleet
            .record_end(&self.id, self.load, self.first_event.is_some());
        // Peers learn of the freed capacity only from the next summary, so requests waiting here
        // are placed first.
        state.place_waiting(Some(&self.id), now);
        self.scheduler.changed.notify_one();
    }
}
