//! Hashes of API keys.

use {
    derive_more::{Display, Error},
    sha2::{Digest as _, Sha256},
    std::{fmt, str::FromStr},
};

/// Length of a hash in bytes.
const HASH_BYTES: usize = 32;

/// SHA-256 of an API key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hash([u8; HASH_BYTES]);

/// Error for a text that is not 64 hexadecimal digits. It does not contain the text, which may be
/// an API key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a SHA-256 hash of 64 hexadecimal digits")]
pub struct Malformed;

impl Hash {
    /// Hashes an API key.
    pub fn of(api_key: &str) -> Self {
        Self(Sha256::digest(api_key.as_bytes()).into())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for Hash {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        if text.len() != 2 * HASH_BYTES || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(Malformed);
        }
        let mut hash = [0; HASH_BYTES];
        for (byte, index) in hash.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[index..index + 2], 16).map_err(|_| Malformed)?;
        }
        Ok(Self(hash))
    }
}
