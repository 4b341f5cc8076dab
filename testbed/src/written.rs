//! Answers that a server writes byte by byte, to end the connection at any of them.

use crate::host::Connection;

/// How the end of an answer's body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By chunks, of which the first has half of the body.
    Chunked,
    /// By the end of the connection.
    Connection,
    /// By chunks, with a length of the first chunk beside them, which does not count.
    LengthAndChunks,
}

/// The form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// How the end of the body is told.
    pub framing: Framing,
    /// Status of an interim response before the answer.
    pub interim: Option<u16>,
}

impl Written {
    /// Head and body of an answer to the request `id`, each as it is written.
    pub fn parts(&self, id: &str, body: &str) -> (String, String) {
        let interim = self
            .interim
            .map(|status| format!("HTTP/1.1 {status} Interim\r\nattempt-id: {id}\r\n\r\n"));
        let kind = match body.starts_with("id: ") {
            true => "content-type: text/event-stream\r\n",
            false => "",
        };
        let (first, second) = body.split_at(body.len() / 2);
        let framing = match self.framing {
            Framing::Length => format!("content-length: {}\r\n", body.len()),
            Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Connection => String::new(),
            Framing::LengthAndChunks => format!(
                "content-length: {}\r\ntransfer-encoding: chunked\r\n",
                first.len()
            ),
        };
        let head = format!(
            "{}HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: signature\r\n{kind}{framing}\r\n",
            interim.unwrap_or_default()
        );
        let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
        let body = match self.framing {
            Framing::Length | Framing::Connection => body.to_owned(),
            Framing::Chunked | Framing::LengthAndChunks => {
                format!("{}{}0\r\n\r\n", chunk(first), chunk(second))
            }
        };
        (head, body)
    }
}

/// Where an answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Break {
    /// The form of the answer.
    pub answer: Written,
    /// Number of its bytes that are written, from the first of its head; at most all.
    pub bytes: usize,
    /// Whether the connection is then reset, and not closed.
    pub is_reset: bool,
}

impl Break {
    /// A whole answer.
    pub fn none(framing: Framing) -> Self {
        Self {
            answer: Written {
                framing,
                interim: None,
            },
            bytes: usize::MAX,
            is_reset: false,
        }
    }

    /// Writes the beginning of the answer. The connection is then to be dropped.
    pub fn write(&self, connection: &Connection, id: &str, body: &str) {
        let (head, body) = self.answer.parts(id, body);
        let bytes = [head, body].concat();
        if self.is_reset {
            connection.reset_at_close();
        }
        connection.write(&bytes.as_bytes()[..self.bytes.min(bytes.len())]);
    }
}
