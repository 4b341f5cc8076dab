//! The stream of frames that a router reads.

use {
    super::{
        response_buffer::Position,
        task::{Handle, Message, Portion, Read},
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

/// A reader of one attempt's answer.
pub struct Reader {
    handle: Handle,
    position: Position,
    pending: Option<oneshot::Receiver<Portion>>,
    floor: Box<dyn Fn() -> Rank + Send + Sync>,
    greeted: bool,
    over: bool,
}

impl Reader {
    /// A reader that starts at `position`; `floor` gives the sidecar's shed floor.
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
            greeted: false,
            over: false,
        }
    }

    /// The frames as the elements of an HTTP body: a heartbeat first, then the answer.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<HttpFrame<Bytes>>> + Send {
        stream::unfold(self, |mut reader| async move {
            if reader.over {
                return None;
            }
            let item = encode(&reader.next_frames().await);
            reader.over |= item.is_err();
            Some((item, reader))
        })
    }

    async fn next_frames(&mut self) -> Vec<Frame> {
        if !self.greeted {
            self.greeted = true;
            return vec![self.heartbeat()];
        }
        let mut pending = match self.pending.take() {
            Some(pending) => pending,
            None => self.ask().await,
        };
        match timeout(HEARTBEAT_INTERVAL, &mut pending).await {
            Ok(Ok(portion)) => {
                self.position = portion.position;
                self.over = portion.frames.last().is_some_and(is_last);
                portion.frames
            }
            Ok(Err(_)) => {
                self.over = true;
                vec![gone()]
            }
            Err(_) => {
                self.pending = Some(pending);
                vec![self.heartbeat()]
            }
        }
    }

    /// Asks the task for frames. If the task is over, the receiver ends without any.
    async fn ask(&self) -> oneshot::Receiver<Portion> {
        let (reply, portion) = oneshot::channel();
        let read = Read {
            position: self.position,
            reply,
        };
        // A message that cannot be sent is dropped, and its reply with it.
        let _ = self.handle.messages.send(Message::Read(read)).await;
        portion
    }

    fn heartbeat(&self) -> Frame {
        Frame::Heartbeat {
            offset: self.position.offset,
            floor: (self.floor)().0,
        }
    }
}

/// The failure of a reader whose answer is no longer kept.
fn gone() -> Frame {
    Frame::Failed(Failure::may_have_run(Reason::ConnectionLost).into())
}

fn is_last(frame: &Frame) -> bool {
    matches!(frame, Frame::End { .. } | Frame::Failed(_))
}

fn encode(frames: &[Frame]) -> io::Result<HttpFrame<Bytes>> {
    let mut bytes = Vec::new();
    for frame in frames {
        bytes.extend_from_slice(&codec::encode_item(frame).map_err(io::Error::other)?);
    }
    Ok(HttpFrame::data(bytes.into()))
}
