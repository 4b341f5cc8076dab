//! Pause that a backend server has asked one router for.

use {crate::time::Timestamp, std::time::Duration};

/// Longest pause, whatever a backend server asks for. It is asked again after that.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Interval between two requests to a backend server after a pause, until one of them is answered, so
/// that all that wait do not return to it together. A server at rest answers within this time.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// Pause state of a backend server. It says nothing about its health.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Timestamp,
    /// Whether no request has been answered since the pause.
    is_returning: bool,
    /// When the next request may follow the last one after the pause.
    next_request: Timestamp,
}

impl Pause {
    /// Creates the state of a backend server that has asked for no pause.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a pause of `delay`, or lengthens the current one.
    pub fn begin(&mut self, delay: Duration, now: Timestamp) {
        self.until = self.until.max(now.plus(delay.min(MAX_PAUSE)));
        self.is_returning = true;
    }

    /// Records that a request is about to be sent.
    pub fn record_request(&mut self, now: Timestamp) {
        self.next_request = now.plus(RETURN_INTERVAL);
    }

    /// Records an answered request.
    pub fn record_answer(&mut self, now: Timestamp) {
        self.is_returning &= self.is_pausing(now);
    }

    /// Whether the backend server gets no requests now.
    pub fn is_pausing(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Time until the pause ends.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.until.since(now)
    }

    /// Whether the backend server may get another request now.
    pub fn admits(&self, now: Timestamp) -> bool {
        !self.is_pausing(now) && (!self.is_returning || now >= self.next_request)
    }
}
