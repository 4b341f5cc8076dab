//! One exchange with the backend server: the dispatch itself.

pub mod event;
pub mod stream;

use {
    self::{
        event::Event,
        stream::{Ended, Progress},
    },
    super::{backend_server::BackendServer, response_buffer::Chunk},
    crate::http::body::is_event_stream,
    bytes::Bytes,
    futures_util::StreamExt as _,
    http_body_util::BodyExt as _,
    hyper::{Response, body::Incoming},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::failure::{Failure, Reason},
    tamarackdale_wire::{frame::Header, message::Enqueue},
    tokio::{
        sync::{Semaphore, mpsc},
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Silence of a backend server after which the connection is taken for dead, where another
/// connection can continue the answer.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Connections tried in a row, without progress between them, before an answer is given up.
const MAX_RESUMES: u32 = 5;

/// Pause before another connection is tried.
const RESUME_BACKOFF: Duration = Duration::from_millis(200);

/// Runs one request at the backend server and sends what comes back.
pub struct Exchange {
    /// The backend server.
    pub backend_server: Arc<BackendServer>,
    /// The request.
    pub order: Arc<Enqueue>,
    /// Budget for kept answers, in bytes.
    pub budget: Arc<Semaphore>,
    /// Bytes that the whole budget holds.
    pub budget_bytes: usize,
    /// Where the events go.
    pub events: mpsc::Sender<Event>,
    /// Set when nobody wants the answer any more.
    pub cancelled: CancellationToken,
}

/// The receiver of the events has gone.
struct Unwanted;

impl Exchange {
    /// Sends the request and relays the answer until it ends, fails or is cancelled.
    pub async fn run(self) {
        let mut progress = Progress::new();
        let cancelled = self.cancelled.clone();
        tokio::select! {
            // The receiver is gone, so nobody is left to tell.
            _ = self.relay(&mut progress) => {}
            () = cancelled.cancelled() => self.cancel(&progress).await,
        }
    }

    async fn relay(&self, progress: &mut Progress) -> Result<(), Unwanted> {
        let response = match self.backend_server.send(&self.order).await {
            Ok(response) => response,
            Err(failure) => return self.fail(failure).await,
        };
        self.send_head(&response).await?;
        if is_event_stream(response.headers()) {
            return self.relay_events(response, progress).await;
        }
        self.relay_bytes(response).await
    }

    async fn send_head(&self, response: &Response<Incoming>) -> Result<(), Unwanted> {
        let head = Event::Head {
            status: response.status().as_u16(),
            headers: end_to_end_headers(response.headers()),
        };
        self.emit(head).await
    }

    async fn relay_bytes(&self, response: Response<Incoming>) -> Result<(), Unwanted> {
        let mut data = response.into_body().into_data_stream();
        while let Some(item) = data.next().await {
            match item {
                Ok(bytes) => self.emit_chunk(bytes, 0).await?,
                Err(error) => {
                    log::warn!("backend server broke off its answer: {error}");
                    return self
                        .fail(Failure::may_have_run(Reason::BackendServer))
                        .await;
                }
            }
        }
        self.emit(Event::End).await
    }

    async fn relay_events(
        &self,
        response: Response<Incoming>,
        progress: &mut Progress,
    ) -> Result<(), Unwanted> {
        let mut response = Some(response);
        let mut failures = 0;
        while failures < MAX_RESUMES {
            if let Some(response) = response.take() {
                let known = progress.last_sequence();
                match self.relay_connection(response, progress).await? {
                    Ended::Completed => return self.emit(Event::End).await,
                    Ended::Broken => {}
                }
                if progress.last_sequence() != known {
                    failures = 0;
                }
            }
            failures += 1;
            let Some(id) = progress.response_id() else {
                break;
            };
            log::info!(response = id, after = progress.last_sequence(); "resuming at the backend server");
            tokio::time::sleep(RESUME_BACKOFF).await;
            response = self
                .backend_server
                .resume(id, progress.last_sequence())
                .await;
        }
        self.fail(Failure::may_have_run(Reason::BackendServer))
            .await
    }

    async fn relay_connection(
        &self,
        response: Response<Incoming>,
        progress: &mut Progress,
    ) -> Result<Ended, Unwanted> {
        let mut events = stream::events(response.into_body());
        loop {
            let limit = progress.silence_limit(SILENCE_LIMIT);
            let Ok(next) = timeout(limit, events.next()).await else {
                return Ok(Ended::Broken);
            };
            let Some(Ok(event)) = next else {
                return Ok(progress.ended());
            };
            let Some(item) = progress.take(event) else {
                continue;
            };
            self.emit_chunk(item.bytes, item.tokens).await?;
            if progress.is_completed() {
                return Ok(Ended::Completed);
            }
        }
    }

    async fn cancel(&self, progress: &Progress) {
        if let Some(id) = progress.response_id() {
            self.backend_server.cancel(id).await;
        }
        // A receiver that has gone needs no failure.
        let _ = self.fail(Failure::may_have_run(Reason::Cancelled)).await;
    }

    async fn emit_chunk(&self, bytes: Bytes, tokens: u32) -> Result<(), Unwanted> {
        let share = bytes.len().min(self.budget_bytes);
        let share = u32::try_from(share).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.budget)
            .acquire_many_owned(share)
            .await
            .map_err(|_| Unwanted)?;
        let chunk = Chunk { bytes, permit };
        self.emit(Event::Chunk { chunk, tokens }).await
    }

    async fn fail(&self, failure: Failure) -> Result<(), Unwanted> {
        self.emit(Event::Failed(failure)).await
    }

    async fn emit(&self, event: Event) -> Result<(), Unwanted> {
        self.events.send(event).await.map_err(|_| Unwanted)
    }
}

/// Headers that concern the answer and not the connection.
fn end_to_end_headers(headers: &hyper::HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Whether a header concerns one connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "host"
    )
}
