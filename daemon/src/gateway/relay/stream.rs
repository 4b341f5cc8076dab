//! Relays an event stream to the caller, and resumes it at another backend server when it breaks.

use {
    super::{
        Cause, Job,
        exchange::{Exchange, ExchangeError, Sent},
        takeover,
    },
    crate::{gateway::pool::SendResult, http::body},
    bytes::Bytes,
    derive_more::Display,
    futures_util::{StreamExt as _, stream},
    gotham::{
        helpers::http::Body,
        hyper::{Response, body::Frame, http::response::Parts},
    },
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    std::{io, time::Duration},
    tamarackdale_core::{
        dispatch::{SendFailure, Step},
        fleet::Member,
        sse::{Batch, Numbering, Splitter},
    },
    tamarackdale_platform::response,
    tokio::time::{Instant, sleep, timeout},
};

/// Time without an event after which another backend server is sought for a resumable stream. About
/// half of the time after which callers give up.
const EVENT_PATIENCE: Duration = Duration::from_millis(1_000);

/// The same before the first event, in addition to twice the route's objective.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1_000);

/// Time without an event for which a stream that broke waits for what it lacks to go on: a slot, a retry in
/// the budget, a confirmed configuration. After that its caller still has time to take it up.
const RESUME_PATIENCE: Duration = Duration::from_millis(1_500);

/// Time after which a silent backend server is left although the next one has not responded: the platform
/// allows two to run a stream for 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Returns a response that passes on the events as they arrive.
///
/// The head waits for the first event: until then a stream that cannot go on anywhere is still answered
/// with the reason.
pub async fn respond(job: Job, exchange: Exchange) -> Response<Body> {
    let numbering = match job.stream {
        Some(_) => Numbering::Above(job.last_event),
        None => Numbering::Undecided,
    };
    let mut relay = StreamRelay {
        parts: exchange.parts.clone(),
        job,
        exchange: Some(exchange),
        splitter: Splitter::new(numbering).with_extra_field(response::VERSION_FIELD),
        waiting_since: Instant::now(),
        may_move: true,
    };
    let first = match relay.next().await.transpose() {
        Ok(first) => first,
        Err(reason) => return relay.refuse(reason),
    };
    let parts = relay.parts.clone();
    let first = stream::iter(first.map(|events| Ok(Frame::data(events))));
    let rest = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        let item = item.map_err(|reason| relay.abort(reason));
        Some((item.map(Frame::data), relay))
    });
    Response::from_parts(parts, body::stream(first.chain(rest)))
}

struct StreamRelay {
    job: Job,
    /// Head of the first response that brought an event, or else of the last one.
    parts: Parts,
    /// `None` after the end of the stream, and between two backend servers.
    exchange: Option<Exchange>,
    splitter: Splitter,
    /// When the last event was passed on, or when the backend server began to respond.
    waiting_since: Instant,
    /// Whether the stream may move to another backend server while its own is silent.
    may_move: bool,
}

/// What came next of the stream.
enum Progress {
    /// Complete events.
    Events(Batch),
    /// The end of the body.
    End,
    /// Bytes that do not go on with the stream.
    Invalid(String),
    /// The connection broke.
    Broken(String),
    /// No event was completed for so long that another backend server is sought.
    Silent,
    /// Another backend server has taken the stream over.
    Moved,
    /// This backend server was to take the stream over and has failed.
    NotTaken(Member, SendFailure),
    /// The time that the caller or the route allows is over.
    TimedOut,
}

/// Why a stream ends before its last event.
#[derive(Clone, Copy, Debug, Display)]
enum EndReason {
    #[display("its time is over")]
    TimedOut,
    #[display("the request may not be sent again")]
    NoAttemptLeft,
    #[display("the request is suspected to crash backend servers")]
    Suspected,
    #[display("the shutdown ends what is in progress")]
    Shutdown,
    #[display("no backend server could take it: {_0}")]
    NotPlaced(Cause),
}

