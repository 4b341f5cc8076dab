//! Splitting of a stream of server-sent events (`text/event-stream`) into complete events.

use derive_more::{Display, Error};

/// Longest event that is buffered, in bytes. Events of engines are a few hundred bytes long.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Error of a stream with an event that is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the bytes of an event stream and returns complete events only.
///
/// An event ends with an empty line. The bytes are not changed; an incomplete event stays in the
/// buffer.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Number of leading bytes of `pending` in which no event ends.
    scanned: usize,
}

/// Complete events, with their number and last identifier.
#[derive(Debug, PartialEq, Eq)]
pub struct Batch {
    /// Bytes of the events.
    pub bytes: Vec<u8>,
    /// Identifier of the last event that has one.
    pub last_id: Option<u64>,
    /// Number of events.
    pub count: u32,
}

impl Splitter {
    /// A splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes and returns the events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending[self.scanned..]) else {
            // The end of an event may be split between two calls.
            let max_partial_end = b"\r\n\r\n".len() - 1;
            self.scanned = self.pending.len().saturating_sub(max_partial_end);
            return match self.pending.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        };
        let rest = self.pending.split_off(self.scanned + end);
        self.scanned = 0;
        let bytes = std::mem::replace(&mut self.pending, rest);
        let (last_id, count) = scan(&bytes);
        Ok(Some(Batch {
            bytes,
            last_id,
            count,
        }))
    }

    /// Whether an incomplete event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// The position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// The last identifier among the events, and their number.
fn scan(bytes: &[u8]) -> (Option<u64>, u32) {
    let mut last_id = None;
    let mut count = 0;
    let mut has_fields = false;
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            count += u32::from(has_fields);
            has_fields = false;
            continue;
        }
        has_fields = true;
        let id = line
            .strip_prefix(b"id:")
            .and_then(|value| std::str::from_utf8(value).ok())
            .and_then(|value| value.trim().parse().ok());
        last_id = id.or(last_id);
    }
    (last_id, count)
}
