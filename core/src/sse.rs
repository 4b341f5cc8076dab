//! Splitting of a stream of server-sent events (`text/event-stream`) into complete events, each of which
//! is checked to belong to the stream.

use derive_more::{Display, Error};

/// Longest event that is buffered, in bytes. Events of engines are a few hundred bytes long.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Longest part of a line that an error shows, in bytes.
const MAX_SHOWN_BYTES: usize = 80;

/// Why bytes do not go on with a stream.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// An event is too long.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line is neither a field of an event nor a comment.
    #[display("a line is no field of an event: {line:?}")]
    NoField {
        /// Beginning of the line.
        line: String,
    },
    /// An event of a numbered stream has no identifier, or more than one.
    #[display("an event does not have one identifier that is a number")]
    NoIdentifier,
    /// An identifier is not above the one before it.
    #[display("the event {id} follows the event {last}")]
    NotAbove {
        /// Identifier of the event.
        id: u64,
        /// Identifier of the event before it.
        last: u64,
    },
}

/// How the events of a stream are numbered. Identifiers increase, and need not do so by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Numbering {
    /// As the first event shows.
    #[default]
    Undecided,
    /// Each event has an identifier above that of the event before it, if there is one.
    Above(Option<u64>),
    /// Not by numbers; identifiers are not checked.
    Unnumbered,
}

/// Buffers the bytes of an event stream and returns complete events only.
///
/// An event ends with an empty line. The bytes are not changed; an incomplete event stays in the
/// buffer. Events that do not go on with the stream are never returned: what a backend server in trouble
/// writes into its response, such as the text of an error, would otherwise reach the caller as a part of
/// the stream.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Start of the first incomplete line of `pending`.
    line_start: usize,
    /// Number of leading bytes of `pending` in which no further line ends.
    scanned: usize,
    /// The complete lines of the incomplete event.
    block: Block,
    numbering: Numbering,
    /// Name of a field that events may have besides those of the HTML standard. Its value is a number.
    extra_field: Option<&'static str>,
}

/// Complete events, with their number and last identifier.
#[derive(Debug, PartialEq, Eq)]
pub struct Batch {
    /// Bytes of the events, and of comments between them.
    pub bytes: Vec<u8>,
    /// Identifier of the last event that has one.
    pub last_id: Option<u64>,
    /// Number of events.
    pub count: u32,
}

/// Lines between two empty lines.
#[derive(Clone, Copy, Debug, Default)]
struct Block {
    /// Whether there is a line other than comments and reconnection times.
    is_event: bool,
    /// Number of identifiers.
    id_count: usize,
    /// The last identifier, if it is a number.
    id: Option<u64>,
}

impl Splitter {
    /// A splitter at the start of a stream.
    pub fn new(numbering: Numbering) -> Self {
        Self {
            numbering,
            ..Self::default()
        }
    }

    /// Accepts another field than those of the HTML standard, whose value is a number.
    pub fn with_extra_field(mut self, name: &'static str) -> Self {
        self.extra_field = Some(name);
        self
    }

    /// Drops the incomplete event. The next bytes are those of another response that goes on with the
    /// stream.
    pub fn begin_response(&mut self) {
        self.pending.clear();
        self.begin_block();
    }

    /// Appends bytes and returns the events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, Fault> {
        self.append(bytes);
        self.next_batch()
    }

    /// Appends bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the complete events up to the first fault, which the next call returns.
    pub fn next_batch(&mut self) -> Result<Option<Batch>, Fault> {
        let mut end = 0;
        let mut last_id = None;
        let mut count = 0;
        while let Some(line_end) = self.find_line_end() {
            let start = std::mem::replace(&mut self.line_start, line_end);
            let line = &self.pending[start..line_end - 1];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let checked = match line.is_empty() {
                false => self.block.add(line, self.extra_field).map(|()| None),
                true => self.block.check(self.numbering).map(Some),
            };
            match checked {
                Ok(None) => {}
                Ok(Some(numbering)) => {
                    self.numbering = numbering;
                    last_id = self.block.id.or(last_id);
                    count += u32::from(self.block.is_event);
                    self.block = Block::default();
                    end = line_end;
                }
                Err(fault) if end == 0 => return Err(fault),
                Err(_) => {
                    self.begin_block();
                    return Ok(Some(self.take(end, last_id, count)));
                }
            }
        }
        if end > 0 {
            self.line_start -= end;
            self.scanned -= end;
            return Ok(Some(self.take(end, last_id, count)));
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(Fault::TooLong),
            false => Ok(None),
        }
    }

    /// Whether an incomplete event, or bytes that are no event, are buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The position after the first incomplete line, if it has become complete.
    fn find_line_end(&mut self) -> Option<usize> {
        let mut rest = self.pending[self.scanned..].iter();
        let length = rest.position(|byte| *byte == b'\n');
        self.scanned = length.map_or(self.pending.len(), |length| self.scanned + length + 1);
        length.map(|_| self.scanned)
    }

    fn begin_block(&mut self) {
        self.line_start = 0;
        self.scanned = 0;
        self.block = Block::default();
    }

    /// Takes the first `end` bytes out of the buffer.
    fn take(&mut self, end: usize, last_id: Option<u64>, count: u32) -> Batch {
        let rest = self.pending.split_off(end);
        Batch {
            bytes: std::mem::replace(&mut self.pending, rest),
            last_id,
            count,
        }
    }
}

impl Block {
    fn add(&mut self, line: &[u8], extra_field: Option<&str>) -> Result<(), Fault> {
        let (name, value) = match line.iter().position(|byte| *byte == b':') {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &b""[..]),
        };
        let number = || {
            let digits = std::str::from_utf8(value).ok()?.trim();
            digits.parse::<u64>().ok()
        };
        match name {
            // A comment.
            b"" | b"retry" => return Ok(()),
            b"data" | b"event" => {}
            b"id" => {
                self.id_count += 1;
                self.id = number();
            }
            _ if extra_field.is_some_and(|extra| extra.as_bytes() == name)
                && number().is_some() => {}
            _ => {
                let shown = &line[..line.len().min(MAX_SHOWN_BYTES)];
                return Err(Fault::NoField {
                    line: String::from_utf8_lossy(shown).into_owned(),
                });
            }
        }
        self.is_event = true;
        Ok(())
    }

    /// Checks the complete block against the numbering of the events before it, and returns the numbering
    /// of those that follow.
    fn check(&self, numbering: Numbering) -> Result<Numbering, Fault> {
        if !self.is_event {
            return Ok(numbering);
        }
        let last = match (numbering, self.id) {
            (Numbering::Unnumbered, _) | (Numbering::Undecided, None) => {
                return Ok(Numbering::Unnumbered);
            }
            (Numbering::Undecided, Some(_)) => None,
            (Numbering::Above(last), _) => last,
        };
        let id = self.id.filter(|_| self.id_count == 1);
        let id = id.ok_or(Fault::NoIdentifier)?;
        match last {
            Some(last) if id <= last => Err(Fault::NotAbove { id, last }),
            _ => Ok(Numbering::Above(Some(id))),
        }
    }
}
