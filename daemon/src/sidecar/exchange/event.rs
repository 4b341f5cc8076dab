//! Events of an exchange with a backend server.

use {
    crate::sidecar::response_buffer::Chunk, tamarackdale_core::failure::Failure,
    tamarackdale_wire::frame::Header,
};

/// Event of an exchange.
pub enum Event {
    /// The response's status and headers have arrived.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<Header>,
    },
    /// Part of the body has arrived.
    Chunk {
        /// The bytes.
        chunk: Chunk,
        /// Number of tokens in the bytes.
        tokens: u32,
    },
    /// The response is complete.
    End,
    /// The exchange failed.
    Failed(Failure),
}
