//! A loopback port that is kept while nobody listens on it.

use {
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A reserved port; connections to it are refused unless there is a listener.
pub(crate) struct Port {
    address: SocketAddr,
    /// This socket never listens; it keeps the port from others.
    _reservation: TcpSocket,
}

impl Port {
    /// Reserves a free port.
    pub(crate) fn new() -> io::Result<Self> {
        let reservation = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self {
            address: reservation.local_addr()?,
            _reservation: reservation,
        })
    }

    /// Address of the port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port; needs the context of a runtime.
    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(BACKLOG)
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
