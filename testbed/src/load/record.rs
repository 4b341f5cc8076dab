//! What became of one offered request, as its caller saw it.

use {std::time::Duration, tamarackdale_core::verdict::Verdict};

/// One offered request. Times count from the start of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Position in the schedule.
    pub index: usize,
    /// Service asked.
    pub service: String,
    /// Tier named, empty for the organisation's first.
    pub tier: String,
    /// Idempotency key: the caller's own or the one that the answer names.
    pub key: Option<String>,
    /// Time within which its whole answer is worth having; always if `None`.
    pub due: Option<Duration>,
    /// When it was offered.
    pub offered: Duration,
    /// When the answer's head came.
    pub head: Option<Duration>,
    /// When the first byte of the body came; for events, the first text.
    pub first_byte: Option<Duration>,
    /// When the call ended, well or not.
    pub ended: Duration,
    /// HTTP status, if there was an answer.
    pub status: Option<u16>,
    /// Verdict of the answer.
    pub verdict: Option<Verdict>,
    /// Reason of a refusal.
    pub reason: Option<String>,
    /// When a retry is worth making, as the refusal says.
    pub retry_after: Option<Duration>,
    /// Whether the connection broke or the limit passed before the end of the answer.
    pub broken: bool,
    /// Whether the answer is whole and that of its own request.
    pub whole: bool,
}

impl Record {
    /// Time from the offer to the end of the call.
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.offered)
    }

    /// Time from the offer to the first byte of the body.
    pub fn first_byte_latency(&self) -> Option<Duration> {
        Some(self.first_byte?.saturating_sub(self.offered))
    }

    /// Whether the whole answer came while it was worth having.
    pub fn is_in_time(&self) -> bool {
        self.whole && self.due.is_none_or(|due| self.latency() <= due)
    }

    /// Whether the call ended cleanly with a success status and yet not with the whole answer.
    pub fn is_corrupt(&self) -> bool {
        let succeeded = self
            .status
            .is_some_and(|status| (200..300).contains(&status));
        succeeded && !self.broken && !self.whole
    }
}
