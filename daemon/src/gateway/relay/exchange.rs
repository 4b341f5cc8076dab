//! Sends a request to one backend server and receives the response.

use {
    super::{Cause, Job},
    crate::{
        gateway::{
            pool::{self, Connection, ConnectionPool, DEFAULT_IDLE_TIMEOUT, SendResult},
            response_buffers::{BufferError, ResponseBuffers},
            scheduler::{InFlightRequest, Retry},
        },
        http::body,
    },
    bytes::Bytes,
    gotham::hyper::{Method, Request, StatusCode, header::CONTENT_LENGTH, http::response::Parts},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        io::{self, ErrorKind},
        pin::Pin,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tamarackdale_core::{
        dispatch::SendFailure,
        fleet::{Choice, Member, health::Failure},
        sse::Splitter,
        time::Timestamp,
    },
    tamarackdale_platform::{
        request::{self, AddedHeaders},
        response::{self, ResponseClass},
    },
    tokio::time::timeout,
};

/// An exchange whose response headers have been received.
pub struct Exchange {
    /// Status and headers of the response as they are returned to the caller.
    pub parts: Parts,
    /// Body of the response.
    pub body: Incoming,
    /// Whether the end of the body is told apart from a closed connection, by a length or by chunks.
    pub is_framed: bool,
    /// The backend server.
    pub member: Member,
    /// Counts the request at the backend server.
    pub in_flight: InFlightRequest,
    connection: Connection,
    pool: Arc<ConnectionPool>,
    /// How long the backend server keeps the idle connection open, or `None` if it closes it.
    idle_timeout: Option<Duration>,
    time_left: Duration,
}

/// Why a response is incomplete whose end only that of its connection tells.
const CUT: &str = "the connection was closed and the backend server has ended";

/// Why an exchange failed.
pub enum ExchangeError {
    /// The attempt failed. The request is sent again if its dispatch allows it.
    SendFailure(SendFailure),
    /// The request was not sent, because the process there is silent and may not be the one that is registered.
    StartUnknown,
    /// The connection broke after the request was written, before the head of a response.
    ConnectionBroken,
    /// The request is not sent again.
    GivenUp(Cause),
}

/// Why a body could not be read.
pub enum BodyError {
    /// The connection to this backend server broke.
    Broken(Member),
    /// It is too large, or was not complete in time.
    Other,
}

/// Sends the request and waits for the response headers. Spends the retry, if it is one, when the request is
/// sent.
pub async fn run(
    job: &mut Job,
    choice: &Choice,
    retry: Option<Retry>,
) -> Result<Exchange, ExchangeError> {
    let connected = connect(job, choice).await?;
    if let Some(retry) = retry {
        retry.spend();
    }
    job.record_origin(&choice.member);
    let mut sent = connected.send(job)?;
    let response = timeout(job.time_left(), sent.response()).await;
    let Ok(response) = response else {
        let scheduler = &job.context.scheduler;
        scheduler.record_silence(&choice.member.id, sent.sent);
        sent.connected.in_flight.record_failed_answer();
        return Err(ExchangeError::GivenUp(Cause::Timeout));
    };
    if response.is_ok() && sent.connected.is_unchecked && is_other_start(job, &choice.member).await
    {
        return Err(ExchangeError::SendFailure(SendFailure::Lost));
    }
    sent.into_exchange(job, response)
}

/// A connection to the backend server that is to get the request, which already counts there.
pub struct Connected {
    member: Member,
    in_flight: InFlightRequest,
    connection: Connection,
    /// Whether the start of the process still has to be checked.
    is_unchecked: bool,
}

/// What is known of the process at the other end of a connection.
enum Start {
    /// It is the one that is registered, or need not be.
    Registered,
    /// It is another one.
    Other,
    /// It has not said in time.
    Unknown,
}

