//! Request and response bodies.

use {
    bytes::Bytes,
    futures_util::Stream,
    gotham::{
        helpers::http::Body,
        hyper::{HeaderMap, Response, StatusCode, body::Frame, header},
    },
    http_body_util::{BodyExt as _, Full, LengthLimitError, Limited, StreamBody},
    std::io,
    tamarackdale_wire::codec,
};

/// Why a request's body could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection was lost or the body is malformed.
    Broken,
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Broken),
    }
}

/// Whether a response tells its end by a length or by chunks, or has no body. Any other one ends with its
/// connection.
pub fn is_framed<B: hyper::body::Body>(response: &Response<B>) -> bool {
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let headers = response.headers();
    response.body().is_end_stream() || framing.iter().any(|name| headers.contains_key(name))
}

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a streaming body; an error in the stream aborts the connection.
pub fn stream<S>(stream: S) -> Body
where
    S: Stream<Item = io::Result<Frame<Bytes>>> + Send + 'static,
{
    StreamBody::new(stream).boxed_unsync()
}

/// Creates a response with a MessagePack body.
pub fn msgpack<T: serde::Serialize>(message: &T) -> Response<Body> {
    match codec::encode(message) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(error) => {
            log::error!("cannot encode the response: {error}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Creates a response with a JSON body.
pub fn json(code: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = code;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a response with an empty body.
pub fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = code;
    response
}

/// Whether the headers announce a body of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
