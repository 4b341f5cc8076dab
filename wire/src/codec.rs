//! MessagePack encoding, and length-prefixed framing for streams.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error, From},
    serde::{Serialize, de::DeserializeOwned},
    tokio_util::codec::{Decoder as _, Encoder as _, LengthDelimitedCodec},
};

/// Largest message accepted, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Most levels of nesting in a message. Those of the messages in use are fewer, and the default of the
/// library, 1,024, overflows the stack of a thread in a build without optimisation.
const MAX_DEPTH: usize = 32;

/// Errors of encoding and decoding.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The value cannot be represented in MessagePack.
    #[display("cannot encode message: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes are not the expected message.
    #[display("cannot decode message: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The stream's framing is invalid or a message is over the size limit.
    #[display("invalid framing: {_0}")]
    Framing(std::io::Error),
}

/// Encodes a message as a complete HTTP body.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    Ok(rmp_serde::to_vec(message)?.into())
}

/// Encodes a message by the names of its fields, as a complete HTTP body. Receivers ignore fields that they
/// do not know; an array with such fields is refused by those of a previous version.
pub fn encode_named<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    Ok(rmp_serde::to_vec_named(message)?.into())
}

/// Decodes a message from a complete HTTP body.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_DEPTH);
    Ok(T::deserialize(&mut deserializer)?)
}

/// Encodes a message with its length prefix, as an item of a stream.
pub fn encode_item<T: Serialize>(message: &T) -> Result<Bytes, Error> {
    frame_item(encode(message)?)
}

/// Adds the length prefix of an item of a stream to an encoded message.
pub fn frame_item(payload: Bytes) -> Result<Bytes, Error> {
    let mut buffer = BytesMut::with_capacity(payload.len() + 4);
    framing().encode(payload, &mut buffer)?;
    Ok(buffer.freeze())
}

/// Splits a byte stream into its length-prefixed messages.
pub struct Splitter {
    framing: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Default for Splitter {
    fn default() -> Self {
        Self::new()
    }
}

impl Splitter {
    /// A splitter with an empty buffer.
    pub fn new() -> Self {
        Self {
            framing: framing(),
            buffer: BytesMut::new(),
        }
    }

    /// Appends the next bytes of the stream to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete message, or `None` if the buffer holds none yet.
    pub fn next_item<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        match self.next_bytes()? {
            Some(payload) => decode(&payload).map(Some),
            None => Ok(None),
        }
    }

    /// The next complete message without decoding it, or `None` if the buffer holds none yet.
    pub fn next_bytes(&mut self) -> Result<Option<BytesMut>, Error> {
        Ok(self.framing.decode(&mut self.buffer)?)
    }
}

fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
