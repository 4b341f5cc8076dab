//! What comes back from a backend server.

use {
    crate::sidecar::response_buffer::Chunk, tamarackdale_core::failure::Failure,
    tamarackdale_wire::frame::Header,
};

/// One step of an exchange.
pub enum Event {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// End to end headers.
        headers: Vec<Header>,
    },
    /// Part of the body.
    Chunk {
        /// The bytes.
        chunk: Chunk,
        /// Tokens that they carry.
        tokens: u32,
    },
    /// The answer is complete.
    End,
    /// The exchange failed.
    Failed(Failure),
}
