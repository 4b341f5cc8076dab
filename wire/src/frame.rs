//! Items of the response stream to [`Enqueue`](crate::message::Enqueue) and
//! [`Resume`](crate::message::Resume).

use {
    crate::failure::Failure,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// One item of an attempt's stream from the sidecar to the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Heartbeat, sent when nothing else has been sent for one heartbeat interval.
    Heartbeat {
        /// Bytes of the response body sent so far.
        offset: u64,
        /// Shed floor of the sidecar: requests of a rank above this number are not served.
        floor: u8,
    },
    /// The attempt is the next to start and waits for its grant.
    Ready,
    /// Status and headers of the backend server's response.
    Head {
        /// HTTP status.
        status: u16,
        /// End-to-end HTTP headers.
        headers: Vec<Header>,
    },
    /// Part of the response body.
    Chunk {
        /// Offset of the first byte in the response body.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The response is complete.
    End {
        /// Length of the whole body.
        length: u64,
        /// xxh3 checksum of the whole body.
        checksum: u64,
    },
    /// The attempt failed; the last frame of its stream.
    Failed(Failure),
}

impl Frame {
    /// Whether it is the last frame of its stream.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed(_))
    }
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}
