//! Estimates what a model request costs.

use {serde::Deserialize, std::borrow::Cow, tamarackdale_core::cost::Cost};

/// Tokens assumed of an answer whose length is not bounded by the request.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The parts of a model request that its cost depends on.
#[derive(Deserialize)]
struct ModelRequest {
    input: Input,
    max_output_tokens: Option<u32>,
}

/// A prompt: a text, or messages of any form.
#[derive(Deserialize)]
#[serde(untagged)]
enum Input {
    Text(String),
    Messages(Vec<serde_json::Value>),
}

impl Input {
    fn text(&self) -> Cow<'_, str> {
        match self {
            Self::Text(text) => Cow::Borrowed(text),
            Self::Messages(messages) => messages.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Estimates what a model request costs; one in an unknown form is taken for its plain text.
pub fn model_cost(body: &[u8]) -> Cost {
    match serde_json::from_slice::<ModelRequest>(body) {
        Ok(request) => Cost::estimate(
            &request.input.text(),
            request.max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        ),
        Err(_) => Cost::estimate(&String::from_utf8_lossy(body), DEFAULT_OUTPUT_TOKENS),
    }
}
