//! Callers: requests to a gateway, and what came back.

use {
    crate::http::{self, Head},
    std::{
        io::{self, BufReader, Write as _},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

/// Longest time for a connection, as clients allow.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// What became of a request.
#[derive(Debug)]
pub struct Outcome {
    pub sent: Instant,
    pub ended: Instant,
    /// The whole answer, or why there is none.
    pub answer: io::Result<(Head, Vec<u8>)>,
}

impl Outcome {
    /// The status, or 0 without a whole answer.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |(head, _)| head.status())
    }

    /// In a few words.
    pub fn summary(&self) -> String {
        match &self.answer {
            Ok((head, body)) => {
                let text: String = String::from_utf8_lossy(body).chars().take(60).collect();
                format!("answered {} {text:?}", head.status())
            }
            Err(error) => format!("no whole answer: {error}"),
        }
    }
}

/// A caller's connection, kept open between requests.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
        })
    }

    /// Sends a request and waits for the whole answer, at most for `limit`.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> Outcome {
        let sent = Instant::now();
        let answer = self.exchange(request, limit);
        Outcome {
            sent,
            ended: Instant::now(),
            answer,
        }
    }

    fn exchange(&mut self, request: &[u8], limit: Duration) -> io::Result<(Head, Vec<u8>)> {
        self.stream.get_ref().set_read_timeout(Some(limit))?;
        self.stream.get_mut().write_all(request)?;
        let head = http::read_head(&mut self.stream)?;
        let head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let body = http::read_body(&mut self.stream, &head)?;
        Ok((head, body))
    }
}

/// Sends a request on a new connection.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Outcome {
    let sent = Instant::now();
    match Connection::open(address) {
        Ok(mut connection) => connection.call(request, limit),
        Err(error) => Outcome {
            sent,
            ended: Instant::now(),
            answer: Err(error),
        },
    }
}

/// A request to a plain service, with the key `key`.
pub fn request(method: &str, path: &str, id: &str, budget: Duration) -> Vec<u8> {
    let body = match method {
        "GET" => "",
        _ => "a request's body",
    };
    let length = body.len();
    let budget = budget.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: {id}\r\n\
         Time-Budget: {budget}\r\nAuthorization: Bearer key\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
