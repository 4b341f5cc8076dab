//! Splitting of a stream of server-sent events (`text/event-stream`) into complete events.

/// Buffers the bytes of an event stream and returns complete events only.
///
/// An event ends with an empty line. The bytes are not changed; an incomplete event stays in the
/// buffer.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
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
    pub fn push(&mut self, bytes: &[u8]) -> Option<Batch> {
        self.pending.extend_from_slice(bytes);
        let end = end_of_last_event(&self.pending)?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        let (last_id, count) = scan(&bytes);
        Some(Batch {
            bytes,
            last_id,
            count,
        })
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
