//! Bodies of requests, and what their handlers leave unread.
//!
//! A connection that is closed while its peer still sends is reset, and the peer's system then drops
//! an answer that has not been read. So the server reads on (RFC 9112, section 9.6).

use {
    super::activity::{Activity, reclaimed_when_quiet},
    bytes::Bytes,
    http_body_util::BodyExt as _,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::{Notify, mpsc},
        time::timeout,
    },
};

/// Time for which the rest of a body is discarded, from the answer on. As long as the gateway waits
/// for a body that it reads.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest rest that is discarded, in bytes: eight times the default limit of the platform for a body.
pub const MAX_DISCARDED_BYTES: u64 = 32 * 1024 * 1024;

/// The body of a request. What remains when it is dropped stays in [`Unread`].
pub struct RequestBody {
    /// `None` once the body has ended.
    body: Option<Incoming>,
    unread: Unread,
    activity: Activity,
}

/// What a handler has left unread of a request's body.
#[derive(Clone, Default)]
pub struct Unread {
    body: Arc<Mutex<Option<Incoming>>>,
}

impl RequestBody {
    /// Wraps the body of a request on the connection of `activity`.
    pub fn new(body: Incoming, activity: Activity) -> Self {
        Self {
            body: Some(body),
            unread: Unread::default(),
            activity,
        }
    }

    /// Where its rest is put when it is dropped.
    pub fn unread(&self) -> Unread {
        self.unread.clone()
    }
}

impl Unread {
    /// Takes the rest of the body, if there is one.
    pub fn take(&self) -> Option<Incoming> {
        let mut body = self.body.lock().unwrap_or_else(PoisonError::into_inner);
        body.take()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(body).poll_frame(context);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.body = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref();
        body.map_or(SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let Some(body) = self.body.take().filter(|body| !body.is_end_stream()) else {
            return;
        };
        self.activity.record_unread_body();
        let mut unread = self.unread.body.lock();
        *unread
            .as_deref_mut()
            .unwrap_or_else(|poisoned| poisoned.get_mut()) = Some(body);
    }
}

/// Reads the rests of the bodies of numbered requests, whose lengths are known, to their ends, so that the
/// connection can be used for the next request. One that is too slow, or quiet while the connection is to
/// make room, is dropped, whereupon the connection ends after the answer. Never returns.
pub async fn discard_all(
    name: &'static str,
    peer: SocketAddr,
    activity: Activity,
    reclaim: Arc<Notify>,
    mut rests: mpsc::UnboundedReceiver<(u64, Incoming)>,
) {
    while let Some((request, mut rest)) = rests.recv().await {
        let mut bytes = 0;
        let discarded = timeout(
            DISCARD_TIMEOUT,
            discard(&mut rest, &mut bytes, &activity, &reclaim),
        )
        .await;
        let is_whole = discarded.unwrap_or(false);
        activity.end_discard(request, is_whole);
        log::info!(
            listener = name,
            peer:% = peer,
            bytes,
            is_whole;
            "rest of a request's body discarded after the answer"
        );
    }
    std::future::pending().await
}

/// Reads a rest of known length and counts its bytes. Returns whether it came to its end.
async fn discard(
    rest: &mut Incoming,
    bytes: &mut u64,
    activity: &Activity,
    reclaim: &Notify,
) -> bool {
    // After the answer, hyper tells the end only once the next request has begun.
    while !rest.is_end_stream() {
        let frame = tokio::select! {
            biased;
            frame = rest.frame() => frame,
            () = reclaimed_when_quiet(reclaim) => {
                // Not to be waited for once more when the connection is closed.
                activity.record_reclaimed();
                return false;
            }
        };
        let Some(Ok(frame)) = frame else {
            return false;
        };
        *bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    true
}
