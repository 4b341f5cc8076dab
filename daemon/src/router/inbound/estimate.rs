//! Cost estimates for model requests.

use {serde::Deserialize, std::borrow::Cow, tamarackdale_core::cost::Cost};

/// Output tokens assumed when the request does not limit the length of its response.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The fields of a model request that determine its cost.
#[derive(Deserialize)]
struct ModelRequest {
    input: Input,
    max_output_tokens: Option<u32>,
}

/// A prompt: a text, or a list of messages in any format.
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

/// Estimates the cost of a model request. A body in an unknown format is counted as prompt text.
pub fn estimate_model_cost(body: &[u8]) -> Cost {
    match serde_json::from_slice::<ModelRequest>(body) {
        Ok(request) => Cost::estimate(
            &request.input.text(),
            request.max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        ),
        Err(_) => Cost::estimate(&String::from_utf8_lossy(body), DEFAULT_OUTPUT_TOKENS),
    }
}
