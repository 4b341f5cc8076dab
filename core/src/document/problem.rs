//! Problems found in the text of a document.

use {
    derive_more::{Display, Error},
    std::ops::Range,
};

/// A problem with its position in the text.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}")]
pub struct Problem {
    /// What is wrong.
    pub message: String,
    /// Byte range of the text that it concerns.
    pub span: Range<usize>,
    /// How to fix it.
    pub help: Option<String>,
}

impl Problem {
    /// A problem without a help text.
    pub fn new(message: impl Into<String>, span: Range<usize>) -> Self {
        Self {
            message: message.into(),
            span,
            help: None,
        }
    }

    /// Adds a help text.
    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }
}

/// All problems found in a text, in the order of their positions.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", self.list())]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);

impl Problems {
    /// The messages, separated by semicolons.
    fn list(&self) -> String {
        let messages: Vec<&str> = self
            .0
            .iter()
            .map(|problem| problem.message.as_str())
            .collect();
        messages.join("; ")
    }
}

impl From<Problem> for Problems {
    fn from(problem: Problem) -> Self {
        Self(vec![problem])
    }
}
