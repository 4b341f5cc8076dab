//! A caller that sends its whole request before it reads, and takes a failed write or a reset for the
//! lack of an answer.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// How the end of a request's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in the head.
    Length,
    /// By its last chunk.
    Chunked,
}

/// A request whose body is sent in pieces.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request line and headers, each with its line break, without those about the body.
    pub head: String,
    /// Number of bytes of a piece.
    pub piece: usize,
    /// Number of pieces.
    pub pieces: usize,
    /// Pause before each piece.
    pub pause: Duration,
    /// How the end of the body is marked.
    pub framing: Framing,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Whether the server announces that it closes the connection.
    pub is_last: bool,
    /// Body.
    pub body: Vec<u8>,
}

/// A connection of a strict caller.
pub struct Connection {
    stream: BufReader<TcpStream>,
    bytes_sent: usize,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when nobody listens there.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
            bytes_sent: 0,
        })
    }

    /// Sends a request piece by piece, then reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when a piece cannot be sent, or there is no whole answer within `limit`.
    pub async fn call(&mut self, request: &Request, limit: Duration) -> io::Result<Answer> {
        self.send(request).await?;
        timeout(limit, self.answer()).await?
    }

    /// Bytes of bodies that the own system has taken for sending.
    pub fn bytes_sent(&self) -> usize {
        self.bytes_sent
    }

    async fn send(&mut self, request: &Request) -> io::Result<()> {
        let framing = match request.framing {
            Framing::Length => format!("Content-Length: {}", request.piece * request.pieces),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
        };
        let head = format!("{}{framing}\r\n\r\n", request.head);
        self.stream.write_all(head.as_bytes()).await?;
        let mut piece = vec![b'x'; request.piece];
        if request.framing == Framing::Chunked {
            piece = [
                format!("{:x}\r\n", request.piece).into_bytes(),
                piece,
                b"\r\n".to_vec(),
            ]
            .concat();
        }
        for _ in 0..request.pieces {
            sleep(request.pause).await;
            self.stream.write_all(&piece).await?;
            self.bytes_sent += piece.len();
        }
        if request.framing == Framing::Chunked {
            self.stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }

    async fn answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer {
            status: 0,
            is_last: false,
            body: Vec::new(),
        };
        let first = self.line().await?;
        let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
        answer.status = status.ok_or(io::ErrorKind::InvalidData)?;
        let mut length = 0;
        loop {
            let line = self.line().await?.to_ascii_lowercase();
            match line.split_once(": ") {
                Some(("content-length", value)) => {
                    length = value.parse().map_err(io::Error::other)?;
                }
                Some(("connection", value)) => answer.is_last = value == "close",
                Some(_) => {}
                None => break,
            }
        }
        answer.body.resize(length, 0);
        self.stream.read_exact(&mut answer.body).await?;
        Ok(answer)
    }

    async fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}
