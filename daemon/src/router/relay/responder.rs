//! The caller's side of a relay.

use {
    crate::{
        http::body::{self, is_event_stream},
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
        time::timeout,
    },
};

/// Parts of a body that wait for the caller to read them.
const BODY_CAPACITY: usize = 8;

/// Time that a caller may take to read a part of the body.
const SLOW_CALLER_LIMIT: Duration = Duration::from_secs(60);

/// The caller does not take the answer any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Part of a body. A body whose channel closes without an end is broken off, so that whatever
/// drops the responder cannot make a part of an answer look whole.
enum Part {
    Bytes(Bytes),
    End,
}

enum State {
    /// The head has not been sent.
    Pending(oneshot::Sender<Response<Body>>),
    /// The head has been sent.
    Streaming {
        body: mpsc::Sender<Part>,
        events: bool,
    },
    /// The answer has ended.
    Over,
}

/// Sends the answer to a caller.
pub struct Responder {
    state: State,
    finish_alone: bool,
}

impl Responder {
    /// A responder that gives the response to `head`; `finish_alone` tells whether the request
    /// goes on when its caller has gone.
    pub fn new(head: oneshot::Sender<Response<Body>>, finish_alone: bool) -> Self {
        Self {
            state: State::Pending(head),
            finish_alone,
        }
    }

    /// Waits until nobody wants the request to be served any more; for ever, if it goes on without
    /// its caller.
    pub async fn abandoned(&mut self) {
        if self.finish_alone {
            std::future::pending().await
        }
        self.caller_gone().await;
    }

    /// Waits until the caller has gone.
    pub async fn caller_gone(&mut self) {
        match &mut self.state {
            State::Pending(head) => head.closed().await,
            State::Streaming { body, .. } => body.closed().await,
            State::Over => std::future::pending().await,
        }
    }

    /// Sends status and headers of the backend server's answer.
    pub fn send_head(
        &mut self,
        request: &InboundRequest,
        status: u16,
        headers: &[Header],
    ) -> Result<(), Gone> {
        let State::Pending(head) = std::mem::replace(&mut self.state, State::Over) else {
            return Err(Gone);
        };
        let (sender, receiver) = mpsc::channel(BODY_CAPACITY);
        let mut response = Response::new(body::stream(parts(receiver)));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        append_headers(response.headers_mut(), headers);
        refusal::set_request_id(response.headers_mut(), request);
        refusal::set_verdict(response.headers_mut(), Verdict::Ran);
        self.state = State::Streaming {
            body: sender,
            events: is_event_stream(response.headers()),
        };
        head.send(response).map_err(|_| Gone)
    }

    /// Sends a part of the body; waits while the caller reads slowly, within limits.
    pub async fn send_bytes(&mut self, bytes: Bytes) -> Result<(), Gone> {
        let State::Streaming { body, .. } = &self.state else {
            return Err(Gone);
        };
        let sending = body.send(Part::Bytes(bytes));
        match timeout(SLOW_CALLER_LIMIT, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Gone),
            Err(_) => {
                log::warn!("a caller reads too slowly: its connection is cut");
                Err(Gone)
            }
        }
    }

    /// Ends the body; it is whole.
    pub async fn finish(&mut self) {
        if let State::Streaming { body, .. } = &self.state {
            // A caller that has gone needs no end.
            let _ = timeout(SLOW_CALLER_LIMIT, body.send(Part::End)).await;
        }
        self.state = State::Over;
    }

    /// Tells the caller of a failure: in a response of its own before the head, else by breaking
    /// the connection, after a last event where the answer consists of events.
    pub async fn fail(&mut self, request: &InboundRequest, failure: &Failure) {
        match std::mem::replace(&mut self.state, State::Over) {
            State::Pending(head) => {
                // A caller that has gone needs no answer.
                let _ = head.send(refusal::failure_response(request, failure));
            }
            State::Streaming { body, events } => {
                if events {
                    let last = Part::Bytes(error_event(failure));
                    let _ = timeout(SLOW_CALLER_LIMIT, body.send(last)).await;
                }
                // Dropping the body without an end breaks the connection.
            }
            State::Over => {}
        }
    }
}

fn parts(receiver: mpsc::Receiver<Part>) -> impl Stream<Item = io::Result<HttpFrame<Bytes>>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Part::Bytes(bytes)) => Some((Ok(HttpFrame::data(bytes)), Some(receiver))),
            Some(Part::End) => None,
            None => Some((Err(io::Error::other("the answer is not whole")), None)),
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
