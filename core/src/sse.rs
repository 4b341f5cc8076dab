//! Whole events of an event stream, as bytes.

/// Gathers the bytes of an event stream and gives out whole events only.
///
/// An event ends with an empty line. Bytes pass unchanged; an event that was cut stays behind.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
}

/// Whole events, and what they tell.
#[derive(Debug, PartialEq, Eq)]
pub struct Batch {
    /// The events' bytes.
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

    /// Takes in bytes and gives out the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Batch> {
        self.pending.extend_from_slice(bytes);
        let end = last_boundary(&self.pending)?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        let (last_id, count) = scan(&bytes);
        Some(Batch {
            bytes,
            last_id,
            count,
        })
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// The position behind the last empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

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
