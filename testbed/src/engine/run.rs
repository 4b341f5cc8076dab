//! One request inside an engine.

use {
    super::answer,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::sync::watch,
};

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Received, and not yet in the batch.
    Queued,
    /// In the batch.
    Running,
    /// All tokens were generated.
    Completed,
    /// Cancelled before the end.
    Cancelled,
}

impl Outcome {
    /// Whether the run has ended.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::Cancelled)
    }
}

/// What an engine records of one run: the truth that histories are checked against.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Identifier of the response, drawn by the engine.
    pub id: String,
    /// Idempotency key of the request: the body's `metadata.request`, or the header.
    pub marker: Option<String>,
    /// When the request was received, since the engine started.
    pub received: Duration,
    /// When it entered the batch.
    pub started: Option<Duration>,
    /// When it ended.
    pub ended: Option<Duration>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Prompt tokens computed.
    pub prefilled_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Tokens generated.
    pub decoded_tokens: u32,
    /// How far it has come.
    pub outcome: Outcome,
}

/// A run with what the batch and the streams need.
pub(crate) struct Live {
    pub(crate) record: Run,
    pub(crate) model: String,
    pub(crate) prefixes: Vec<u64>,
    pub(crate) seed: u64,
    pub(crate) progress: watch::Sender<Progress>,
}

/// What streams wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) decoded_tokens: u32,
    pub(crate) outcome: Outcome,
}

impl Live {
    /// Tells the streams how far the run has come.
    pub(crate) fn publish(&self) {
        self.progress.send_replace(Progress {
            decoded_tokens: self.record.decoded_tokens,
            outcome: self.record.outcome,
        });
    }

    /// Whether the whole prompt is computed.
    pub(crate) fn is_prefilled(&self) -> bool {
        self.record.cached_tokens + self.record.prefilled_tokens >= self.record.prompt_tokens
    }

    /// The view that a stream needs.
    pub(crate) fn view(&self) -> View {
        View {
            id: self.record.id.clone(),
            is_named: true,
            model: self.model.clone(),
            seed: self.seed,
            output_tokens: self.record.output_tokens,
        }
    }
}

/// What is needed to write any event of a run.
#[derive(Clone)]
pub(crate) struct View {
    pub(crate) id: String,
    /// Whether events and answers have the identifier.
    pub(crate) is_named: bool,
    pub(crate) model: String,
    seed: u64,
    output_tokens: u32,
}

impl View {
    /// The event with this sequence number, or `None` while it has not happened.
    pub(crate) fn event(&self, sequence: u64, progress: Progress) -> Option<(&str, Value)> {
        let name = self.event_name(sequence, progress)?;
        let mut data = json!({ "type": name, "sequence_number": sequence });
        match name {
            "response.output_text.delta" => {
                data["delta"] = answer::token(self.seed, sequence as u32 - 1).into();
            }
            "response.created" => data["response"] = self.response("in_progress"),
            "response.completed" => data["response"] = self.response("completed"),
            _ => data["response"] = self.response("cancelled"),
        }
        Some((name, data))
    }

    /// The response object of the protocol, without its text.
    pub(crate) fn response(&self, status: &str) -> Value {
        let id = self.is_named.then_some(&self.id);
        json!({ "id": id, "object": "response", "model": self.model, "status": status })
    }

    /// The whole text.
    pub(crate) fn text(&self) -> String {
        (0..self.output_tokens)
            .map(|index| answer::token(self.seed, index))
            .collect()
    }

    fn event_name(&self, sequence: u64, progress: Progress) -> Option<&'static str> {
        if sequence == 0 {
            return Some("response.created");
        }
        if sequence <= u64::from(progress.decoded_tokens) {
            return Some("response.output_text.delta");
        }
        if sequence > u64::from(progress.decoded_tokens) + 1 {
            return None;
        }
        match progress.outcome {
            Outcome::Completed => Some("response.completed"),
            Outcome::Cancelled => Some("response.incomplete"),
            Outcome::Queued | Outcome::Running => None,
        }
    }
}
