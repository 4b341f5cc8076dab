//! HTTP/1.1 messages on blocking streams.

use std::{
    io::{self, BufRead, BufReader, Read as _},
    net::TcpStream,
};

/// The head of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The word of the first line at an index.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads a head. `None` at the end of the stream.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        match (line.is_empty(), head.line.is_empty()) {
            (true, true) => {}
            (true, false) => return Ok(Some(head)),
            (false, true) => head.line = line.to_owned(),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                let name = name.trim().to_ascii_lowercase();
                head.headers.push((name, value.trim().to_owned()));
            }
        }
    }
}

/// Reads the body that belongs to a head. Fails if it ends early.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_none() {
        let length = head.get("content-length").unwrap_or("0");
        let length = length.parse().map_err(io::Error::other)?;
        body.resize(length, 0);
        stream.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + size, 0);
        stream.read_exact(&mut body[start..])?;
        line.clear();
        stream.read_line(&mut line)?;
        if size == 0 {
            return Ok(body);
        }
    }
}