/// Connects to the backend server.
pub async fn connect(job: &Job, choice: &Choice) -> Result<Connected, ExchangeError> {
    let member = &choice.member;
    let scheduler = &job.context.scheduler;
    let load = choice.request_load(job.prompt_tokens());
    let in_flight = scheduler.start_request(&member.id, load);
    let is_checked = job.stream.is_some() && job.is_for_engine();
    let connected = match is_checked {
        true => connect_to_start(job, member).await,
        false => {
            let connected = job.context.pool.connect(member).await;
            connected.map(|connection| (connection, Start::Registered))
        }
    };
    let (connection, is_unchecked) = match connected {
        Ok((connection, Start::Registered)) => (connection, false),
        // The response will show it. A stream that goes on can't wait for that: another attempt may not be
        // allowed.
        Ok((connection, Start::Unknown)) if job.version.is_none() => (connection, true),
        Ok((connection, start)) => {
            // What it shows of its process, now or later, is known to the next stream.
            let pool = &job.context.pool;
            pool.put(&member.id, connection, DEFAULT_IDLE_TIMEOUT);
            return Err(match start {
                Start::Unknown => ExchangeError::StartUnknown,
                Start::Other | Start::Registered => {
                    ExchangeError::SendFailure(SendFailure::NotSent)
                }
            });
        }
        Err(error) => {
            log::info!(
                backend_server = member.id.as_str();
                "cannot connect to backend server: {error}"
            );
            if !pool::lacks_descriptors(&error) {
                scheduler.record_failure(&member.id, Failure::Unreachable);
            }
            return Err(ExchangeError::SendFailure(SendFailure::NotSent));
        }
    };
    if !scheduler.accepts_requests(&member.id) || scheduler.is_version_stopped(member) {
        return Err(ExchangeError::SendFailure(SendFailure::NotSent));
    }
    Ok(Connected {
        member: member.clone(),
        in_flight,
        connection,
        is_unchecked,
    })
}

/// Connects to the backend server, and tells whether the process there is the start that is registered: a
/// later one may be of another version, before its registration says so.
async fn connect_to_start(job: &Job, member: &Member) -> io::Result<(Connection, Start)> {
    let pool = &job.context.pool;
    let backend_server = member.id.as_str();
    let mut connection = pool.connect(member).await?;
    // A connection that was idle may have been closed.
    let mut leads = pool.leads_to(&mut connection, member).await;
    if leads
        .as_ref()
        .is_err_and(|error| error.kind() != ErrorKind::TimedOut)
    {
        connection = pool.connect(member).await?;
        leads = pool.leads_to(&mut connection, member).await;
    }
    match leads {
        Ok(true) => Ok((connection, Start::Registered)),
        Ok(false) => {
            log::warn!(
                backend_server,
                started_at_ms = member.started_at_ms;
                "stream does not run there: the backend server has started again since its registration"
            );
            Ok((connection, Start::Other))
        }
        Err(error) if error.kind() == ErrorKind::TimedOut => {
            log::info!(
                backend_server,
                goes_on = job.version.is_some();
                "start of a silent backend server not known: {error}"
            );
            let connection = pool.connect(member).await?;
            Ok((connection, Start::Unknown))
        }
        Err(error) => Err(error),
    }
}

/// Whether the process that has responded is not the start that is registered, if that was not known when the
/// request was sent. A process that was silent then answers now.
async fn is_other_start(job: &Job, member: &Member) -> bool {
    match connect_to_start(job, member).await {
        Ok((connection, start)) => {
            let pool = &job.context.pool;
            pool.put(&member.id, connection, DEFAULT_IDLE_TIMEOUT);
            matches!(start, Start::Other)
        }
        Err(error) => {
            log::warn!(
                backend_server = member.id.as_str();
                "start of a backend server not checked after its response: {error}"
            );
            false
        }
    }
}

