//! Reads the response of a granted attempt, resuming it on new connections when one breaks.

use {
    super::offer::Granted,
    crate::router::{
        context::Context,
        peer::{CallError, Peer, failure_from_wire, frames::Frames},
    },
    bytes::Bytes,
    std::time::Duration,
    tamarackdale_core::{
        digest::Digest,
        failure::{Failure, Reason},
        id,
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_wire::{
        Frame,
        frame::Header,
        message::{Acknowledge, Resume},
    },
    tokio::time::sleep,
};

/// Target of this module's log lines; part of the log format, so it does not follow the file name.
const LOG_TARGET: &str = "tamarackdaled::router::relay::answer";

/// Shortest time for which the router tries to resume a response, also after the request's deadline.
/// Until then it does not stop: a sidecar that stands still may go on, and it alone has the response.
const RESUME_LIMIT: Duration = Duration::from_secs(10);

/// Delay between attempts to resume a response.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);

/// Number of received bytes after which an acknowledgement is sent.
const ACKNOWLEDGE_INTERVAL_BYTES: u64 = 1024 * 1024;

/// Event of a response.
#[derive(Debug)]
pub enum ResponseEvent {
    /// The status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP headers.
        headers: Vec<Header>,
    },
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The body is complete, and its length and checksum are correct.
    End,
    /// The response failed or cannot be completed.
    Failed(Failure),
}

/// Reads the response of a granted attempt.
pub struct ResponseReader {
    context: Context,
    peer: Peer,
    attempt: id::Attempt,
    deadline: Timestamp,
    frames: Option<Frames>,
    head_received: bool,
    digest: Digest,
    acknowledged: u64,
    disconnected_since: Option<Timestamp>,
}

impl ResponseReader {
    /// Creates a reader for the response of an attempt at `peer`, to a request with this deadline.
    pub fn new(context: &Context, peer: &Peer, granted: Granted, deadline: Timestamp) -> Self {
        Self {
            context: context.clone(),
            peer: peer.clone(),
            deadline,
            attempt: granted.attempt,
            frames: granted.frames,
            head_received: false,
            digest: Digest::new(),
            acknowledged: 0,
            disconnected_since: None,
        }
    }

    /// Returns the next event. Cancel safe: no event is lost if the future is dropped.
    pub async fn next(&mut self) -> ResponseEvent {
        loop {
            let Some(frames) = &mut self.frames else {
                match self.reconnect().await {
                    Ok(()) => continue,
                    Err(failure) => return ResponseEvent::Failed(failure),
                }
            };
            let Ok(frame) = frames.next().await else {
                log::info!(
                    target: LOG_TARGET,
                    attempt:% = self.attempt,
                    sidecar:% = self.peer;
                    "connection lost"
                );
                self.frames = None;
                continue;
            };
            self.disconnected_since = None;
            if let Some(event) = self.handle_frame(frame) {
                return event;
            }
        }
    }

    /// Acknowledges the complete response.
    pub async fn acknowledge_all(&self) {
        let message = self.acknowledgement(true);
        self.context.peers.acknowledge(&self.peer, &message).await;
    }

    /// Tells the sidecar that the response is no longer wanted.
    pub async fn cancel(&self) {
        self.context.peers.cancel(&self.peer, self.attempt).await;
    }

    fn handle_frame(&mut self, frame: Frame) -> Option<ResponseEvent> {
        match frame {
            Frame::Heartbeat { .. } | Frame::Ready => None,
            Frame::Head { status, headers } => {
                self.head_received = true;
                Some(ResponseEvent::Head { status, headers })
            }
            Frame::Chunk { offset, bytes } => self.handle_chunk(offset, bytes),
            Frame::End { length, checksum } => Some(self.handle_end(length, checksum)),
            Frame::Failed(failure) => Some(ResponseEvent::Failed(
                self.failure_after_grant(failure_from_wire(failure)),
            )),
        }
    }

    fn handle_chunk(&mut self, offset: u64, bytes: Bytes) -> Option<ResponseEvent> {
        if offset != self.digest.length() {
            log::error!(
                target: LOG_TARGET,
                attempt:% = self.attempt;
                "response has a gap: got a chunk at offset {offset}, expected {}",
                self.digest.length()
            );
            return Some(ResponseEvent::Failed(Failure::may_have_run(
                Reason::ConnectionLost,
            )));
        }
        self.digest.update(&bytes);
        let received = self.digest.length();
        if received - self.acknowledged >= ACKNOWLEDGE_INTERVAL_BYTES {
            self.acknowledged = received;
            self.acknowledge_progress();
        }
        Some(ResponseEvent::Bytes(bytes))
    }

    fn handle_end(&self, length: u64, checksum: u64) -> ResponseEvent {
        if length == self.digest.length() && checksum == self.digest.checksum() {
            return ResponseEvent::End;
        }
        log::error!(
            target: LOG_TARGET,
            attempt:% = self.attempt;
            "length or checksum of the response does not match: got {} bytes, expected {length}",
            self.digest.length()
        );
        ResponseEvent::Failed(Failure::may_have_run(Reason::ConnectionLost))
    }

    /// Changes the verdict of a failure that is received after the head: it cannot prove that the
    /// request did not run.
    fn failure_after_grant(&self, failure: Failure) -> Failure {
        if self.head_received && failure.verdict == Verdict::NotRun {
            return Failure::may_have_run(failure.reason);
        }
        failure
    }

    async fn reconnect(&mut self) -> Result<(), Failure> {
        let now = self.context.clock.now();
        let disconnected_since = *self.disconnected_since.get_or_insert(now);
        let limit = self.deadline.max(disconnected_since.plus(RESUME_LIMIT));
        if now > limit {
            log::warn!(
                target: LOG_TARGET,
                attempt:% = self.attempt,
                sidecar:% = self.peer,
                disconnected_ms = now.since(disconnected_since).as_millis() as u64;
                "response given up: the sidecar does not respond"
            );
            return Err(Failure::may_have_run(Reason::ConnectionLost));
        }
        if disconnected_since != now {
            sleep(RESUME_BACKOFF).await;
        }
        let resume = Resume {
            attempt: self.attempt.into(),
            boot: self.peer.incarnation.boot.0,
            offset: self.digest.length(),
            head_received: self.head_received,
        };
        match self.context.peers.resume(&self.peer, &resume).await {
            Ok(frames) => self.frames = Some(frames),
            // No process listens at the address any more, so the incarnation and its responses are
            // gone.
            Err(CallError::ConnectionRefused) => {
                return Err(Failure::may_have_run(Reason::ConnectionLost));
            }
            Err(CallError::NoResponse) => {}
        }
        Ok(())
    }

    fn acknowledge_progress(&self) {
        let message = self.acknowledgement(false);
        let peers = self.context.peers.clone();
        let peer = self.peer.clone();
        self.context
            .tracker
            .spawn(async move { peers.acknowledge(&peer, &message).await });
    }

    fn acknowledgement(&self, complete: bool) -> Acknowledge {
        Acknowledge {
            attempt: self.attempt.into(),
            boot: self.peer.incarnation.boot.0,
            offset: self.digest.length(),
            complete,
        }
    }
}
