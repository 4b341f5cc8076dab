//! A TCP relay that counts the bytes it passes on.

use {
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        task::{JoinHandle, JoinSet},
    },
};

const BUFFER_BYTES: usize = 16 * 1024;

/// A running relay; it ends on drop. It is a task of the runtime that started it.
pub struct Relay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port is available.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&bytes)));
        Ok(Self {
            address,
            bytes,
            task,
        })
    }

    /// Address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes passed on so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    // Dropped with the task, which ends the connections too.
    let mut links = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        while links.try_join_next().is_some() {}
        links.spawn(link(client, target, Arc::clone(&bytes)));
    }
}

/// Relays one connection until both directions have ended or one is broken.
async fn link(client: TcpStream, target: SocketAddr, bytes: Arc<AtomicU64>) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::try_join!(
        pump(from_client, to_server, &bytes),
        pump(from_server, to_client, &bytes),
    )?;
    Ok(())
}

async fn pump(
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    bytes: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = source.read(&mut buffer).await?;
        if count == 0 {
            return sink.shutdown().await;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        sink.write_all(&buffer[..count]).await?;
    }
}