impl StreamRelay {
    /// Returns the next complete events, `None` at the end of the stream, or the reason for which the stream
    /// broke and cannot be resumed or was ended.
    async fn next(&mut self) -> Option<Result<Bytes, EndReason>> {
        let ending = self.job.context.shutdown.ending.clone();
        tokio::select! {
            biased;
            next = self.next_events() => next,
            () = ending.cancelled() => Some(Err(EndReason::Shutdown)),
        }
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, EndReason>> {
        loop {
            let result = match self.read().await? {
                Progress::Silent => self.read_or_move().await?,
                result => result,
            };
            // Why the stream ends, or `None` to read on.
            let end_reason = match result {
                Progress::Events(batch) => return Some(Ok(self.forward(batch).await)),
                Progress::End => match self.incompleteness().await {
                    Some(reason) => self.resume_after_break(reason).await,
                    None => {
                        self.finish();
                        return None;
                    }
                },
                Progress::Invalid(reason) => self.resume(&reason, true).await,
                Progress::Broken(reason) => self.resume_after_break(&reason).await,
                Progress::TimedOut => {
                    self.record_silence();
                    Some(EndReason::TimedOut)
                }
                Progress::NotTaken(next, failure) => self.recover(next, failure).await,
                Progress::Moved | Progress::Silent => None,
            };
            if let Some(end_reason) = end_reason {
                return Some(Err(end_reason));
            }
        }
    }

    /// Why the end of the response is not that of the stream, if it is not.
    async fn incompleteness(&self) -> Option<&'static str> {
        let exchange = self.exchange.as_ref()?;
        exchange.incompleteness(&self.splitter).await
    }

    async fn read(&mut self) -> Option<Progress> {
        let time_left = self.job.time_left();
        let patience = self.patience().filter(|patience| *patience < time_left);
        let body = &mut self.exchange.as_mut()?.body;
        let reading = read_events(body, &mut self.splitter, time_left);
        let result = match patience {
            Some(patience) => timeout(patience, reading).await,
            None => Ok(reading.await),
        };
        Some(result.unwrap_or(Progress::Silent))
    }

    /// Time for which the backend server may stay silent before another one is sought, or `None` if the
    /// stream cannot go on elsewhere. It is counted from the last event and not from the last bytes: a
    /// stalled backend server may send a byte of an event now and then.
    fn patience(&self) -> Option<Duration> {
        if !self.may_move || !self.job.dispatch.may_send_again() {
            return None;
        }
        let max_wait = match self.job.events {
            0 => self.first_event_patience(),
            _ => EVENT_PATIENCE,
        };
        Some(max_wait.saturating_sub(self.waiting_since.elapsed()))
    }

    /// Seeks another backend server for the stream while the silent one may still go on, and gives that
    /// up only when the other one responds, or has not responded for so long that both might run.
    async fn read_or_move(&mut self) -> Option<Progress> {
        let time_left = self.job.time_left();
        let silent = self.exchange.as_mut()?;
        let member = silent.member.clone();
        log::info!(
            request = self.job.request.head.id.as_str(),
            backend_server = member.id.as_str(),
            events = self.job.events,
            last_event:? = self.job.last_event,
            silent_ms = self.waiting_since.elapsed().as_millis() as u64;
            "stream silent, seeking another backend server"
        );
        let connected = tokio::select! {
            biased;
            result = read_events(&mut silent.body, &mut self.splitter, time_left) => return Some(result),
            connected = takeover::find(&self.job, &member) => connected,
        };
        self.job.dispatch.begin_move();
        let mut sent = match connected.send(&mut self.job) {
            Ok(sent) => sent,
            Err(_) => return Some(Progress::TimedOut),
        };
        let response = tokio::select! {
            biased;
            result = read_events(&mut silent.body, &mut self.splitter, time_left) => match result {
                Progress::Invalid(_) | Progress::Broken(_) => None,
                Progress::End if silent.incompleteness(&self.splitter).await.is_some() => None,
                result => return Some(result),
            },
            response = sent.response() => Some(response),
            () = sleep(MAX_OVERLAP) => None,
        };
        let (sent, response) = match response {
            Some(response) => (sent, response),
            None => {
                // Drops the silent exchange, and so closes its connection.
                self.leave_silent();
                match timeout(time_left, self.wait_for_response(sent)).await {
                    Ok(responded) => responded,
                    Err(_) => return Some(Progress::TimedOut),
                }
            }
        };
        Some(self.take_over(sent, response))
    }

