//! What callers saw.

use {
    super::Name,
    crate::load::{Expected, Record, Shot},
    std::time::Duration,
    tamarackdale_core::{digest, failure::Reason, tier::Rank, verdict::Verdict},
};

/// One call of a caller. Several calls with one key are submissions of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The request.
    pub request: Name,
    /// Organisation that asked.
    pub organisation: String,
    /// Checksum of the payload.
    pub fingerprint: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Tier.
    pub rank: Rank,
    /// When the call began.
    pub started: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Verdict of the answer; none if no head came.
    pub verdict: Option<Verdict>,
    /// Reason of a refusal.
    pub reason: Option<Reason>,
    /// Checksum of the answer, if it came to a clean end with success.
    pub answer: Option<u64>,
}

impl Submission {
    /// A call that has had no answer yet.
    pub fn new(request: Name, organisation: &str, fingerprint: u64) -> Self {
        Self {
            request,
            organisation: organisation.to_owned(),
            fingerprint,
            idempotent: true,
            rank: Rank::FIRST,
            started: Duration::ZERO,
            ended: Duration::ZERO,
            verdict: None,
            reason: None,
            answer: None,
        }
    }

    /// Marks the request as one that may not run twice.
    pub fn with_non_idempotent(mut self) -> Self {
        self.idempotent = false;
        self
    }

    /// Adds a refusal or a failure.
    pub fn with_failure(mut self, verdict: Verdict, reason: Reason) -> Self {
        self.verdict = Some(verdict);
        self.reason = Some(reason);
        self
    }

    /// Adds a whole answer.
    pub fn with_answer(mut self, answer: u64) -> Self {
        self.verdict = Some(Verdict::Ran);
        self.answer = Some(answer);
        self
    }

    /// The record of a generated call, or `None` if the call has neither a key of its own nor one
    /// from the answer, so that nothing can be said of it.
    pub fn of_record(record: &Record, shot: &Shot, idempotent: bool) -> Option<Self> {
        let request = Name::new(&record.service, record.key.as_deref()?);
        let expected = expected_checksum(&shot.expected);
        let answer = match (record.whole, record.is_corrupt()) {
            (true, _) => Some(expected),
            (false, true) => Some(!expected),
            (false, false) => None,
        };
        let reason = record.reason.as_deref().and_then(|name| name.parse().ok());
        Some(Self {
            idempotent,
            started: record.offered,
            ended: record.ended,
            verdict: record.verdict,
            reason,
            answer,
            ..Self::new(request, &shot.api_key, digest::fingerprint(&shot.body))
        })
    }
}

fn expected_checksum(expected: &Expected) -> u64 {
    match expected {
        Expected::Text(text) => digest::fingerprint(text.as_bytes()),
        Expected::Object { path, fingerprint } => super::execution::checksum(path, *fingerprint),
    }
}
