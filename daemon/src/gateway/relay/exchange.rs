//! One sending of a request to one backend server.

use {
    super::{Cause, Job},
    crate::{
        gateway::{
            pool::{Connection, DEFAULT_IDLE, Pool},
            scheduler::InFlightRequest,
        },
        http::body,
    },
    bytes::Bytes,
    gotham::hyper::{Request, Response, http::response::Parts},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tamarackdale_core::{
        dispatch::Setback,
        fleet::{Choice, health::Failure},
    },
    tamarackdale_platform::{
        request::{self, AddedHeaders},
        response::{self, ResponseClass},
    },
    tokio::time::timeout,
};

/// Largest answer that is held in memory so that a broken one can be replaced, in bytes.
const MAX_HELD_BYTES: usize = 8 * 1024 * 1024;

/// An answer whose head has come.
pub struct Exchange {
    /// The head as the caller gets it.
    pub parts: Parts,
    /// What follows.
    pub body: Incoming,
    /// The place at the backend server.
    pub in_flight: InFlightRequest,
    connection: Connection,
    pool: Arc<Pool>,
    idle: Option<Duration>,
    time_left: Duration,
}

/// How a sending ended without an answer.
pub enum Ending {
    /// The request may be sent again if its dispatch allows it.
    Setback(Setback),
    /// The request must be given up.
    GivenUp(Cause),
}

/// Sends the request.
pub async fn run(job: &mut Job, choice: &Choice) -> Result<Exchange, Ending> {
    let member = &choice.member;
    let scheduler = Arc::clone(&job.context.scheduler);
    let tokens = job.request.head.tokens;
    let share = choice.share(tokens.map_or(0, |tokens| tokens.prompt));
    let mut in_flight = scheduler.start(&member.id, share);
    let pool = Arc::clone(&job.context.pool);
    let mut connection = match pool.connect(member).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(backend_server = member.id.as_str(); "no connection: {error}");
            scheduler.fail(&member.id, Failure::Unreachable);
            return Err(Ending::Setback(Setback::NotSent));
        }
    };
    if !scheduler.takes_work(&member.id) {
        return Err(Ending::Setback(Setback::NotSent));
    }
    let time_left = job.time_left();
    if time_left.is_zero() {
        return Err(Ending::GivenUp(job.give_up(Cause::TimeoutUnsent)));
    }
    let message = message(job, &member.id, time_left);
    job.dispatch.send();
    let sending = connection.sender.try_send_request(message);
    let response = match timeout(time_left, sending).await {
        Err(_) => return Err(Ending::GivenUp(Cause::Timeout)),
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            let setback = match error.message() {
                Some(_) => Setback::NotSent,
                None => Setback::Lost,
            };
            if setback == Setback::Lost {
                scheduler.fail(&member.id, Failure::Broken);
            }
            return Err(Ending::Setback(setback));
        }
    };
    if let Some(setback) = judge(job, &response, &member.id) {
        return Err(Ending::Setback(setback));
    }
    let idle = response::keep_alive_timeout(response.headers(), DEFAULT_IDLE);
    let (mut parts, body) = response.into_parts();
    if !body::is_event_stream(&parts.headers) {
        in_flight.begin();
    }
    parts.headers = response::returned_headers(&parts.headers);
    Ok(Exchange {
        parts,
        body,
        in_flight,
        connection,
        pool,
        idle,
        time_left: job.time_left(),
    })
}

/// What is wrong with an answer, if it cannot be passed on. A failure of the backend server's own
/// is passed on where nothing else can be tried.
fn judge(job: &Job, response: &Response<Incoming>, id: &str) -> Option<Setback> {
    let scheduler = &job.context.scheduler;
    let answer = response::classify(response.status(), response.headers(), &job.request.head.id);
    match answer {
        ResponseClass::Valid => None,
        ResponseClass::NotExecuted => {
            scheduler.fail(id, Failure::Rejected);
            Some(Setback::NotExecuted)
        }
        ResponseClass::Failed => {
            scheduler.fail(id, Failure::Broken);
            let can_repeat = job.request.route.repetition.may_rerun()
                && job.dispatch.sent() < job.request.route.attempts;
            can_repeat.then_some(Setback::Failed)
        }
        ResponseClass::Mismatched => {
            scheduler.fail(id, Failure::Broken);
            Some(Setback::Lost)
        }
    }
}

fn message(job: &Job, server: &str, time_left: Duration) -> Request<Full<Bytes>> {
    let request = &job.request;
    let added = AddedHeaders {
        backend_server: server,
        time_left,
        organisation: request.organisation.as_ref().map(|own| own.name.as_str()),
        resume_after: job.last_event,
    };
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    *message.uri_mut() = path.parse().unwrap_or_else(|_| request.uri.clone());
    *message.headers_mut() = request::forwarded_headers(&request.headers, &added);
    message
}

impl Exchange {
    /// Whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.parts.status.is_success() && body::is_event_stream(&self.parts.headers)
    }

    /// Reads the whole answer; fails if it breaks off.
    pub async fn read_whole(mut self) -> Result<(Parts, Bytes, InFlightRequest), ()> {
        let reading = body::read(&mut self.body, MAX_HELD_BYTES);
        match timeout(self.time_left, reading).await {
            Ok(Ok(bytes)) => {
                let parts = self.parts.clone();
                Ok((parts, bytes, self.finish(0)))
            }
            Ok(Err(error)) => {
                log::info!(backend_server = self.in_flight.id(); "answer broke off: {error:?}");
                self.fail();
                Err(())
            }
            Err(_) => {
                log::info!(backend_server = self.in_flight.id(); "answer did not end in time");
                Err(())
            }
        }
    }

    /// Notes a broken answer.
    pub fn fail(&self) {
        let id = self.in_flight.id();
        self.in_flight.scheduler().fail(id, Failure::Broken);
    }

    /// Ends a whole answer and keeps the connection; gives the place back to be looked at.
    pub fn finish(mut self, tokens: u32) -> InFlightRequest {
        self.in_flight.finish(tokens);
        if let Some(idle) = self.idle {
            self.pool.put(self.in_flight.id(), self.connection, idle);
        }
        self.in_flight
    }
}
