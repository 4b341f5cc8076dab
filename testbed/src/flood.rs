//! Answers without end: bytes that are no whole answer, until the caller closes the connection.

use {
    crate::host::Connection,
    std::{io, thread, time::Duration},
    tokio::task::spawn_blocking,
};

/// Bytes of one repeated piece, about.
const PIECE_BYTES: usize = 16 * 1024;

/// Pause while the caller takes no bytes.
const BLOCKED_PAUSE: Duration = Duration::from_millis(1);

/// An interim response.
pub const HINT: &str = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";

/// What comes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// The value of one header.
    HeaderLine,
    /// Headers.
    HeaderLines,
    /// Interim responses.
    Interim,
    /// A body in chunks.
    Body,
    /// A body in chunks of one byte.
    SmallChunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// The line of one event.
    EventLine,
    /// The lines of one event.
    EventLines,
    /// Comments in a stream.
    Comments,
}

impl Flood {
    /// Writes the answer to the request `id` until the connection is closed.
    pub async fn write(self, connection: Connection, id: &str) {
        let (begin, piece) = self.parts(id);
        let writing = spawn_blocking(move || {
            write_all(&connection, &begin)?;
            loop {
                write_all(&connection, &piece)?;
            }
        });
        // The writing ends with the connection.
        let _: Result<io::Result<()>, _> = writing.await;
    }

    /// The beginning, and what is then repeated.
    fn parts(self, id: &str) -> (Vec<u8>, Vec<u8>) {
        let status = format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: signature\r\n");
        let kind = match self {
            Self::EventLine | Self::EventLines | Self::Comments => {
                "content-type: text/event-stream\r\n"
            }
            _ => "",
        };
        let chunked = format!("{status}{kind}transfer-encoding: chunked\r\n\r\n");
        let repeat = |text: &str| text.repeat(PIECE_BYTES / text.len());
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let (begin, piece) = match self {
            Self::HeaderLine => (format!("{status}x: "), repeat("x")),
            Self::HeaderLines => (status, repeat("x: y\r\n")),
            Self::Interim => (String::new(), repeat(HINT)),
            Self::Body => (chunked, chunk(&repeat("x"))),
            Self::SmallChunks => (chunked, repeat(&chunk("x"))),
            Self::ChunkExtension => (format!("{chunked}1;"), repeat("x")),
            Self::Trailers => (format!("{chunked}0\r\n"), repeat("x: y\r\n")),
            Self::EventLine => (format!("{chunked}{}", chunk("data: ")), chunk(&repeat("x"))),
            Self::EventLines => (chunked, chunk(&repeat("data: x\n"))),
            Self::Comments => (chunked, chunk(&repeat(": x\n\n"))),
        };
        (begin.into_bytes(), piece.into_bytes())
    }
}

/// Writes on a socket that does not block.
fn write_all(connection: &Connection, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match connection.write_some(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => thread::sleep(BLOCKED_PAUSE),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
