//! Answers that stream server-sent events.

use {
    crate::host::Body,
    bytes::Bytes,
    futures_util::{Stream, StreamExt as _},
    http_body_util::{BodyExt as _, StreamBody},
    hyper::{Response, body::Frame, header},
    serde_json::Value,
    std::io,
};

/// An answer that streams events, each already formatted.
pub fn answer<S>(events: S) -> Response<Body>
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    let frames = events.map(|bytes| Ok::<_, io::Error>(Frame::data(bytes)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// One event with JSON data.
pub fn event(name: &str, data: &Value) -> Bytes {
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}
