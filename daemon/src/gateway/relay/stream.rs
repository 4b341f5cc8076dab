//! Passes on a stream of events.

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
        directory::Repetition,
        dispatch::{Setback, Step},
        event::{Batch, Splitter},
    },
    tokio::time::timeout,
};

/// Silence between two events after which a stream that can be continued is continued elsewhere:
/// about half of what callers put up with.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time to the first event of a stream that can be continued, beside its objective.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Answers with the events as they come.
pub fn respond(job: Job, exchange: Exchange) -> Response<Body> {
    let parts = exchange.parts.clone();
    let relay = Relay {
        job,
        exchange: Some(exchange),
        splitter: Splitter::new(),
    };
    let events = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item.map(Frame::data), relay))
    });
    Response::from_parts(parts, body::stream(events))
}

struct Relay {
    job: Job,
    /// None after the end.
    exchange: Option<Exchange>,
    splitter: Splitter,
}

/// What came of the backend server's stream.
enum Piece {
    Bytes(Bytes),
    End,
    Broken(String),
}

impl Relay {
    /// The next whole events, nothing at the end of the stream, an error where it broke.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.read().await? {
                Piece::Bytes(bytes) => {
                    if let Some(batch) = self.splitter.push(&bytes) {
                        return Some(Ok(self.pass(batch)));
                    }
                }
                Piece::End if self.splitter.is_inside_event() => {
                    if let Some(failed) = self.resume("the last event was cut").await {
                        return Some(failed);
                    }
                }
                Piece::End => {
                    self.finish();
                    return None;
                }
                Piece::Broken(reason) => {
                    if let Some(failed) = self.resume(&reason).await {
                        return Some(failed);
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Option<Piece> {
        let limit = self.limit();
        let exchange = self.exchange.as_mut()?;
        let piece = match timeout(limit, exchange.body.frame()).await {
            Err(_) => Piece::Broken("no event in time".to_owned()),
            Ok(None) => Piece::End,
            Ok(Some(Err(error))) => Piece::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => Piece::Bytes(frame.into_data().unwrap_or_default()),
        };
        Some(piece)
    }

    /// How long the next piece may take.
    fn limit(&self) -> Duration {
        let left = self.job.time_left();
        let route = &self.job.request.route;
        match (route.repetition, self.job.events) {
            (Repetition::ResumableStream, 0) => left.min(FIRST_EVENT_TIMEOUT + route.objective * 2),
            (Repetition::ResumableStream, _) => left.min(EVENT_TIMEOUT),
            _ => left,
        }
    }

    fn pass(&mut self, batch: Batch) -> Bytes {
        self.job.last_event = batch.last_id.or(self.job.last_event);
        self.job.events += batch.count;
        if let Some(exchange) = &mut self.exchange {
            let is_first = exchange.in_flight.first().is_none();
            exchange.in_flight.begin();
            if is_first && let Some(first) = exchange.in_flight.first() {
                self.job.context.metrics.record_first_token(first);
            }
        }
        batch.bytes.into()
    }

    /// Goes on at another backend server after the last event that was passed on; gives the error
    /// that breaks the caller's connection if that cannot be.
    async fn resume(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        let broken = self.exchange.take()?;
        let is_late = self.job.time_left().is_zero();
        if !is_late {
            broken.fail();
        }
        self.job.excluded.push(broken.in_flight.id().to_owned());
        log::warn!(
            request = self.job.request.head.id.as_str(),
            backend_server = broken.in_flight.id(),
            events = self.job.events,
            last_event:? = self.job.last_event;
            "stream broken: {reason}"
        );
        // Closed before another run begins.
        drop(broken);
        self.splitter = Splitter::new();
        if is_late || self.job.dispatch.fail(Setback::Lost) != Step::Resend {
            return Some(self.break_off());
        }
        match self.job.attempt().await {
            Ok(exchange) if exchange.is_stream() => {
                self.exchange = Some(exchange);
                None
            }
            Ok(_) | Err(_) => Some(self.break_off()),
        }
    }

    fn break_off(&mut self) -> io::Result<Bytes> {
        self.job.finish("broken", None);
        Err(io::Error::other("the stream broke"))
    }

    fn finish(&mut self) {
        let tokens = self.job.output_tokens();
        let in_flight = self.exchange.take().map(|exchange| exchange.finish(tokens));
        self.job.finish(super::ANSWERED, in_flight.as_ref());
    }
}
