//! The stream of frames by which a router reads an attempt's response.

use {
    super::{
        response_buffer::Position,
        task::{FrameBatch, Handle, Message, Read},
    },
    bytes::Bytes,
    futures_util::{Stream, stream},
    gotham::hyper::body::Frame as HttpFrame,
    std::{io, time::Duration},
    tamarackdale_core::{
        failure::{Failure, Reason},
        tier::Rank,
    },
    tamarackdale_wire::{Frame, codec},
    tokio::{sync::oneshot, time::timeout},
};

/// Longest time without a frame.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Reads one attempt's response for one connection of its router.
pub struct Reader {
    handle: Handle,
    position: Position,
    pending: Option<oneshot::Receiver<FrameBatch>>,
    floor: Box<dyn Fn() -> Rank + Send + Sync>,
    has_sent_heartbeat: bool,
    is_finished: bool,
}

impl Reader {
    /// Creates a reader that starts at `position`; `floor` returns the sidecar's shed floor.
    pub fn new(
        handle: Handle,
        position: Position,
        floor: impl Fn() -> Rank + Send + Sync + 'static,
    ) -> Self {
        Self {
            handle,
            position,
            pending: None,
            floor: Box::new(floor),
            has_sent_heartbeat: false,
            is_finished: false,
        }
    }

    /// The frames as parts of an HTTP body: a heartbeat first, then the response.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<HttpFrame<Bytes>>> + Send {
        stream::unfold(self, |mut reader| async move {
            if reader.is_finished {
                return None;
            }
            let item = encode(&reader.next_frames().await);
            reader.is_finished |= item.is_err();
            Some((item, reader))
        })
    }

    async fn next_frames(&mut self) -> Vec<Frame> {
        if !self.has_sent_heartbeat {
            self.has_sent_heartbeat = true;
            return vec![self.heartbeat()];
        }
        let mut pending = match self.pending.take() {
            Some(pending) => pending,
            None => self.request_frames().await,
        };
        match timeout(HEARTBEAT_INTERVAL, &mut pending).await {
            Ok(Ok(batch)) => {
                self.position = batch.position;
                self.is_finished = batch.frames.last().is_some_and(Frame::is_last);
                batch.frames
            }
            Ok(Err(_)) => {
                self.is_finished = true;
                vec![response_unavailable()]
            }
            Err(_) => {
                self.pending = Some(pending);
                vec![self.heartbeat()]
            }
        }
    }

    /// Requests frames from the task. If the task has ended, the reply channel is closed.
    async fn request_frames(&self) -> oneshot::Receiver<FrameBatch> {
        let (reply, batch) = oneshot::channel();
        let read = Read {
            position: self.position,
            reply,
        };
        // A message that cannot be sent is dropped, which closes its reply channel.
        let _ = self.handle.messages.send(Message::Read(read)).await;
        batch
    }

    fn heartbeat(&self) -> Frame {
        Frame::Heartbeat {
            offset: self.position.offset,
            floor: (self.floor)().0,
        }
    }
}

/// The failure for a reader whose response is no longer buffered.
fn response_unavailable() -> Frame {
    Frame::Failed(Failure::may_have_run(Reason::ConnectionLost).into())
}

fn encode(frames: &[Frame]) -> io::Result<HttpFrame<Bytes>> {
    let mut bytes = Vec::new();
    for frame in frames {
        bytes.extend_from_slice(&codec::encode_item(frame).map_err(io::Error::other)?);
    }
    Ok(HttpFrame::data(bytes.into()))
}