impl Connected {
    /// Sends the request.
    pub fn send(mut self, job: &mut Job) -> Result<Sent, ExchangeError> {
        let time_left = job.time_left();
        if time_left.is_zero() {
            let cause = match job.own_time_left().is_zero() {
                true => Cause::TimeoutUnsent,
                false => Cause::Leaving,
            };
            return Err(ExchangeError::GivenUp(job.give_up(cause)));
        }
        let request = build_request(job, &self.member.id, time_left);
        let pick = job.placement_pick();
        job.dispatch.send();
        let route = &job.request.route.name;
        let answer = job.context.scheduler.count_sent(&self.member, route, pick);
        self.in_flight.count_answer(answer);
        let sent = job.context.clock.now();
        let response = Box::pin(self.connection.send(request));
        Ok(Sent {
            connected: self,
            sent,
            response,
        })
    }
}

/// A request that was sent and has no response yet. Dropping it closes the connection.
pub struct Sent {
    connected: Connected,
    sent: Timestamp,
    response: Pin<Box<dyn Future<Output = SendResult> + Send>>,
}

impl Sent {
    /// The backend server.
    pub fn member(&self) -> &Member {
        &self.connected.member
    }

    /// Waits for the response headers. Dropping the future loses nothing.
    pub async fn response(&mut self) -> SendResult {
        self.response.as_mut().await
    }

    /// Checks the response headers.
    pub fn into_exchange(self, job: &Job, response: SendResult) -> Result<Exchange, ExchangeError> {
        let Connected {
            member,
            mut in_flight,
            connection,
            is_unchecked: _,
        } = self.connected;
        let scheduler = &job.context.scheduler;
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                if error.message().is_some() {
                    return Err(ExchangeError::SendFailure(SendFailure::NotSent));
                }
                scheduler.record_failure(&member.id, Failure::Broken);
                in_flight.record_failed_answer();
                return Err(ExchangeError::ConnectionBroken);
            }
        };
        let (status, headers) = (response.status(), response.headers());
        let class = response::classify(status, headers, &job.request.head.id);
        let notice = response::notice(status, headers, class, SystemTime::now());
        scheduler.record_notice(&member, &notice, self.sent);
        if class == ResponseClass::Failed {
            in_flight.mark_failed();
        }
        match class {
            ResponseClass::Valid => {}
            ResponseClass::NotExecuted => in_flight.record_refusal(),
            _ => in_flight.record_failed_answer(),
        }
        if let Some(failure) = check_response(job, class, &member.id) {
            return Err(ExchangeError::SendFailure(failure));
        }
        let idle_timeout = response::keep_alive_timeout(response.headers(), DEFAULT_IDLE_TIMEOUT);
        let is_framed = body::is_framed(&response);
        let (mut parts, body) = response.into_parts();
        if parts.status != StatusCode::OK || !body::is_event_stream(&parts.headers) {
            in_flight.record_first_event();
        }
        parts.headers = response::returned_headers(&parts.headers);
        // The rest of a stream may come from another backend server, and have another length. The
        // length of what is passed on is stated anew where it is known.
        if job.request.method != Method::HEAD {
            parts.headers.remove(CONTENT_LENGTH);
        }
        Ok(Exchange {
            parts,
            body,
            is_framed,
            member,
            in_flight,
            connection,
            pool: Arc::clone(&job.context.pool),
            idle_timeout,
            time_left: job.time_left(),
        })
    }
}

/// Returns the failure if a response cannot be passed on to the caller. A 5xx response is passed on
/// if the request cannot be sent again, unless its status makes a promise that nothing proves.
fn check_response(job: &Job, class: ResponseClass, id: &str) -> Option<SendFailure> {
    let scheduler = &job.context.scheduler;
    match class {
        ResponseClass::Valid => None,
        ResponseClass::NotExecuted => {
            scheduler.record_failure(id, Failure::Rejected);
            Some(SendFailure::NotExecuted)
        }
        ResponseClass::Unproved => {
            scheduler.record_failure(id, Failure::Error);
            Some(SendFailure::Failed)
        }
        ResponseClass::Failed => {
            scheduler.record_failure(id, Failure::Error);
            let can_repeat = job.request.route.repeat_policy.may_rerun()
                && job.dispatch.sent() < job.request.route.attempts;
            can_repeat.then_some(SendFailure::Failed)
        }
        ResponseClass::Mismatched | ResponseClass::Unsigned => {
            scheduler.record_failure(id, Failure::Broken);
            Some(SendFailure::Lost)
        }
    }
}

