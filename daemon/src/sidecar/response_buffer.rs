//! Buffer for the response of one attempt, kept until its router has received it.

use {
    super::budget::Reservation,
    bytes::Bytes,
    std::collections::VecDeque,
    tamarackdale_core::{digest::Digest, failure::Failure},
    tamarackdale_wire::{Frame, frame::Header},
};

/// Number of body bytes after which one read ends; the last chunk may exceed it.
const MAX_READ_BYTES: usize = 256 * 1024;

/// Position of a reader in the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Whether the reader has been told that the attempt is ready.
    pub ready: bool,
    /// Whether the reader has received the head.
    pub head: bool,
    /// Number of body bytes that the reader has received.
    pub offset: u64,
}

/// A piece of the body, with its share of the process's memory budget for buffered responses.
pub struct Chunk {
    /// The bytes.
    pub bytes: Bytes,
    /// Returned to the budget when the chunk is dropped.
    pub reservation: Reservation,
}

/// How a response ended.
#[derive(Clone, Debug)]
enum Outcome {
    Complete,
    Failed(Failure),
}

/// Error of a read at a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Nothing has arrived after the position yet.
    NotYet,
    /// The bytes at the position have been dropped, or the position is beyond the end.
    Gone,
}

/// Head, body and outcome of an attempt's response, as far as they have arrived.
#[derive(Default)]
pub struct ResponseBuffer {
    ready: bool,
    head: Option<Frame>,
    chunks: VecDeque<Chunk>,
    first_offset: u64,
    digest: Digest,
    outcome: Option<Outcome>,
}

impl ResponseBuffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the attempt is ready to start.
    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Stores the head.
    pub fn set_head(&mut self, status: u16, headers: Vec<Header>) {
        self.head = Some(Frame::Head { status, headers });
    }

    /// Appends to the body.
    pub fn push(&mut self, chunk: Chunk) {
        self.digest.update(&chunk.bytes);
        self.chunks.push_back(chunk);
    }

    /// Records that the body is complete.
    pub fn finish(&mut self) {
        self.outcome = Some(Outcome::Complete);
    }

    /// Records that the attempt failed.
    pub fn fail(&mut self, failure: Failure) {
        self.outcome = Some(Outcome::Failed(failure));
    }

    /// Drops the body, which nobody is going to read.
    pub fn discard(&mut self) {
        self.trim(self.length());
    }

    /// Whether the response has ended, complete or not.
    pub fn is_ended(&self) -> bool {
        self.outcome.is_some()
    }

    /// Number of body bytes that have arrived.
    pub fn length(&self) -> u64 {
        self.digest.length()
    }

    /// Drops the chunks that lie entirely below `offset`.
    pub fn trim(&mut self, offset: u64) {
        while let Some(chunk) = self.chunks.front() {
            let end = self.first_offset + chunk.bytes.len() as u64;
            if end > offset {
                return;
            }
            self.first_offset = end;
            self.chunks.pop_front();
        }
    }

    /// Returns the frames after `position` and advances it past them.
    ///
    /// Fails when there are none yet, or when the bytes at the position are not in the buffer.
    pub fn read(&self, position: &mut Position) -> Result<Vec<Frame>, ReadError> {
        let mut frames = Vec::new();
        if self.ready && !position.ready {
            position.ready = true;
            frames.push(Frame::Ready);
        }
        if let Some(head) = &self.head
            && !position.head
        {
            position.head = true;
            frames.push(head.clone());
        }
        self.read_body(position, &mut frames)?;
        if position.offset == self.length() {
            frames.extend(self.end_frame());
        }
        if frames.is_empty() {
            return Err(ReadError::NotYet);
        }
        Ok(frames)
    }

    fn read_body(&self, position: &mut Position, frames: &mut Vec<Frame>) -> Result<(), ReadError> {
        if position.offset < self.first_offset || position.offset > self.length() {
            return Err(ReadError::Gone);
        }
        let mut start = self.first_offset;
        let mut remaining = MAX_READ_BYTES;
        for chunk in &self.chunks {
            let end = start + chunk.bytes.len() as u64;
            if end > position.offset {
                let skip = (position.offset - start) as usize;
                let bytes = chunk.bytes.slice(skip..);
                remaining = remaining.saturating_sub(bytes.len());
                frames.push(Frame::Chunk {
                    offset: position.offset,
                    bytes,
                });
                position.offset = end;
            }
            if remaining == 0 {
                break;
            }
            start = end;
        }
        Ok(())
    }

    fn end_frame(&self) -> Option<Frame> {
        match self.outcome.as_ref()? {
            Outcome::Complete => Some(Frame::End {
                length: self.digest.length(),
                checksum: self.digest.checksum(),
            }),
            Outcome::Failed(failure) => Some(Frame::Failed((*failure).into())),
        }
    }
}
