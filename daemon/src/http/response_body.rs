//! Bodies of responses that break off.
//!
//! When a body ends with an error, `hyper` drops what it has not written yet, which may be the whole
//! response so far. A panic would end the connection in the same way, without a trace of its request.

use {
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io,
        panic::{AssertUnwindSafe, catch_unwind},
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Body of the response to a request. Its error, or panic, is told one poll later, so that the connection can
/// write what came before; a peer whose socket is full may lose that.
pub struct ResponseBody<B> {
    /// `None` after a panic.
    body: Option<B>,
    error: Option<io::Error>,
    listener: &'static str,
    path: String,
}

impl<B> ResponseBody<B> {
    /// Wraps the body of the response to a request to this path.
    pub fn new(listener: &'static str, path: String, body: B) -> Self {
        Self {
            body: Some(body),
            error: None,
            listener,
            path,
        }
    }
}

impl<B> ResponseBody<B>
where
    B: Body<Error = io::Error> + Unpin,
{
    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, io::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let polled = catch_unwind(AssertUnwindSafe(|| Pin::new(body).poll_frame(context)));
        polled.unwrap_or_else(|_| {
            log::error!(
                listener = self.listener,
                path = self.path.as_str();
                "panic in the body of a response"
            );
            self.body = None;
            Poll::Ready(Some(Err(io::Error::other("panic"))))
        })
    }
}

impl<B> Body for ResponseBody<B>
where
    B: Body<Error = io::Error> + Unpin,
{
    type Data = B::Data;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, io::Error>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match self.poll_body(context) {
            Poll::Ready(Some(Err(error))) => {
                // The connection writes what it has before it polls again.
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        let body = self.body.as_ref();
        self.error.is_none() && body.is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref();
        body.map_or_else(SizeHint::default, Body::size_hint)
    }
}
