//! Responses whose end is told by that of their connection.
//!
//! Callers of HTTP/1.0 know no chunks, so a response of unknown length that breaks off would look whole to
//! them. Their connection is reset unless the response came to its end.

use {
    http_body_util::BodyExt as _,
    hyper::{Version, body::Body},
    socket2::SockRef,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Tells the stream of a connection of the responses on it. Clones share it.
#[derive(Clone, Default)]
pub struct Guard {
    /// Whether the last response is unframed.
    is_unframed: Arc<AtomicBool>,
    /// Whether an unframed response broke off.
    is_broken: Arc<AtomicBool>,
}

impl Guard {
    /// Creates the guard of a connection without a response.
    pub fn new() -> Self {
        Self::default()
    }

    /// Guards `stream`, the connection's.
    pub fn watch(&self, stream: TcpStream) -> Guarded {
        Guarded {
            stream,
            guard: self.clone(),
            resets: false,
        }
    }

    /// Observes the body of the next response, to a request of this version.
    pub fn observe<B>(
        &self,
        version: Version,
        body: B,
    ) -> impl Body<Data = B::Data, Error = B::Error> + use<B>
    where
        B: Body,
    {
        let has_length = body.size_hint().exact().is_some();
        let is_unframed = version < Version::HTTP_11 && !has_length;
        self.is_unframed.store(is_unframed, Ordering::Relaxed);
        let is_broken = Arc::clone(&self.is_broken);
        body.map_err(move |error| {
            is_broken.store(is_unframed, Ordering::Relaxed);
            error
        })
    }
}

/// The stream of a connection. From the first byte of an unframed response until the stream is shut down,
/// any end of it, also that of the process, resets the connection.
pub struct Guarded {
    stream: TcpStream,
    guard: Guard,
    /// Whether closing the socket resets the connection.
    resets: bool,
}

impl Guarded {
    fn set_reset(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            let linger = resets.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.resets = resets;
        }
        Ok(())
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        match self.guard.is_unframed.load(Ordering::Relaxed) {
            true => self.set_reset(true),
            false => Ok(()),
        }
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.guard.is_broken.load(Ordering::Relaxed) {
            let reason = "a response that only the end of the connection ends broke off";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        self.set_reset(false)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
