//! Responses whose end is told by that of their connection.
//!
//! Callers of HTTP/1.0 know no chunks, so a response of unknown length that breaks off would look whole to
//! them. Their connection is reset unless the response came to its end.

use {
    hyper::{
        Version,
        body::{Body, Frame, SizeHint},
    },
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
    /// Whether an unframed response has begun and not come to its end.
    is_incomplete: Arc<AtomicBool>,
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
    pub fn observe<B>(&self, version: Version, body: B) -> Observed<B>
    where
        B: Body,
    {
        let has_length = body.size_hint().exact().is_some();
        let is_unframed = version < Version::HTTP_11 && !has_length;
        self.is_unframed.store(is_unframed, Ordering::Relaxed);
        Observed {
            body,
            is_unframed,
            guard: self.clone(),
        }
    }
}

/// The body of a response whose end its connection's guard awaits.
pub struct Observed<B> {
    body: B,
    is_unframed: bool,
    guard: Guard,
}

impl<B: Body + Unpin> Body for Observed<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let has_ended = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        let is_incomplete = self.is_unframed && !has_ended;
        self.guard
            .is_incomplete
            .store(is_incomplete, Ordering::Relaxed);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
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
        if self.guard.is_incomplete.load(Ordering::Relaxed) {
            let reason = "a response that only the end of the connection ends broke off";
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        self.set_reset(false)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
