//! Callers that nobody controls: each sends the head of a request and its body but for the last byte, and stays.
//!
//! Arguments: address of the gateway, number of connections, first identifier, entries of a prompt, bytes of the
//! body that are not sent. Prints how many connections it has opened, and keeps them until it is killed.

use {
    std::{
        env,
        io::{self, Write as _},
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
    tamarackdale_review_stand_ins::ms,
};

/// Length of a body.
const BODY_BYTES: usize = 20;

/// Time between two connections.
const INTERVAL: Duration = ms(4);

fn main() -> io::Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let text = |index: usize| arguments.get(index).map_or("", String::as_str);
    let number = |index: usize| text(index).parse::<usize>().map_err(io::Error::other);
    let gateway: SocketAddr = text(0).parse().map_err(io::Error::other)?;
    let (connections, first, entries, unsent) = (number(1)?, number(2)?, number(3)?, number(4)?);
    let prompt: Vec<String> = (0..entries)
        .map(|entry| format!("{:x}:1", entry % 16))
        .collect();
    let prompt = prompt.join(",");
    let mut open = Vec::new();
    for id in first..first + connections {
        let head = format!(
            "POST /booking/2f HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: u-{id}\r\nTime-Budget: 1000\r\n\
             Authorization: Bearer key\r\nPrefix-Hash: {prompt}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        assert!(
            head.len() <= 16_384,
            "the head is longer than clients may send: {}",
            head.len()
        );
        let body = "b".repeat(BODY_BYTES - unsent);
        let sending = || {
            let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(3))?;
            stream.write_all(head.as_bytes())?;
            stream.write_all(body.as_bytes())?;
            io::Result::Ok(stream)
        };
        if let Ok(stream) = sending() {
            open.push(stream);
        }
        thread::sleep(INTERVAL);
    }
    println!("{} connections opened", open.len());
    loop {
        thread::sleep(Duration::from_secs(600));
    }
}
