//! Compact form of summaries: names are sent once per connection, then numbers.
//!
//! A message is a byte for its kind, a byte of flags that says which parts follow, and the parts. Integers
//! are of variable length. The first message of a stream is `KIND_FULL` and has the sender's boot, data
//! centre and the whole table of names; the others are `KIND_CHANGES` and have the names that are new.
//! Loads, quota use, waits and floors have a form of their own. All other fields of a [`Frame`] are sent as
//! the former MessagePack [`Frame`] in the last part, so that a new field needs no change here.
//!
//! A former message begins with the marker of a MessagePack array, which is none of the kinds, so a
//! [`Reader`] tells the forms apart.

mod names;
mod primitive;

pub use names::{MAX_NAME_BYTES, MAX_NAMES, NameTable, Pool};

use {
    self::{
        names::PeerNames,
        primitive::{Input, put_bytes, put_units, put_varint},
    },
    crate::{
        codec,
        summary::{Entry, Frame, Usage},
    },
    bytes::Bytes,
    derive_more::{Display, Error},
};

/// First byte of a message that holds changes.
const KIND_CHANGES: u8 = 1;

/// First byte of a message that holds everything, with the whole table of names.
const KIND_FULL: u8 = 2;

const IS_COMPLETE: u8 = 1;
const HAS_NAMES: u8 = 1 << 1;
const HAS_ENTRIES: u8 = 1 << 2;
const HAS_USAGES: u8 = 1 << 3;
const HAS_WAITS: u8 = 1 << 4;
const HAS_FLOORS: u8 = 1 << 5;
const HAS_REST: u8 = 1 << 6;

/// Most parts of a persisted quota use.
const MAX_KNOWN_PARTS: usize = 64;

/// Why a message cannot be read.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// It ends early or a length in it is out of bounds.
    #[display("invalid compact message")]
    Invalid,
    /// It uses a number without a name: the tables of sender and reader differ.
    #[display("unknown number of a name")]
    UnknownName,
    /// It is no message of the former form either.
    #[display("{_0}")]
    Former(codec::Error),
}

/// Encodes a message that holds everything, for a peer that has heard nothing or has lost count. `None`
/// if it cannot be encoded in this form and must be sent in the former one.
pub fn encode_full(frame: &Frame, table: &mut NameTable) -> Option<Bytes> {
    let data_centre = frame.data_centre.as_deref().unwrap_or_default();
    if data_centre.len() > MAX_NAME_BYTES || !table.add_names_of(frame) {
        return None;
    }
    let mut output = vec![KIND_FULL];
    output.extend(frame.boot.to_le_bytes());
    put_bytes(&mut output, data_centre.as_bytes());
    put_parts(&mut output, frame, table, 0)?;
    Some(output.into())
}

/// Encodes a message of changes for the peers that got all earlier ones, or a full one since. `None` if it
/// must be sent in the former form.
pub fn encode_changes(frame: &Frame, table: &mut NameTable) -> Option<Bytes> {
    if !table.add_names_of(frame) {
        return None;
    }
    let mut output = vec![KIND_CHANGES];
    put_parts(&mut output, frame, table, table.announced())?;
    table.announce_all();
    Some(output.into())
}

