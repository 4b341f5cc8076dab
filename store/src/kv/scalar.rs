//! Scalar types of the gateway's JSON.

use {
    base64::{Engine as _, engine::general_purpose::STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
};

/// Bytes, in base64 in the JSON.
#[derive(Clone, Default)]
pub(super) struct Base64Bytes(pub Vec<u8>);

impl From<&str> for Base64Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
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

/// Deserializes a 64-bit integer, which the gateway writes as a string or a number.
pub(super) fn integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match Integer::deserialize(deserializer)? {
        Integer::Text(text) => text.parse().map_err(D::Error::custom),
        Integer::Number(number) => Ok(number),
    }
}

/// The end of the range of keys that begin with `prefix`, itself not in the range.
pub(super) fn prefix_end(prefix: &str) -> Base64Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64Bytes(end);
        }
    }
    // The store takes a single zero byte as a range without an end.
    Base64Bytes(vec![0])
}
