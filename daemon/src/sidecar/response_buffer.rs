//! The answer of one attempt, kept until its router has it.

use {
    bytes::Bytes,
    std::collections::VecDeque,
    tamarackdale_core::{digest::Digest, failure::Failure},
    tamarackdale_wire::{Frame, frame::Header},
    tokio::sync::OwnedSemaphorePermit,
};

/// Most bytes of body given out at one reading.
const MAX_READ_BYTES: usize = 256 * 1024;

/// How far a reader has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Whether the reader knows that the attempt is ready.
    pub ready: bool,
    /// Whether the reader has the head.
    pub head: bool,
    /// Bytes of the body that the reader has.
    pub offset: u64,
}

/// A piece of the body, with its share of the process's budget for kept answers.
pub struct Chunk {
    /// The bytes.
    pub bytes: Bytes,
    /// Returned to the budget when the chunk is dropped.
    pub permit: OwnedSemaphorePermit,
}

/// How an answer ended.
#[derive(Clone, Debug)]
enum Ending {
    Whole,
    Failed(Failure),
}

/// Why nothing can be read at a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// There is nothing new yet.
    NotYet,
    /// The bytes at the position have been dropped, or were never there.
    Gone,
}

/// Head, body and end of an attempt's answer, as far as they have come.
#[derive(Default)]
pub struct ResponseBuffer {
    ready: bool,
    head: Option<Frame>,
    chunks: VecDeque<Chunk>,
    first_offset: u64,
    digest: Digest,
    ending: Option<Ending>,
}

impl ResponseBuffer {
    /// An empty answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the attempt is next to start.
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

    /// Notes that the body is complete.
    pub fn finish(&mut self) {
        self.ending = Some(Ending::Whole);
    }

    /// Notes that the attempt failed.
    pub fn fail(&mut self, failure: Failure) {
        self.ending = Some(Ending::Failed(failure));
    }

    /// Whether the answer has ended, whole or not.
    pub fn is_ended(&self) -> bool {
        self.ending.is_some()
    }

    /// Bytes of body that came so far.
    pub fn length(&self) -> u64 {
        self.digest.length()
    }

    /// Drops the chunks that lie wholly below `offset`.
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

    /// The frames that follow `position`, which moves past them.
    ///
    /// Fails when there are none yet, or when the bytes are gone.
    pub fn read(&self, position: &mut Position) -> Result<Vec<Frame>, Unreadable> {
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
            return Err(Unreadable::NotYet);
        }
        Ok(frames)
    }

    fn read_body(
        &self,
        position: &mut Position,
        frames: &mut Vec<Frame>,
    ) -> Result<(), Unreadable> {
        if position.offset < self.first_offset || position.offset > self.length() {
            return Err(Unreadable::Gone);
        }
        let mut start = self.first_offset;
        let mut budget = MAX_READ_BYTES;
        for chunk in &self.chunks {
            let end = start + chunk.bytes.len() as u64;
            if end > position.offset {
                let skip = (position.offset - start) as usize;
                let bytes = chunk.bytes.slice(skip..);
                budget = budget.saturating_sub(bytes.len());
                frames.push(Frame::Chunk {
                    offset: position.offset,
                    bytes,
                });
                position.offset = end;
            }
            if budget == 0 {
                break;
            }
            start = end;
        }
        Ok(())
    }

    fn end_frame(&self) -> Option<Frame> {
        match self.ending.as_ref()? {
            Ending::Whole => Some(Frame::End {
                length: self.digest.length(),
                checksum: self.digest.checksum(),
            }),
            Ending::Failed(failure) => Some(Frame::Failed((*failure).into())),
        }
    }
}
