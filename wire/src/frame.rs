//! Elements of the stream that answers an enqueue or a resume.

use {
    crate::failure::Failure,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// One element of an attempt's stream, sidecar to router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The stream is alive; sent whenever nothing else was for a heartbeat interval.
    Heartbeat {
        /// Bytes of the answer sent so far.
        offset: u64,
        /// Shed floor of the sidecar: ranks above this number are not served.
        floor: u8,
    },
    /// The attempt is next to start and waits for its grant.
    Ready,
    /// Status and headers of the backend server's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP headers, end to end ones only.
        headers: Vec<Header>,
    },
    /// Part of the answer's body.
    Chunk {
        /// Position of the first byte.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is complete.
    End {
        /// Length of the whole body.
        length: u64,
        /// xxh3 checksum of the whole body.
        checksum: u64,
    },
    /// The attempt failed; the last frame of its stream.
    Failed(Failure),
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, lower case.
    pub name: String,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}
