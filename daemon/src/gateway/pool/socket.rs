//! A TCP stream on which a response is read although the rest of the request cannot be written.

use {
    super::process::Liveness,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tamarackdale_store::http::interim,
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A TCP stream whose failure to write is reported at the end of what can be read.
///
/// A backend server may answer before it has read the whole request, and close the connection. hyper gives a
/// connection up at the first failure to write, and with it the response that has already arrived.
pub struct Socket {
    stream: TcpStream,
    write_error: Option<io::Error>,
    liveness: Arc<Liveness>,
    interim: interim::Meter,
}

impl Socket {
    /// Wraps a stream that is connected, and keeps `liveness` up to date. Reading fails once `interim` is
    /// exceeded.
    pub fn new(stream: TcpStream, liveness: Arc<Liveness>, interim: interim::Meter) -> Self {
        Self {
            stream,
            write_error: None,
            liveness,
            interim,
        }
    }

    /// Waits without end for a write that has failed; the end is that of reading.
    fn hold_error<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match written {
            Poll::Ready(Err(error)) => {
                self.write_error = Some(error);
                Poll::Pending
            }
            written => written,
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.liveness.set_awaiting(false);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interim.is_exceeded() {
            let reason = format!(
                "more than {} bytes of interim responses",
                interim::MAX_BYTES
            );
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        let length = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.liveness.set_awaiting(read.is_pending());
        ready!(read)?;
        let is_end = buffer.filled().len() == length && buffer.remaining() > 0;
        // The system reports a reset once. After that the end of the stream looks like a clean one.
        match self.write_error.take_if(|_| is_end) {
            Some(error) => Poll::Ready(Err(error)),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Pending;
        }
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.hold_error(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Pending;
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.hold_error(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
