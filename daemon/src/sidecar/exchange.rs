//! Exchange with the backend server: dispatches a request and relays the response.

pub mod event;
pub mod stream;

use {
    self::{event::Event, stream::StreamState},
    super::{
        backend_server::BackendServer, budget::Share, dispatch::Command, response_buffer::Chunk,
    },
    crate::{
        channel::BoundedSender,
        clock::Clock,
        http::body::{self, is_event_stream},
    },
    bytes::Bytes,
    futures_util::StreamExt as _,
    http_body_util::BodyExt as _,
    hyper::{Response, body::Incoming},
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_wire::{frame::Header, message::Enqueue},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Silence of a backend server after which the rest of an event stream is sought on another connection;
/// the silent one may still go on.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of failed connections in a row, without a new event between them, after which the
/// response fails.
const MAX_FAILED_CONNECTIONS: u32 = 5;

/// Pause before the next connection.
const RESUME_BACKOFF: Duration = Duration::from_millis(200);

/// Pause before the rest is sought again while a silent connection may still go on. The backend server
/// may refuse at once, and for as long as it is silent.
const SEARCH_BACKOFF: Duration = Duration::from_secs(1);

/// Shortest time for which the rest is sought before a silent connection is given up, also after the
/// request's deadline; as long as [`MAX_FAILED_CONNECTIONS`] attempts to resume take.
const MIN_SEARCH_TIME: Duration = Duration::from_secs(11);

/// Runs one request at the backend server and forwards the response as events.
pub struct Exchange {
    /// The backend server.
    pub backend_server: Arc<BackendServer>,
    /// The request.
    pub request: Arc<Enqueue>,
    /// The process's clock.
    pub clock: Clock,
    /// The request's deadline.
    pub deadline: Timestamp,
    /// Memory for the response.
    pub share: Share,
    /// Channel to the attempt's task.
    pub events: mpsc::Sender<Event>,
    /// Channel to the dispatch worker.
    pub dispatch: BoundedSender<Command>,
    /// Cancelled when the response is no longer needed.
    pub cancelled: CancellationToken,
    /// Cancelled when the sidecar shuts down.
    pub closing: CancellationToken,
}

/// The receiver of the events has been dropped.
struct ReceiverClosed;

/// How a connection ended.
enum ConnectionEnd {
    /// The final event has arrived.
    Completed,
    /// The connection closed or failed before the final event.
    Broken,
    /// The connection was silent, and this response to another one has the rest.
    Resumed(Response<Incoming>),
    /// The connection was silent until the request's time was over, and the rest was not to be had on
    /// another one.
    GivenUp,
}

impl Exchange {
    /// Sends the request and relays the response until it ends, fails or is cancelled.
    pub async fn run(self) {
        let mut state = StreamState::new();
        let cancelled = self.cancelled.clone();
        tokio::select! {
            biased;
            // An error means that the receiver is gone, so there is nobody to report it to.
            _ = self.relay(&mut state) => {}
            () = cancelled.cancelled() => self.cancel(&state).await,
            // The task has ended, at the end of the shutdown; nobody waits for the response.
            () = self.events.closed() => {}
        }
    }

    async fn relay(&self, state: &mut StreamState) -> Result<(), ReceiverClosed> {
        let response = match self.backend_server.send(&self.request).await {
            Ok(response) => response,
            Err(failure) => {
                if failure.verdict == Verdict::MayHaveRun {
                    self.report_if_crashed().await;
                }
                return self.fail(failure).await;
            }
        };
        self.send_head(&response).await?;
        if is_event_stream(response.headers()) {
            return self.relay_events(response, state).await;
        }
        self.relay_bytes(response).await
    }

    async fn send_head(&self, response: &Response<Incoming>) -> Result<(), ReceiverClosed> {
        let head = Event::Head {
            status: response.status().as_u16(),
            headers: end_to_end_headers(response.headers()),
        };
        self.emit(head).await
    }

    async fn relay_bytes(&self, response: Response<Incoming>) -> Result<(), ReceiverClosed> {
        let is_framed = body::is_framed(&response);
        let mut data = response.into_body().into_data_stream();
        while let Some(item) = data.next().await {
            match item {
                Ok(bytes) => self.emit_chunk(bytes, 0).await?,
                Err(error) => {
                    log::warn!("response of the backend server was interrupted: {error}");
                    self.report_if_crashed().await;
                    return self
                        .fail(Failure::may_have_run(Reason::BackendServer))
                        .await;
                }
            }
        }
        // Only the end of the connection tells that of the response, and it may be that of the process. A
        // backend server may stop after a whole response when its sidecar does.
        let may_be_cut = !is_framed && !self.closing.is_cancelled();
        if may_be_cut && self.backend_server.has_ended().await {
            log::warn!("response of the backend server was cut: the backend server has ended");
            self.report_if_crashed().await;
            return self
                .fail(Failure::may_have_run(Reason::BackendServer))
                .await;
        }
        self.emit(Event::End).await
    }

    async fn relay_events(
        &self,
        response: Response<Incoming>,
        state: &mut StreamState,
    ) -> Result<(), ReceiverClosed> {
        let mut response = Some(response);
        let mut failures = 0;
        while failures < MAX_FAILED_CONNECTIONS {
            if let Some(connection) = response.take() {
                let previous = state.last_sequence();
                let end = self.relay_connection(connection, state).await?;
                if state.last_sequence() != previous {
                    failures = 0;
                }
                match end {
                    ConnectionEnd::Completed => return self.emit(Event::End).await,
                    ConnectionEnd::Resumed(other) => {
                        // Silence is no failure while the request has time.
                        if self.time_left().is_zero() {
                            failures += 1;
                        }
                        response = Some(other);
                        continue;
                    }
                    ConnectionEnd::Broken => self.report_if_crashed().await,
                    ConnectionEnd::GivenUp => {
                        self.report_if_crashed().await;
                        break;
                    }
                }
            }
            failures += 1;
            let Some(id) = state.response_id() else {
                break;
            };
            log::info!(
                response = id,
                after = state.last_sequence();
                "resuming the response at the backend server"
            );
            sleep(RESUME_BACKOFF).await;
            response = self.backend_server.resume(id, state.last_sequence()).await;
        }
        self.fail(Failure::may_have_run(Reason::BackendServer))
            .await
    }

    async fn relay_connection(
        &self,
        response: Response<Incoming>,
        state: &mut StreamState,
    ) -> Result<ConnectionEnd, ReceiverClosed> {
        let mut events = stream::events(response.into_body());
        loop {
            let limit = state.idle_timeout(IDLE_TIMEOUT);
            let next = match timeout(limit, events.next()).await {
                Ok(next) => next,
                Err(_) => tokio::select! {
                    biased;
                    next = events.next() => next,
                    other = self.find_rest(state) => return Ok(ConnectionEnd::Resumed(other)),
                    () = sleep(self.time_left().max(MIN_SEARCH_TIME)) => {
                        log::warn!(
                            response = state.response_id(),
                            after = state.last_sequence();
                            "backend server silent until the request's time was over"
                        );
                        return Ok(ConnectionEnd::GivenUp);
                    }
                },
            };
            let Some(Ok(event)) = next else {
                return Ok(match state.is_completed() {
                    true => ConnectionEnd::Completed,
                    false => ConnectionEnd::Broken,
                });
            };
            let forwarded = match state.accept(event) {
                Ok(Some(forwarded)) => forwarded,
                Ok(None) => continue,
                Err(foreign) => {
                    log::warn!(
                        response = state.response_id(),
                        after = state.last_sequence();
                        "response of the backend server is broken: {foreign}"
                    );
                    return Ok(ConnectionEnd::Broken);
                }
            };
            self.emit_chunk(forwarded.bytes, forwarded.tokens).await?;
            if state.is_completed() {
                return Ok(ConnectionEnd::Completed);
            }
        }
    }

    /// Seeks the rest of a response, whose connection is silent, on another one. Never returns while
    /// it is not to be had there.
    async fn find_rest(&self, state: &StreamState) -> Response<Incoming> {
        let after = state.last_sequence();
        let Some(id) = state.response_id() else {
            log::info!(
                after = after;
                "backend server silent, waiting: the response cannot be resumed without an identifier"
            );
            return std::future::pending().await;
        };
        log::info!(
            response = id,
            after = after;
            "backend server silent, seeking the rest on another connection"
        );
        loop {
            match self.backend_server.resume(id, after).await {
                Some(response) if is_event_stream(response.headers()) => return response,
                Some(_) | None => sleep(SEARCH_BACKOFF).await,
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(self.clock.now())
    }

    /// After a connection broke: tells the dispatch worker if the backend server has crashed, and the
    /// request was lost with it.
    async fn report_if_crashed(&self) {
        if self.backend_server.is_reachable().await {
            return;
        }
        let request_digest = self.request.request_digest();
        log::warn!(
            attempt:% = tamarackdale_core::id::Attempt::from(self.request.attempt),
            request_digest = format!("{request_digest:x}");
            "request lost at a crash"
        );
        let lost = Command::LostAtCrash { request_digest };
        if self.dispatch.send(lost).is_err() {
            log::warn!("crash not reported: the dispatch worker's queue is full");
        }
    }

    async fn cancel(&self, state: &StreamState) {
        if let Some(id) = state.response_id() {
            self.backend_server.cancel(id).await;
        }
        // If the receiver is gone, the failure is not needed.
        let _ = self.fail(Failure::may_have_run(Reason::Cancelled)).await;
    }

    async fn emit_chunk(&self, bytes: Bytes, tokens: u32) -> Result<(), ReceiverClosed> {
        let reservation = self.share.reserve(bytes.len()).await;
        let chunk = Chunk { bytes, reservation };
        self.emit(Event::Chunk { chunk, tokens }).await
    }

    async fn fail(&self, failure: Failure) -> Result<(), ReceiverClosed> {
        self.emit(Event::Failed(failure)).await
    }

    async fn emit(&self, event: Event) -> Result<(), ReceiverClosed> {
        self.events.send(event).await.map_err(|_| ReceiverClosed)
    }
}

/// Headers to forward: all but the hop-by-hop ones.
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

/// Whether a header applies only to one connection, or is set anew on the next.
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
