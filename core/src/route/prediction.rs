//! Predicted times of a request at one sidecar.

use std::time::Duration;

/// Predicted times of a request at one sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prediction {
    /// Time until the request is dispatched to the backend server.
    pub wait: Duration,
    /// Time from the dispatch until the response is complete.
    pub service: Duration,
}

impl Prediction {
    /// Time until the response is complete.
    pub fn completion(&self) -> Duration {
        self.wait + self.service
    }
}
