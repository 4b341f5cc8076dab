//! Length and checksum of a response body.

use xxhash_rust::xxh3::Xxh3Default;

/// Running length and xxh3 checksum of a response body.
#[derive(Clone, Default)]
pub struct Digest {
    hasher: Xxh3Default,
    length: u64,
}

impl Digest {
    /// The digest of an empty body.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.hasher.update(bytes);
        self.length += bytes.len() as u64;
    }

    /// Number of bytes added so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// 64-bit checksum of the bytes added so far.
    pub fn checksum(&self) -> u64 {
        self.hasher.digest()
    }
}

/// 64-bit checksum of a byte slice, used as the fingerprint of a payload.
pub fn fingerprint(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
