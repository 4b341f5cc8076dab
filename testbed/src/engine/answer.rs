//! The text that an engine answers, and how a caller checks that it has all of it.

use {
    derive_more::{Display, Error},
    serde_json::Value,
    tamarackdale_core::digest,
};

/// Why a stream of events is not a whole answer.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum Broken {
    /// A line of the stream is not a known event.
    #[display("not an event: {line}")]
    Malformed {
        /// The line.
        line: String,
    },
    /// A sequence number is not the one after the last.
    #[display("event {found} where {expected} was due")]
    Gap {
        /// The number that was due.
        expected: u64,
        /// The number found.
        found: u64,
    },
    /// The stream ends without `response.completed`.
    #[display("the stream ends before the answer is complete")]
    Unfinished,
}

/// Text of the answer to a request, a function of the request alone.
pub fn text(model: &str, input: &str, output_tokens: u32) -> String {
    let seed = seed(model, input, output_tokens);
    (0..output_tokens).map(|index| token(seed, index)).collect()
}

/// Seed of the answer to a request.
pub(crate) fn seed(model: &str, input: &str, output_tokens: u32) -> u64 {
    digest::fingerprint(format!("{model}\0{output_tokens}\0{input}").as_bytes())
}

/// One token of an answer.
pub(crate) fn token(seed: u64, index: u32) -> String {
    let hash = digest::fingerprint(&[seed.to_le_bytes(), u64::from(index).to_le_bytes()].concat());
    format!("{:04x} ", hash & 0xffff)
}

/// Collects the text of a whole stream of server-sent events.
///
/// # Errors
///
/// Fails when an event is missing, unknown or out of order, or the answer is not complete.
pub fn collect(stream: &str) -> Result<String, Broken> {
    let mut text = String::new();
    let mut completed = false;
    let events = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    for (expected, line) in (0_u64..).zip(events) {
        let event: Value = serde_json::from_str(line).map_err(|_| malformed(line))?;
        let found = event["sequence_number"]
            .as_u64()
            .ok_or_else(|| malformed(line))?;
        if found != expected || completed {
            return Err(Broken::Gap { expected, found });
        }
        match event["type"].as_str() {
            Some("response.created") => {}
            Some("response.output_text.delta") => {
                text += event["delta"].as_str().ok_or_else(|| malformed(line))?;
            }
            Some("response.completed") => completed = true,
            _ => return Err(malformed(line)),
        }
    }
    if completed {
        Ok(text)
    } else {
        Err(Broken::Unfinished)
    }
}

fn malformed(line: &str) -> Broken {
    Broken::Malformed {
        line: line.to_owned(),
    }
}