    /// Moves the stream to the backend server that has responded, unless it has not taken it over.
    fn take_over(&mut self, sent: Sent, response: SendResult) -> Progress {
        let next = sent.member().clone();
        let failure = match sent.into_exchange(&self.job, response) {
            Ok(exchange) if exchange.is_stream() => {
                self.leave_silent();
                self.job.record_origin(&next);
                self.splitter.begin_response();
                self.go_on(exchange);
                return Progress::Moved;
            }
            Ok(exchange) => {
                exchange.record_failure();
                SendFailure::Failed
            }
            Err(ExchangeError::GivenUp(_)) => SendFailure::Failed,
            Err(ExchangeError::SendFailure(failure)) => failure,
            Err(ExchangeError::StartUnknown) => SendFailure::NotSent,
            Err(ExchangeError::ConnectionBroken) => SendFailure::Lost,
        };
        log::info!(
            request = self.job.request.head.id.as_str(),
            backend_server = next.id.as_str(),
            setback:? = failure;
            "stream not taken over"
        );
        Progress::NotTaken(next, failure)
    }

    /// Waits for the response to a request that was sent, and seeks another backend server while there
    /// is none. Returns the request to which a response came.
    async fn wait_for_response(&mut self, mut sent: Sent) -> (Sent, SendResult) {
        loop {
            if !self.job.dispatch.may_send_again() {
                let response = sent.response().await;
                return (sent, response);
            }
            let silent = sent.member().clone();
            let connected = tokio::select! {
                biased;
                response = sent.response() => return (sent, response),
                connected = async {
                    sleep(self.first_event_patience()).await;
                    takeover::find(&self.job, &silent).await
                } => connected,
            };
            let Ok(mut next) = connected.send(&mut self.job) else {
                let response = sent.response().await;
                return (sent, response);
            };
            tokio::select! {
                biased;
                response = sent.response() => return (sent, response),
                response = next.response() => return (next, response),
                () = sleep(MAX_OVERLAP) => {}
            }
            self.job.excluded.push(silent.id);
            sent = next;
        }
    }

    /// Time for which a backend server may stay silent before its first event.
    fn first_event_patience(&self) -> Duration {
        FIRST_EVENT_PATIENCE + self.job.request.route.objective * 2
    }

    /// Records that a backend server whose stream ran out of time had been silent.
    fn record_silence(&self) {
        let exchange = self.exchange.as_ref();
        let is_silent = self.waiting_since.elapsed() >= EVENT_PATIENCE;
        if let Some(exchange) = exchange.filter(|_| is_silent) {
            exchange.in_flight.record_failed_answer();
        }
    }

    /// Closes the connection to a silent backend server.
    fn leave_silent(&mut self) {
        if let Some(silent) = self.exchange.take() {
            silent.in_flight.record_silence();
            self.job.excluded.push(silent.member.id.clone());
        }
    }

    /// Handles the failure of a backend server that was to take the stream over. The stream stays at the
    /// silent one, or is sent to others if that was left.
    async fn recover(&mut self, next: Member, failure: SendFailure) -> Option<EndReason> {
        let may_resend = match failure {
            SendFailure::Lost => self.job.may_resend_after_break(&next).await,
            _ => true,
        };
        self.job.excluded.push(next.id);
        let step = self.job.dispatch.fail(failure);
        if self.exchange.is_some() {
            self.may_move &= may_resend;
            return None;
        }
        self.splitter.begin_response();
        self.send_again(may_resend, step).await
    }