fn put_parts(
    output: &mut Vec<u8>,
    frame: &Frame,
    table: &NameTable,
    announced: usize,
) -> Option<()> {
    let names = table.names_from(announced);
    let rest = rest(frame)?;
    let flag = |is_set: bool, flag: u8| if is_set { flag } else { 0 };
    output.push(
        flag(frame.is_complete, IS_COMPLETE)
            | flag(!names.is_empty(), HAS_NAMES)
            | flag(!frame.entries.is_empty(), HAS_ENTRIES)
            | flag(!frame.usages.is_empty(), HAS_USAGES)
            | flag(!frame.waits.is_empty(), HAS_WAITS)
            | flag(!frame.floors.is_empty(), HAS_FLOORS)
            | flag(!rest.is_empty(), HAS_REST),
    );
    if !names.is_empty() {
        put_varint(output, announced as u64);
        put_varint(output, names.len() as u64);
        for name in names {
            put_bytes(output, name.as_bytes());
        }
    }
    if !frame.entries.is_empty() {
        put_varint(output, frame.entries.len() as u64);
        for entry in &frame.entries {
            put_entry(output, entry, table.number(&entry.id)?);
        }
    }
    if !frame.usages.is_empty() {
        put_varint(output, frame.usages.len() as u64);
        for usage in &frame.usages {
            put_usage(output, usage, table.number(&usage.organisation)?)?;
        }
    }
    if !frame.waits.is_empty() {
        put_varint(output, frame.waits.len() as u64);
        for (service, rank, stage) in &frame.waits {
            put_varint(output, table.number(service)?);
            output.extend([*rank, *stage]);
        }
    }
    if !frame.floors.is_empty() {
        put_varint(output, frame.floors.len() as u64);
        for (service, rank, remaining_ms) in &frame.floors {
            put_varint(output, table.number(service)?);
            output.push(*rank);
            put_varint(output, u64::from(*remaining_ms));
        }
    }
    output.extend(rest);
    Some(())
}

/// The fields without a form of their own in MessagePack, or nothing if they are all empty.
fn rest(frame: &Frame) -> Option<Bytes> {
    let rest = Frame {
        boot: 0,
        entries: Vec::new(),
        usages: Vec::new(),
        is_complete: false,
        waits: Vec::new(),
        floors: Vec::new(),
        data_centre: None,
        ..frame.clone()
    };
    let empty = codec::encode(&Frame::empty()).ok()?;
    let rest = codec::encode(&rest).ok()?;
    Some(if rest == empty { Bytes::new() } else { rest })
}

fn put_entry(output: &mut Vec<u8>, entry: &Entry, number: u64) {
    put_varint(output, number << 1 | u64::from(entry.speed.is_some()));
    put_varint(output, entry.requests.into());
    put_varint(output, entry.prompt.into());
    if let Some(speed) = &entry.speed {
        let known = speed.iter().enumerate();
        let known = known.fold(0, |bits, (index, value)| {
            bits | u8::from(value.is_some()) << index
        });
        output.push(known);
        for value in speed.iter().flatten() {
            output.extend(value.to_le_bytes());
        }
    }
}

fn put_usage(output: &mut Vec<u8>, usage: &Usage, number: u64) -> Option<()> {
    put_varint(output, number << 1 | u64::from(usage.known.is_some()));
    put_units(output, usage.totals.0);
    put_units(output, usage.totals.1);
    if let Some(known) = &usage.known {
        if known.len() > MAX_KNOWN_PARTS {
            return None;
        }
        put_varint(output, known.len() as u64);
        known.iter().for_each(|units| put_units(output, *units));
    }
    Some(())
}

/// Reads the messages of one stream, in either form. Keeps the names of the sender.
#[derive(Debug, Default)]
pub struct Reader {
    boot: Option<u64>,
    names: PeerNames,
}

impl Reader {
    /// A reader of a stream of which nothing has been read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of names that are kept.
    pub fn names(&self) -> usize {
        self.names.len()
    }

    /// Reads the next message. After an error, the stream must be ended and opened anew.
    pub fn read(&mut self, message: &[u8], pool: &Pool) -> Result<Frame, Error> {
        let mut input = Input::new(message);
        match message.first() {
            Some(&KIND_FULL) => {
                input.byte()?;
                let boot = u64::from_le_bytes(input.array()?);
                let data_centre = input.text(MAX_NAME_BYTES)?.to_owned();
                self.boot = Some(boot);
                self.names = PeerNames::default();
                let mut frame = self.read_parts(boot, input, pool)?;
                frame.data_centre = Some(data_centre);
                Ok(frame)
            }
            Some(&KIND_CHANGES) => {
                input.byte()?;
                let boot = self.boot.ok_or(Error::UnknownName)?;
                self.read_parts(boot, input, pool)
            }
            _ => codec::decode(message).map_err(Error::Former),
        }
    }

