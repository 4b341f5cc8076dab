//! Relays an event stream to the caller, and resumes it at another backend server when it breaks.

use {
    super::{Job, exchange::Exchange},
    crate::http::body,
    bytes::Bytes,
    futures_util::stream,
    gotham::{
        helpers::http::Body,
        hyper::{Response, body::Frame},
    },
    http_body_util::BodyExt as _,
    std::{io, time::Duration},
    tamarackdale_core::{
        dispatch::{SendFailure, Step},
        routing_config::RepeatPolicy,
        sse::{Batch, Splitter},
    },
    tokio::time::{Instant, timeout},
};

/// Time without an event after which a resumable stream is resumed at another backend server. About
/// half of the time after which callers give up.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for the first event of a resumable stream, in addition to twice the route's objective.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns a response that passes on the events as they arrive.
pub fn respond(job: Job, exchange: Exchange) -> Response<Body> {
    let parts = exchange.parts.clone();
    let relay = StreamRelay {
        job,
        exchange: Some(exchange),
        splitter: Splitter::new(),
        waiting_since: Instant::now(),
    };
    let events = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item.map(Frame::data), relay))
    });
    Response::from_parts(parts, body::stream(events))
}

struct StreamRelay {
    job: Job,
    /// `None` after the end of the stream.
    exchange: Option<Exchange>,
    splitter: Splitter,
    /// When the last event was passed on, or when the backend server began to respond.
    waiting_since: Instant,
}

/// Result of one read from the backend server's stream.
enum ReadResult {
    Bytes(Bytes),
    End,
    /// No event was completed in time.
    Stalled,
    /// The connection broke.
    Broken(String),
}

impl StreamRelay {
    /// Returns the next complete events, `None` at the end of the stream, or an error if the stream
    /// broke and cannot be resumed.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.read().await? {
                ReadResult::Bytes(bytes) => match self.splitter.push(&bytes) {
                    Ok(Some(batch)) => return Some(Ok(self.forward(batch))),
                    Ok(None) => {}
                    Err(error) => {
                        if let Some(failed) = self.resume(&error.to_string(), true).await {
                            return Some(failed);
                        }
                    }
                },
                ReadResult::End if self.splitter.is_inside_event() => {
                    let reason = "the last event is incomplete";
                    if let Some(failed) = self.resume_after_break(reason).await {
                        return Some(failed);
                    }
                }
                ReadResult::End if self.ended_with_nothing() => {
                    let reason = "the connection was closed before the first event";
                    if let Some(failed) = self.resume_after_break(reason).await {
                        return Some(failed);
                    }
                }
                ReadResult::End => {
                    self.finish();
                    return None;
                }
                ReadResult::Stalled => {
                    if let Some(failed) = self.resume("timed out waiting for an event", true).await
                    {
                        return Some(failed);
                    }
                }
                ReadResult::Broken(reason) => {
                    if let Some(failed) = self.resume_after_break(&reason).await {
                        return Some(failed);
                    }
                }
            }
        }
    }

    /// Whether a response that is only ended by its connection has ended without any event, as when
    /// its backend server crashes.
    fn ended_with_nothing(&self) -> bool {
        let exchange = self.exchange.as_ref();
        exchange.is_some_and(|exchange| !exchange.is_framed && !exchange.has_begun())
    }

    async fn read(&mut self) -> Option<ReadResult> {
        let limit = self.read_timeout();
        let exchange = self.exchange.as_mut()?;
        let result = match timeout(limit, exchange.body.frame()).await {
            Err(_) => ReadResult::Stalled,
            Ok(None) => ReadResult::End,
            Ok(Some(Err(error))) => ReadResult::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => ReadResult::Bytes(frame.into_data().unwrap_or_default()),
        };
        Some(result)
    }

    /// Timeout for the next read. It is counted from the last event and not from the last bytes: a
    /// stalled backend server may send a byte of an event now and then.
    fn read_timeout(&self) -> Duration {
        let left = self.job.time_left();
        let route = &self.job.request.route;
        let max_wait = match (route.repeat_policy, self.job.events) {
            (RepeatPolicy::ResumableStream, 0) => FIRST_EVENT_TIMEOUT + route.objective * 2,
            (RepeatPolicy::ResumableStream, _) => EVENT_TIMEOUT,
            _ => return left,
        };
        left.min(max_wait.saturating_sub(self.waiting_since.elapsed()))
    }

    fn forward(&mut self, batch: Batch) -> Bytes {
        self.job.last_event = batch.last_id.or(self.job.last_event);
        self.job.events += batch.count;
        self.waiting_since = Instant::now();
        if let Some(exchange) = &mut self.exchange {
            let is_first = exchange.in_flight.time_to_first_event().is_none();
            exchange.in_flight.record_first_event();
            if is_first && let Some(elapsed) = exchange.in_flight.time_to_first_event() {
                self.job.context.metrics.record_first_token(elapsed);
            }
        }
        batch.bytes.into()
    }

    /// Resumes the stream after its connection broke, unless the request is suspected to crash backend
    /// servers.
    async fn resume_after_break(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        let member = self.exchange.as_ref()?.member.clone();
        let may_resend = self.job.may_resend_after_break(&member).await;
        self.resume(reason, may_resend).await
    }

    /// Resumes the stream at another backend server after the last event that was passed on.
    /// Returns the error that closes the caller's connection if that is not possible, or if the request
    /// may not be sent again.
    async fn resume(&mut self, reason: &str, may_resend: bool) -> Option<io::Result<Bytes>> {
        let broken = self.exchange.take()?;
        let is_late = self.job.time_left().is_zero();
        if !is_late {
            broken.record_failure();
        }
        self.job.excluded.push(broken.in_flight.id().to_owned());
        log::warn!(
            request = self.job.request.head.id.as_str(),
            backend_server = broken.in_flight.id(),
            events = self.job.events,
            last_event:? = self.job.last_event,
            request_digest = format!("{:x}", self.job.request_digest()),
            prompt_parts = self.job.shared_parts();
            "stream broken: {reason}"
        );
        // Closes the connection before the request is sent again.
        drop(broken);
        self.splitter = Splitter::new();
        let step = self.job.dispatch.fail(SendFailure::Lost);
        if is_late || !may_resend || step != Step::Resend {
            return Some(self.abort());
        }
        match self.job.send_until_response().await {
            Ok(exchange) if exchange.is_stream() => {
                self.exchange = Some(exchange);
                self.waiting_since = Instant::now();
                None
            }
            Ok(_) | Err(_) => Some(self.abort()),
        }
    }

    fn abort(&mut self) -> io::Result<Bytes> {
        self.job.finish("broken", None);
        Err(io::Error::other("the stream from the backend server broke"))
    }

    fn finish(&mut self) {
        self.job.record_answer();
        let tokens = self.job.output_tokens();
        let in_flight = self.exchange.take().map(|exchange| exchange.finish(tokens));
        self.job.finish(super::ANSWERED, in_flight.as_ref());
    }
}
