//! Memory shared by the responses that are buffered.

use {
    bytes::Bytes,
    futures_util::{StreamExt as _, future::join_all, stream},
    http_body_util::StreamBody,
    hyper::body::{Body, Frame},
    rstest::rstest,
    std::{convert::Infallible, time::Duration},
    tamarackdaled::gateway::response_buffers::{BufferError, ResponseBuffers},
    tokio::{task::yield_now, time::timeout},
};

/// Memory of a process whose buffers hold 8 MiB.
const MEMORY_BYTES: u64 = 64 * 1024 * 1024;

/// A body of `count` chunks of `size` bytes.
fn body(count: usize, size: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let chunk = Bytes::from(vec![b'x'; size]);
    let frames = stream::iter(0..count).then(move |_| {
        let frame = Frame::data(chunk.clone());
        async {
            // Others get their next chunks meanwhile.
            yield_now().await;
            Ok(frame)
        }
    });
    StreamBody::new(frames.boxed())
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

/// Guards against requests that end with 502 although their servers answered, because the memory was full
/// for a moment, and against bodies that wait for each other.
#[rstest]
#[case::large(8, 8)]
#[case::many(24, 3)]
#[tokio::test]
async fn bodies_that_find_the_memory_full_wait_for_room(
    #[case] responses: usize,
    #[case] chunks: usize,
) {
    /// Far more than it takes.
    const LIMIT: Duration = Duration::from_secs(10);
    const CHUNK_BYTES: usize = 1024 * 1024;
    let buffers = ResponseBuffers::new(MEMORY_BYTES);
    let reads = (0..responses).map(|_| async {
        let content = buffers.read(&mut body(chunks, CHUNK_BYTES)).await;
        content.map(|content| content.len())
    });

    let lengths = timeout(LIMIT, join_all(reads)).await;

    let lengths = lengths.expect("a body waits without end");
    assert!(
        lengths
            .iter()
            .all(|length| matches!(length, Ok(length) if *length == chunks * CHUNK_BYTES)),
        "{lengths:?}"
    );
}
