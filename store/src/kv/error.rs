//! Errors of calls to the key-value store, and whether a failed call may have taken effect.

use {
    crate::http,
    derive_more::{Display, Error as StdError},
};

/// HTTP status with which the store rejects calls over its rate limit before it executes them.
const TOO_MANY_REQUESTS: u16 = 429;

/// HTTP statuses with which the store, or a proxy before it, ends a call that timed out or was
/// cancelled, and that it may have executed.
const MAY_HAVE_EXECUTED: [u16; 2] = [408, 499];

/// Why a call failed.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The store cannot be reached or limits the rate of calls: the call had no effect.
    #[display("key-value store is unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The call was sent, and its result is unknown: it may have taken effect or may do so later.
    #[display("result of the call to the key-value store is unknown: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The call was rejected: it had no effect, and a retry would fail as well.
    #[display("call to the key-value store was rejected: {_0}")]
    Rejected(#[error(not(source))] String),
}

impl Error {
    /// Whether the call may have taken effect or may do so later.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// A response that cannot be decoded.
    pub(super) fn malformed(reason: impl ToString) -> Self {
        Self::Unknown(format!("malformed response: {}", reason.to_string()))
    }

    /// A call that was rejected, by the store or before it was sent.
    pub(super) fn rejected(reason: impl ToString) -> Self {
        Self::Rejected(reason.to_string())
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::Connect(text) => Self::Unavailable(text),
            http::Error::Lost(text) => Self::Unknown(text),
            http::Error::Status { status, body } if status == TOO_MANY_REQUESTS => {
                Self::Unavailable(body)
            }
            http::Error::Status { status, body }
                if (400..500).contains(&status) && !MAY_HAVE_EXECUTED.contains(&status) =>
            {
                Self::Rejected(body)
            }
            // The store may time out internally after it has proposed the write.
            http::Error::Status { status, body } => Self::Unknown(format!("{status}: {body}")),
        }
    }
}