    async fn forward(&mut self, batch: Batch) -> Bytes {
        if batch.count == 0 {
            // A comment shows that the connection is open, and not that the stream goes on.
            return batch.bytes.into();
        }
        self.job.last_event = batch.last_id.or(self.job.last_event);
        self.job.events += batch.count;
        self.waiting_since = Instant::now();
        if let Some(exchange) = &mut self.exchange {
            if self.job.version.is_none() {
                self.job.version = Some(exchange.member.version.clone());
                self.job.record_origin(&exchange.member);
                self.job.wait_for_correction().await;
            }
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
    async fn resume_after_break(&mut self, reason: &str) -> Option<EndReason> {
        let member = self.exchange.as_ref()?.member.clone();
        let may_resend = self.job.may_resend_after_break(&member).await;
        self.resume(reason, may_resend).await
    }

    /// Resumes the stream at another backend server after the last event that was passed on.
    /// Returns the reason if that is not possible, or if the request may not be sent again.
    async fn resume(&mut self, reason: &str, may_resend: bool) -> Option<EndReason> {
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
        self.splitter.begin_response();
        let step = self.job.dispatch.fail(SendFailure::Lost);
        self.send_again(may_resend, step).await
    }

    /// Sends the request again after the stream has lost its backend server, if `step` allows that, until
    /// one goes on with the stream.
    async fn send_again(&mut self, may_resend: bool, step: Step) -> Option<EndReason> {
        let now = self.job.context.clock.now();
        let patience = match self.job.events {
            0 => RESUME_PATIENCE + self.job.request.route.objective * 2,
            _ => RESUME_PATIENCE,
        };
        let resume_until = now.plus(patience.saturating_sub(self.waiting_since.elapsed()));
        self.job.resume_until = Some(resume_until.min(self.job.deadline));
        self.job.waiting_since = now;
        let mut step = step;
        loop {
            let end_reason = match (self.job.time_left().is_zero(), may_resend, step) {
                (true, _, _) => Some(EndReason::TimedOut),
                (_, false, _) => Some(EndReason::Suspected),
                (_, _, Step::Refuse | Step::Fail) => Some(EndReason::NoAttemptLeft),
                (_, _, Step::Resend) => None,
            };
            if end_reason.is_some() {
                return end_reason;
            }
            let next = match self.job.send_until_response().await {
                Ok(next) => next,
                Err(cause) => return Some(EndReason::NotPlaced(cause)),
            };
            if next.is_stream() {
                self.go_on(next);
                return None;
            }
            next.record_failure();
            log::warn!(
                request = self.job.request.head.id.as_str(),
                backend_server = next.member.id.as_str(),
                status = next.parts.status.as_u16();
                "backend server did not go on with the stream: its response is none"
            );
            self.job.excluded.push(next.member.id.clone());
            step = self.job.dispatch.fail(SendFailure::Failed);
        }
    }

    /// Reads on at a backend server that has responded with a stream.
    fn go_on(&mut self, exchange: Exchange) {
        if self.job.events == 0 {
            self.parts = exchange.parts.clone();
        }
        self.exchange = Some(exchange);
        self.waiting_since = Instant::now();
    }

    /// Answers the caller, who has nothing of the stream yet, with the reason for which there is none.
    fn refuse(&mut self, reason: EndReason) -> Response<Body> {
        self.log_end(reason);
        self.exchange = None;
        let cause = match reason {
            EndReason::TimedOut => Cause::Timeout,
            EndReason::Shutdown => self.job.end_at_shutdown(),
            EndReason::NotPlaced(cause) => cause,
            EndReason::NoAttemptLeft | EndReason::Suspected => self.job.give_up(Cause::NotExecuted),
        };
        self.job.refuse(cause)
    }

    /// Ends the stream, and with it the caller's connection, before the last event.
    fn abort(&mut self, reason: EndReason) -> io::Error {
        self.log_end(reason);
        self.exchange = None;
        self.job.finish("broken", None);
        io::Error::other("the stream from the backend server broke")
    }

    fn log_end(&self, reason: EndReason) {
        log::warn!(
            request = self.job.request.head.id.as_str(),
            events = self.job.events,
            last_event:? = self.job.last_event,
            sent = self.job.dispatch.sent(),
            time_left_ms = self.job.time_left().as_millis() as u64;
            "stream ended before its last event: {reason}"
        );
    }

    fn finish(&mut self) {
        self.job.record_answer();
        let tokens = self.job.output_tokens();
        let in_flight = self.exchange.take().map(|exchange| exchange.finish(tokens));
        self.job.finish(super::ANSWERED, in_flight.as_ref());
    }
}

/// Reads the next complete events of a backend server's stream, for at most `time_left`. Dropping the
/// future loses nothing.
async fn read_events(
    body: &mut Incoming,
    splitter: &mut Splitter,
    time_left: Duration,
) -> Progress {
    let reading = async {
        loop {
            match splitter.next_batch() {
                Ok(None) => {}
                Ok(Some(batch)) => return Progress::Events(batch),
                Err(fault) => return Progress::Invalid(fault.to_string()),
            }
            match body.frame().await {
                None => return Progress::End,
                Some(Err(error)) => return Progress::Broken(error.to_string()),
                Some(Ok(frame)) => splitter.append(&frame.into_data().unwrap_or_default()),
            }
        }
    };
    timeout(time_left, reading)
        .await
        .unwrap_or(Progress::TimedOut)
}
