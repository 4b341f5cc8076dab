//! Result of a command: its exit code and its output as text and as JSON.

use {
    serde::Serialize,
    serde_json::{Value, json},
};

/// Exit codes. Scripts rely on their numbers, which therefore never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Done,
    /// The document is invalid.
    Invalid,
    /// The command line or a setting is wrong, or a file cannot be read.
    Usage,
    /// Another operator changed the document first; nothing was written.
    Conflict,
    /// The key-value store or the instance list is unavailable; nothing was written.
    Unavailable,
    /// A response was lost, and whether the write took effect could not be determined.
    Unknown,
    /// The document was written, but was not in force on all instances within the time limit, or
    /// the instances could not be listed.
    NotInForce,
    /// The document or the request does not exist.
    NotFound,
    /// The change is dangerous and was not allowed; nothing was written.
    Dangerous,
    /// The key-value store rejected the call, or the client lacks a system resource.
    Refused,
}

impl Code {
    /// The number that the process exits with.
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

/// Result of a command.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Exit code.
    pub code: Code,
    /// Output for people.
    pub text: String,
    /// Output for programs, printed with `--json`.
    pub value: Value,
}

impl Outcome {
    /// An outcome with both forms of its output.
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

    /// A failure that consists of one message.
    pub fn failed(code: Code, text: impl Into<String>) -> Self {
        let text = text.into();
        let value = json!({"error": text, "exit_code": code.number()});
        Self { code, text, value }
    }
}
