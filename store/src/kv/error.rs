//! Why a call of the key-value service failed, and whether it may have taken effect.

use {
    crate::http,
    derive_more::{Display, Error as StdError},
};

/// Status of a call over the service's rate, which it refuses before doing anything.
const TOO_MANY_REQUESTS: u16 = 429;

/// Why a call failed.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The service cannot be reached or takes no more calls: certainly without effect.
    #[display("the key-value service is unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The call was sent and its answer lost: it may have taken effect, now or later.
    #[display("the answer of the key-value service was lost: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The service refused the call: certainly without effect, and a repetition fails too.
    #[display("the key-value service refused the call: {_0}")]
    Rejected(#[error(not(source))] String),
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn may_have_effect(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// An answer that cannot be read.
    pub(super) fn malformed(reason: impl ToString) -> Self {
        Self::Unknown(format!("malformed answer: {}", reason.to_string()))
    }

    /// A call that was refused.
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
            http::Error::Status { status, body } if (400..500).contains(&status) => {
                Self::Rejected(body)
            }
            // The service may time out inside after the write was proposed.
            http::Error::Status { status, body } => Self::Unknown(format!("{status}: {body}")),
        }
    }
}
