//! Wire form of failures.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tamarackdale_core::failure,
};

/// Wire form of [`failure::Failure`], with verdict and reason by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Name of the verdict.
    pub verdict: String,
    /// Name of the reason.
    pub reason: String,
    /// Delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Error for a verdict or reason that this version does not know.
#[derive(Debug, Display, Error)]
#[display("unknown verdict {verdict:?} or reason {reason:?}")]
pub struct UnknownFailure {
    verdict: String,
    reason: String,
}

impl From<failure::Failure> for Failure {
    fn from(failure: failure::Failure) -> Self {
        Self {
            verdict: failure.verdict.to_string(),
            reason: failure.reason.to_string(),
            retry_after_ms: failure.retry_after.map(|delay| delay.as_millis() as u64),
        }
    }
}

impl TryFrom<Failure> for failure::Failure {
    type Error = UnknownFailure;

    fn try_from(failure: Failure) -> Result<Self, UnknownFailure> {
        let (Ok(verdict), Ok(reason)) = (failure.verdict.parse(), failure.reason.parse()) else {
            return Err(UnknownFailure {
                verdict: failure.verdict,
                reason: failure.reason,
            });
        };
        let mut parsed = Self::new(verdict, reason);
        parsed.retry_after = failure.retry_after_ms.map(Duration::from_millis);
        Ok(parsed)
    }
}