fn build_request(job: &Job, backend_server: &str, time_left: Duration) -> Request<Full<Bytes>> {
    let request = &job.request;
    let added = AddedHeaders {
        backend_server,
        time_left,
        organisation: request.organisation.as_ref().map(|own| own.name.as_str()),
        resume_after: job.last_event,
    };
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    *outgoing.uri_mut() = path.parse().unwrap_or_else(|_| request.uri.clone());
    *outgoing.headers_mut() = request::forwarded_headers(&request.headers, &added);
    outgoing
}

impl Exchange {
    /// Whether the response is an event stream. Other successes, as of a part of it, are none.
    pub fn is_stream(&self) -> bool {
        self.parts.status == StatusCode::OK && body::is_event_stream(&self.parts.headers)
    }

    /// Why the end of the response is not the end of its stream, if it is not.
    ///
    /// A stream is complete when its response has ended between two events, by its length or its last
    /// chunk. A response without either ends with its connection, as also when its backend server crashes;
    /// it must have brought an event. One that states its end need not: all events may have been passed on
    /// before an earlier response broke off.
    pub async fn incompleteness(&self, splitter: &Splitter) -> Option<&'static str> {
        if splitter.is_inside_event() {
            return Some("the last event is incomplete");
        }
        let is_begun = self.in_flight.time_to_first_event().is_some();
        if !self.is_framed && !is_begun {
            return Some("the connection was closed before the first event");
        }
        self.is_cut().await.then_some(CUT)
    }

    /// Whether the end of the response, which only that of its connection tells, may be that of the process.
    /// A backend server that is leaving may end after a whole response.
    async fn is_cut(&self) -> bool {
        let id = self.in_flight.id();
        !self.is_framed
            && !self.in_flight.scheduler().is_leaving(id)
            && self.pool.has_ended(&self.member).await
    }

    /// Reads the complete body. Fails if it breaks off, is too large or does not end in time.
    pub async fn read_body(
        mut self,
        buffers: &ResponseBuffers,
    ) -> Result<(Parts, Bytes, InFlightRequest), BodyError> {
        let reading = buffers.read(&mut self.body);
        match timeout(self.time_left, reading).await {
            Ok(Ok(_)) if self.is_cut().await => {
                log::info!(backend_server = self.in_flight.id(); "cannot read the response body: {CUT}");
                self.record_failure();
                Err(BodyError::Broken(self.member))
            }
            Ok(Ok(bytes)) => {
                let parts = self.parts.clone();
                Ok((parts, bytes, self.finish(0)))
            }
            Ok(Err(error)) => {
                log::info!(
                    backend_server = self.in_flight.id();
                    "cannot read the response body: {error}"
                );
                self.record_failure();
                Err(match error {
                    BufferError::Broken(_) => BodyError::Broken(self.member),
                    BufferError::TooLong => BodyError::Other,
                })
            }
            Err(_) => {
                log::info!(
                    backend_server = self.in_flight.id();
                    "response body not complete before the deadline"
                );
                self.in_flight.record_failed_answer();
                Err(BodyError::Other)
            }
        }
    }

    /// Records a broken response as a failure of the backend server.
    pub fn record_failure(&self) {
        let id = self.in_flight.id();
        self.in_flight.record_failed_answer();
        self.in_flight
            .scheduler()
            .record_failure(id, Failure::Broken);
    }

    /// Ends the exchange after a complete response and returns the connection to the pool. The
    /// request no longer counts at the backend server once the returned value is dropped.
    pub fn finish(mut self, tokens: u32) -> InFlightRequest {
        self.in_flight.finish(tokens);
        if let Some(idle_timeout) = self.idle_timeout {
            self.pool
                .put(self.in_flight.id(), self.connection, idle_timeout);
        }
        self.in_flight
    }
}
