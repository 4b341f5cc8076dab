//! Silence of a stand-in: for a while it writes nothing, then goes on where it was.

use {
    crate::host::Body,
    futures_util::stream,
    http_body_util::{BodyExt as _, StreamBody},
    hyper::{Response, body::Body as _},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Until when a stand-in writes nothing. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silence {
    until: Arc<Mutex<Option<Instant>>>,
}

impl Silence {
    /// Begins a silence of that length.
    pub(crate) fn begin(&self, length: Duration) {
        *self.lock() = Some(Instant::now() + length);
    }

    /// Holds a response back, with each piece of its body and its end, until there is no silence.
    pub(crate) async fn hold(&self, response: Response<Body>) -> Response<Body> {
        self.end().await;
        if response.body().size_hint().exact().is_some() {
            return response;
        }
        let silence = self.clone();
        response.map(|body| {
            let pieces = stream::unfold((body, silence), |(mut body, silence)| async move {
                let piece = body.frame().await;
                silence.end().await;
                Some((piece?, (body, silence)))
            });
            StreamBody::new(pieces).boxed_unsync()
        })
    }

    /// Waits until there is no silence.
    async fn end(&self) {
        loop {
            let until = *self.lock();
            match until {
                Some(until) if until > Instant::now() => sleep_until(until).await,
                _ => return,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
