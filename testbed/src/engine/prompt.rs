//! Size and prefix hashes of a prompt.

use tamarackdale_core::digest::Digest;

/// Bytes of text that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes of text in one block of the prefix cache.
pub const BLOCK_BYTES: usize = 256;

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / TOKEN_BYTES) as u32;

/// Tokens in `input`, rounded up.
pub fn tokens(input: &str) -> u32 {
    input.len().div_ceil(TOKEN_BYTES) as u32
}

/// Checksum of each prefix of `input` that ends with a whole block, shortest first.
pub fn prefixes(input: &str) -> Vec<u64> {
    let mut digest = Digest::new();
    input
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            digest.update(block);
            digest.checksum()
        })
        .collect()
}
