//! Sends the response of a relay to its caller.

use {
    crate::{
        http::{
            body::{self, is_event_stream},
            memory::{Account, Counted},
        },
        router::{inbound::InboundRequest, refusal},
    },
    bytes::Bytes,
    futures_util::{Stream, stream},
    gotham::{
        helpers::http::Body,
        hyper::{
            Response, StatusCode,
            body::Frame as HttpFrame,
            header::{HeaderMap, HeaderName, HeaderValue},
        },
    },
    std::{io, time::Duration},
    tamarackdale_core::{failure::Failure, verdict::Verdict},
    tamarackdale_wire::frame::Header,
    tokio::{
        sync::{mpsc, oneshot},
        task::yield_now,
        time::timeout,
    },
};

/// Capacity of the queue of body parts that the caller has not read yet.
const BODY_CAPACITY: usize = 8;

/// Timeout for a caller to make room in the queue of body parts. Meanwhile its request holds a slot of the backend
/// server, which the requests of other callers wait for.
const SLOW_CALLER_LIMIT: Duration = Duration::from_secs(10);

/// The caller has disconnected or no longer reads the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Part of a body. If the channel closes without [`BodyPart::End`], the connection is broken, so
/// that an incomplete response cannot look complete when the responder is dropped.
enum BodyPart {
    Bytes(Bytes),
    End,
}

enum State {
    /// The head has not been sent.
    Pending(oneshot::Sender<Response<Body>>),
    /// The head has been sent.
    Streaming {
        body: mpsc::Sender<BodyPart>,
        events: bool,
    },
    /// The response has ended.
    Finished,
}

/// Sends the response to a caller.
pub struct Responder {
    state: State,
    finish_alone: bool,
    memory: Account,
}

impl Responder {
    /// Creates a responder that sends the response to `head`. `finish_alone` tells whether the
    /// request continues after its caller has disconnected. What the caller has not read yet is counted in
    /// `memory`.
    pub fn new(head: oneshot::Sender<Response<Body>>, finish_alone: bool, memory: Account) -> Self {
        Self {
            state: State::Pending(head),
            finish_alone,
            memory,
        }
    }

    /// Waits until the caller has disconnected; forever, if the request continues without its
    /// caller.
    pub async fn abandoned(&mut self) {
        if self.finish_alone {
            std::future::pending().await
        }
        self.caller_gone().await;
    }

    /// Waits until the caller has disconnected.
    pub async fn caller_gone(&mut self) {
        match &mut self.state {
            State::Pending(head) => head.closed().await,
            State::Streaming { body, .. } => body.closed().await,
            State::Finished => std::future::pending().await,
        }
    }

    /// Sends the status and headers of the backend server's response.
    pub fn send_head(
        &mut self,
        request: &InboundRequest,
        status: u16,
        headers: &[Header],
    ) -> Result<(), CallerGone> {
        let State::Pending(head) = std::mem::replace(&mut self.state, State::Finished) else {
            return Err(CallerGone);
        };
        let (sender, receiver) = mpsc::channel(BODY_CAPACITY);
        let mut response = Response::new(body::stream(body_stream(receiver)));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.extensions_mut().insert(Counted);
        append_headers(response.headers_mut(), headers);
        refusal::set_request_id(response.headers_mut(), request);
        refusal::set_verdict(response.headers_mut(), Verdict::Ran);
        self.state = State::Streaming {
            body: sender,
            events: is_event_stream(response.headers()),
        };
        head.send(response).map_err(|_| CallerGone)
    }

    /// Sends a part of the body. Waits for a slow caller up to `SLOW_CALLER_LIMIT`.
    pub async fn send_bytes(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        let State::Streaming { body, .. } = &self.state else {
            return Err(CallerGone);
        };
        let sending = async {
            let reserved = self.memory.reserve_answer(bytes.len()).await;
            body.send(BodyPart::Bytes(reserved.hold(bytes))).await
        };
        match timeout(SLOW_CALLER_LIMIT, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(CallerGone),
            Err(_) => {
                log::warn!("caller reads too slowly; closing its connection");
                Err(CallerGone)
            }
        }
    }

    /// Ends a complete body.
    pub async fn finish(&mut self) {
        if let State::Streaming { body, .. } = &self.state {
            // Fails if the caller has disconnected, which does not matter here.
            let _ = timeout(SLOW_CALLER_LIMIT, body.send(BodyPart::End)).await;
        }
        self.state = State::Finished;
    }

    /// Reports a failure to the caller. If the head has not been sent, sends an error response.
    /// Otherwise breaks the connection, after a final error event if the response is an event
    /// stream.
    pub async fn fail(&mut self, request: &InboundRequest, failure: &Failure) {
        match std::mem::replace(&mut self.state, State::Finished) {
            State::Pending(head) => {
                // Fails if the caller has disconnected, which does not matter here.
                let _ = head.send(refusal::failure_response(request, failure));
            }
            State::Streaming { body, events } => {
                if events {
                    let last = BodyPart::Bytes(error_event(failure));
                    let _ = timeout(SLOW_CALLER_LIMIT, body.send(last)).await;
                }
                // Dropping the sender without BodyPart::End breaks the connection.
            }
            State::Finished => {}
        }
    }
}

fn body_stream(
    receiver: mpsc::Receiver<BodyPart>,
) -> impl Stream<Item = io::Result<HttpFrame<Bytes>>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(BodyPart::Bytes(bytes)) => Some((Ok(HttpFrame::data(bytes)), Some(receiver))),
            Some(BodyPart::End) => None,
            None => {
                // The connection writes what it has when there is nothing more to take, and drops it
                // at an error.
                yield_now().await;
                let error = io::Error::other("response ended before it was complete");
                Some((Err(error), None))
            }
        }
    })
}

fn append_headers(target: &mut HeaderMap, headers: &[Header]) {
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            target.append(name, value);
        }
    }
}

fn error_event(failure: &Failure) -> Bytes {
    format!("event: error\ndata: {}\n\n", refusal::failure_json(failure)).into()
}
