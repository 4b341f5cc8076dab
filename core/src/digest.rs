//! Checksums of response bodies, and digests of requests.

use {
    sha2::{Digest as _, Sha256},
    xxhash_rust::xxh3::Xxh3Default,
};

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

/// Digest of what is the same when a request comes again: its caller, method, path with query, and
/// body. It is cryptographic, and has the caller in it, so that nobody can make a request that is taken
/// for another caller's.
pub fn request(caller: &str, method: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = Sha256::new();
    for part in [caller, method, target] {
        // The length separates the parts.
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    let [a, b, c, d, e, f, g, h, ..]: [u8; 32] = hasher.finalize().into();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
