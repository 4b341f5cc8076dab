//! Predicted course of a request at one sidecar.

use std::time::Duration;

/// Predicted course of a request at one sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prediction {
    /// Time until it is dispatched.
    pub wait: Duration,
    /// Time from its dispatch until the answer is complete.
    pub service: Duration,
}

impl Prediction {
    /// Time until the answer is complete.
    pub fn completion(&self) -> Duration {
        self.wait + self.service
    }
}