    fn read_parts(&mut self, boot: u64, mut input: Input<'_>, pool: &Pool) -> Result<Frame, Error> {
        let flags = input.byte()?;
        if flags & HAS_NAMES != 0 {
            self.names.read(&mut input, pool)?;
        }
        let names = &self.names;
        let entries = read_list(flags & HAS_ENTRIES, 3, &mut input, names, |input, names| {
            let (name, has_speed) = names.read_flagged(input)?;
            Ok(Entry {
                id: name,
                requests: input.varint_u32()?,
                prompt: input.varint_u32()?,
                speed: has_speed.then(|| read_speed(input)).transpose()?,
            })
        })?;
        let usages = read_list(flags & HAS_USAGES, 3, &mut input, names, |input, names| {
            let (name, has_known) = names.read_flagged(input)?;
            Ok(Usage {
                organisation: name,
                totals: (input.units()?, input.units()?),
                known: has_known.then(|| read_known(input)).transpose()?,
            })
        })?;
        let waits = read_list(flags & HAS_WAITS, 3, &mut input, names, |input, names| {
            Ok((names.read_one(input)?, input.byte()?, input.byte()?))
        })?;
        let floors = read_list(flags & HAS_FLOORS, 3, &mut input, names, |input, names| {
            let (name, rank) = (names.read_one(input)?, input.byte()?);
            let remaining_ms = u16::try_from(input.varint()?).map_err(|_| Error::Invalid)?;
            Ok((name, rank, remaining_ms))
        })?;
        let rest = match flags & HAS_REST {
            0 => Frame::empty(),
            _ => codec::decode(input.rest()).map_err(Error::Former)?,
        };
        Ok(Frame {
            boot,
            entries,
            usages,
            is_complete: flags & IS_COMPLETE != 0,
            waits,
            floors,
            ..rest
        })
    }
}

/// Names that are left to be used in one list. No name occurs twice in one, so a list of repeated numbers
/// cannot take more memory than the table.
struct ListNames<'a> {
    names: &'a PeerNames,
    bytes_left: usize,
}

impl ListNames<'_> {
    fn read_one(&mut self, input: &mut Input<'_>) -> Result<String, Error> {
        let number = input.varint()?;
        self.name(number)
    }

    /// A number whose lowest bit is a flag.
    fn read_flagged(&mut self, input: &mut Input<'_>) -> Result<(String, bool), Error> {
        let value = input.varint()?;
        Ok((self.name(value >> 1)?, value & 1 != 0))
    }

    fn name(&mut self, number: u64) -> Result<String, Error> {
        let name = self.names.get(number).ok_or(Error::UnknownName)?;
        let bytes_left = self.bytes_left.checked_sub(name.len());
        self.bytes_left = bytes_left.ok_or(Error::Invalid)?;
        Ok(name.to_owned())
    }
}

/// Reads a list, if it is there, whose elements have at least `min_bytes` each.
fn read_list<T>(
    flag: u8,
    min_bytes: usize,
    input: &mut Input<'_>,
    names: &PeerNames,
    mut read: impl FnMut(&mut Input<'_>, &mut ListNames<'_>) -> Result<T, Error>,
) -> Result<Vec<T>, Error> {
    if flag == 0 {
        return Ok(Vec::new());
    }
    let count = input.count(min_bytes)?;
    let mut list = Vec::with_capacity(count.min(names.len()));
    let mut left = ListNames {
        names,
        bytes_left: names.bytes(),
    };
    for _ in 0..count {
        list.push(read(input, &mut left)?);
    }
    Ok(list)
}

fn read_speed(input: &mut Input<'_>) -> Result<[Option<f32>; 4], Error> {
    let known = input.byte()?;
    let mut speed = [None; 4];
    for (index, value) in speed.iter_mut().enumerate() {
        if known & 1 << index != 0 {
            *value = Some(f32::from_le_bytes(input.array()?));
        }
    }
    Ok(speed)
}

fn read_known(input: &mut Input<'_>) -> Result<Vec<f64>, Error> {
    let count = input.count(1)?;
    if count > MAX_KNOWN_PARTS {
        return Err(Error::Invalid);
    }
    (0..count).map(|_| input.units()).collect()
}
