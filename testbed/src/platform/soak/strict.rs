//! A caller that sends its body in pieces, and takes a write that fails for the end of its request.

use {
    crate::platform::Try,
    hyper::Response,
    std::{io, net::SocketAddr, time::Duration, time::Instant},
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Pieces of a body, below the limit of the configuration together.
const PIECES: usize = 8;

const PIECE_BYTES: usize = 6_000;

/// Pause between two pieces.
const PAUSE: Duration = Duration::from_millis(8);

/// Longest time for an answer: twice the time that requests have.
const READ_LIMIT: Duration = Duration::from_secs(6);

/// Sends a request and reads its answer. `None` if the gateway does not accept the connection.
pub(super) async fn call(gateway: SocketAddr, path: &str, key: &str, id: &str) -> Option<Try> {
    let mut stream = TcpStream::connect(gateway).await.ok()?;
    let mut attempt = Try::new(id.to_owned(), gateway);
    let message = async {
        send(&mut stream, path, key, id).await?;
        let mut message = Vec::new();
        stream.read_to_end(&mut message).await?;
        io::Result::Ok(message)
    };
    let message = timeout(READ_LIMIT, message).await;
    attempt.ended_at = Some(Instant::now());
    if let Ok(Ok(message)) = message {
        read(&mut attempt, &message);
    }
    Some(attempt)
}

async fn send(stream: &mut TcpStream, path: &str, key: &str, id: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let length = PIECES * PIECE_BYTES;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nattempt-id: {id}\r\ntime-budget: 3000\r\n\
         authorization: Bearer {key}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..PIECES {
        stream.write_all(&[b'x'; PIECE_BYTES]).await?;
        sleep(PAUSE).await;
    }
    Ok(())
}

/// Takes the answer from the bytes of a connection; one without a whole head is none.
fn read(attempt: &mut Try, message: &[u8]) -> Option<()> {
    let text = String::from_utf8_lossy(message);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status: u16 = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let pairs = lines.filter_map(|line| line.split_once(": "));
    let builder = Response::builder().status(status);
    let builder = pairs.fold(builder, |builder, (name, value)| {
        builder.header(name, value)
    });
    attempt.head = Some(builder.body(()).ok()?.into_parts().0);
    attempt.body = body.as_bytes().to_vec();
    attempt.is_whole = attempt.header("content-length").parse() == Ok(body.len());
    Some(())
}
