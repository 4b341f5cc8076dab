//! What a command came to, for people and for programs.

use {
    serde::Serialize,
    serde_json::{Value, json},
};

/// Exit codes; their numbers never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Done.
    Done,
    /// The document is wrong.
    Invalid,
    /// The command line or a setting is wrong.
    Usage,
    /// Another operator came first; nothing was written.
    Conflict,
    /// A service that the command needs is unavailable; nothing was written.
    Unavailable,
    /// An answer was lost, and whether the write took effect could not be found out.
    Unknown,
    /// Written, but not seen in force everywhere within the limit.
    NotInForce,
    /// There is no such document or request.
    NotFound,
    /// The change is dangerous and was not allowed; nothing was written.
    Dangerous,
    /// A service refused the call, or the system lacks a resource.
    Refused,
}

impl Code {
    /// Number of the exit code.
    pub fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Invalid => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unavailable => 4,
            Self::Unknown => 5,
            Self::NotInForce => 6,
            Self::NotFound => 7,
            Self::Dangerous => 8,
            Self::Refused => 9,
        }
    }
}

/// What a command came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Exit code.
    pub code: Code,
    /// For people.
    pub text: String,
    /// For programs.
    pub value: Value,
}

impl Outcome {
    /// An outcome with its two forms.
    pub fn new(code: Code, text: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            code,
            text: text.into(),
            value: serde_json::to_value(value).unwrap_or_default(),
        }
    }

    /// A success.
    pub fn done(text: impl Into<String>, value: &impl Serialize) -> Self {
        Self::new(Code::Done, text, value)
    }

    /// A failure that is told in one sentence.
    pub fn failed(code: Code, text: impl Into<String>) -> Self {
        let text = text.into();
        let value = json!({"error": text, "exit_code": code.number()});
        Self { code, text, value }
    }
}
