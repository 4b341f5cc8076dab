//! A request that is being processed by a backend server.

use {
    super::{CountedAnswer, Scheduler},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tamarackdale_core::{
        fleet::{RequestLoad, health::Failure},
        time::Timestamp,
    },
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
    /// Whether the backend server has answered with an error.
    has_failed: bool,
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
            has_failed: false,
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
        if !self.has_failed {
            state.fleet.record_response(&self.id, false, now);
            state.log_containment_events();
        }
        self.scheduler.changed.notify_one();
    }

    /// Records that the response is an error, which is passed on and does not show that the backend server
    /// is well.
    pub fn mark_failed(&mut self) {
        self.has_failed = true;
    }

    /// Records that the backend server has been silent for too long.
    pub fn record_silence(&self) {
        match self.scheduler.has_containment() {
            true => self.scheduler.record_silence(&self.id, self.started),
            false => self.scheduler.record_failure(&self.id, Failure::Broken),
        }
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
        if !self.has_failed {
            state.fleet.record_response(&self.id, true, now);
            state.log_containment_events();
        }
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
