//! Scalars of the gateway's JSON.

use {
    base64::{Engine as _, engine::general_purpose::STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
};

/// Bytes that travel in base64.
#[derive(Clone, Default)]
pub(super) struct Blob(pub Vec<u8>);

impl From<&str> for Blob {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Integer {
    Text(String),
    Number(i64),
}

/// Reads a 64-bit integer, which the gateway writes as a string.
pub(super) fn integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match Integer::deserialize(deserializer)? {
        Integer::Text(text) => text.parse().map_err(D::Error::custom),
        Integer::Number(number) => Ok(number),
    }
}

/// The first key after all those that begin with `prefix`.
pub(super) fn prefix_end(prefix: &str) -> Blob {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Blob(end);
        }
    }
    // To the service, a single zero byte means the end of all keys.
    Blob(vec![0])
}
