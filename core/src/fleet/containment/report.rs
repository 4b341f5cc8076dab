//! Reports of failures that gateways send to each other.

use crate::time::Timestamp;

/// Largest count in a valid report.
const MAX_COUNT: u32 = 1_000_000_000;

/// An ejection of a server that the reporting gateway has decided upon, or taken over from a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ejection {
    /// How many there were in succession, which determines the length.
    pub number: u32,
    /// When it began.
    pub at: Timestamp,
}

/// What one gateway has observed at a process of a backend server in the last seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of its process, in Unix milliseconds.
    pub started_at_ms: u64,
    /// Requests that were answered, rounded up to a power of two.
    pub answered: u32,
    /// Requests that were answered with an error.
    pub errors: u32,
    /// Requests whose connections could not be established or broke.
    pub broken: u32,
    /// Of them, those in a row without a response since.
    pub failures_in_row: u32,
    /// The same together with errors, without another answer since.
    pub bad_in_row: u32,
    /// Connection failures in a row.
    pub unreachable_in_row: u32,
    /// Requests that were answered since the server returned, rounded down to a power of two.
    pub answered_since_return: u32,
    /// The last failure.
    pub last_failure: Option<Timestamp>,
    /// The first answer after the last failure that the reporting gateway knows of.
    pub success: Option<Timestamp>,
    /// End of the pause after a refusal.
    pub paused_until: Option<Timestamp>,
    /// The ejection that is in force at the reporting gateway.
    pub ejection: Option<Ejection>,
    /// Whether the reporting gateway waits for the outcome of a trial.
    pub is_trying: bool,
    /// Whether other servers have answered it meanwhile.
    pub has_success_elsewhere: bool,
}

impl Report {
    /// Whether the counts can be true.
    pub fn is_valid(&self) -> bool {
        let counts = [
            self.answered,
            self.errors,
            self.broken,
            self.failures_in_row,
            self.bad_in_row,
            self.unreachable_in_row,
            self.answered_since_return,
            self.ejection.map_or(0, |ejection| ejection.number),
        ];
        counts.into_iter().all(|count| count <= MAX_COUNT)
    }
}
