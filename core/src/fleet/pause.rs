//! Pause that a backend server has asked one router for.

use {crate::time::Timestamp, std::time::Duration};

/// Longest pause, whatever a backend server asks for. It is asked again after that.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Requests of this router that run at a backend server at once after a pause, until one of them is
/// answered, so that all that wait do not return to it together.
const RETURNING_REQUESTS: u32 = 1;

/// Pause state of a backend server. It says nothing about its health.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Timestamp,
    /// Whether no request has been answered since the pause.
    is_returning: bool,
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

    /// Whether the backend server may get another request while it has `own` requests of this
    /// router.
    pub fn admits(&self, own: u32, now: Timestamp) -> bool {
        !self.is_pausing(now) && (!self.is_returning || own < RETURNING_REQUESTS)
    }
}
