//! Memory shared by the responses that are buffered.

use {
    bytes::Bytes,
    futures_util::stream,
    http_body_util::StreamBody,
    hyper::body::{Body, Frame},
    std::convert::Infallible,
    tamarackdaled::gateway::response_buffers::{BufferError, ResponseBuffers},
};

/// Memory of a process whose buffers hold 8 MiB.
const MEMORY_BYTES: u64 = 64 * 1024 * 1024;

/// A body of `count` chunks of `size` bytes.
fn body(count: usize, size: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let chunk = Bytes::from(vec![b'x'; size]);
    let frames = (0..count).map(move |_| Ok(Frame::data(chunk.clone())));
    StreamBody::new(stream::iter(frames))
}

/// A backend server in trouble that sends a byte at a time must not take the memory of others.
#[tokio::test]
async fn small_chunks_take_no_more_memory_than_their_bytes() {
    const CHUNKS: usize = 100_000;
    let buffers = ResponseBuffers::new(MEMORY_BYTES);

    let content = buffers.read(&mut body(CHUNKS, 1)).await;

    assert_eq!(content.map(|content| content.len()).ok(), Some(CHUNKS));
}

#[tokio::test]
async fn body_that_is_too_long_is_refused() {
    let buffers = ResponseBuffers::new(MEMORY_BYTES * 16);

    let result = buffers.read(&mut body(9, 1024 * 1024)).await;

    assert!(matches!(result, Err(BufferError::TooLong)), "{result:?}");
}

#[tokio::test]
async fn memory_is_released_after_each_body() {
    let buffers = ResponseBuffers::new(MEMORY_BYTES);

    for _ in 0..4 {
        let content = buffers.read(&mut body(6, 1024 * 1024)).await;
        assert_eq!(
            content.map(|content| content.len()).ok(),
            Some(6 * 1024 * 1024)
        );
    }
}
