//! Messages to a task.

use {
    crate::sidecar::response_buffer::Position, tamarackdale_core::failure::Failure,
    tamarackdale_wire::Frame, tokio::sync::oneshot,
};

/// Message to a task.
pub enum Message {
    /// The attempt is next to start.
    Ready,
    /// The attempt is granted.
    Start,
    /// The attempt is void.
    Fail(Failure),
    /// Nobody wants the answer.
    Cancel,
    /// A reader wants the frames after a position.
    Read(Read),
    /// A router has the answer up to an offset.
    Acknowledge {
        /// Bytes received.
        offset: u64,
        /// Whether the end was received too.
        complete: bool,
    },
}

/// Request for the frames after a position.
pub struct Read {
    /// How far the reader has come.
    pub position: Position,
    /// Where the frames go; dropped without a reply when the bytes are gone.
    pub reply: oneshot::Sender<Portion>,
}

/// Frames for a reader.
pub struct Portion {
    /// The frames.
    pub frames: Vec<Frame>,
    /// The position after them.
    pub position: Position,
}
