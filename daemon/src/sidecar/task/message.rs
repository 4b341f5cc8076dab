//! Messages to a task.

use {
    crate::sidecar::response_buffer::Position, tamarackdale_core::failure::Failure,
    tamarackdale_wire::Frame, tokio::sync::oneshot,
};

/// Message to a task.
pub enum Message {
    /// The attempt is ready to start; its router may grant it.
    Ready,
    /// The attempt has been granted.
    Start,
    /// The attempt failed before it was dispatched.
    Fail(Failure),
    /// The response is no longer needed.
    Cancel,
    /// A reader requests the frames after a position.
    Read(Read),
    /// A router has received the response up to an offset.
    Acknowledge {
        /// Number of body bytes received.
        offset: u64,
        /// Whether the response was received to its end.
        complete: bool,
    },
}

/// Request for the frames after a position.
pub struct Read {
    /// Position of the reader.
    pub position: Position,
    /// Reply channel; closed without a reply if the bytes at the position are not buffered.
    pub reply: oneshot::Sender<FrameBatch>,
}

/// Frames for a reader.
pub struct FrameBatch {
    /// The frames.
    pub frames: Vec<Frame>,
    /// Position after the frames.
    pub position: Position,
}
