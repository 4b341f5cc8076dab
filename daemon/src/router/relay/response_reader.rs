//! Reads the answer of a granted attempt, resuming it on new connections when one breaks.

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

/// Time after which the router stops trying to resume an answer.
const RESUME_LIMIT: Duration = Duration::from_secs(10);

/// Delay between attempts to resume an answer.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);

/// Number of received bytes after which an acknowledgement is sent.
const ACKNOWLEDGE_INTERVAL_BYTES: u64 = 1024 * 1024;

/// Event of an answer.
#[derive(Debug)]
pub enum AnswerEvent {
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
    /// The answer failed or cannot be completed.
    Failed(Failure),
}

/// Reads the answer of a granted attempt.
pub struct Answer {
    context: Context,
    peer: Peer,
    attempt: id::Attempt,
    frames: Option<Frames>,
    head_received: bool,
    digest: Digest,
    acknowledged: u64,
    disconnected_since: Option<Timestamp>,
}

impl Answer {
    /// Creates a reader for the answer of an attempt at `peer`.
    pub fn new(context: &Context, peer: &Peer, granted: Granted) -> Self {
        Self {
            context: context.clone(),
            peer: peer.clone(),
            attempt: granted.attempt,
            frames: granted.frames,
            head_received: false,
            digest: Digest::new(),
            acknowledged: 0,
            disconnected_since: None,
        }
    }

    /// Returns the next event. Cancel safe: no event is lost if the future is dropped.
    pub async fn next(&mut self) -> AnswerEvent {
        loop {
            let Some(frames) = &mut self.frames else {
                match self.reconnect().await {
                    Ok(()) => continue,
                    Err(failure) => return AnswerEvent::Failed(failure),
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

    /// Acknowledges the complete answer.
    pub async fn acknowledge_all(&self) {
        let message = self.acknowledgement(true);
        self.context.peers.acknowledge(&self.peer, &message).await;
    }

    /// Tells the sidecar that the answer is no longer wanted.
    pub async fn cancel(&self) {
        self.context.peers.cancel(&self.peer, self.attempt).await;
    }

    fn handle_frame(&mut self, frame: Frame) -> Option<AnswerEvent> {
        match frame {
            Frame::Heartbeat { .. } | Frame::Ready => None,
            Frame::Head { status, headers } => {
                self.head_received = true;
                Some(AnswerEvent::Head { status, headers })
            }
            Frame::Chunk { offset, bytes } => self.handle_chunk(offset, bytes),
            Frame::End { length, checksum } => Some(self.handle_end(length, checksum)),
            Frame::Failed(failure) => Some(AnswerEvent::Failed(
                self.failure_after_grant(failure_from_wire(failure)),
            )),
        }
    }

    fn handle_chunk(&mut self, offset: u64, bytes: Bytes) -> Option<AnswerEvent> {
        if offset != self.digest.length() {
            log::error!(
                target: LOG_TARGET,
                attempt:% = self.attempt;
                "answer has a gap: got a chunk at offset {offset}, expected {}",
                self.digest.length()
            );
            return Some(AnswerEvent::Failed(Failure::may_have_run(
                Reason::ConnectionLost,
            )));
        }
        self.digest.update(&bytes);
        let received = self.digest.length();
        if received - self.acknowledged >= ACKNOWLEDGE_INTERVAL_BYTES {
            self.acknowledged = received;
            self.acknowledge_progress();
        }
        Some(AnswerEvent::Bytes(bytes))
    }

    fn handle_end(&self, length: u64, checksum: u64) -> AnswerEvent {
        if length == self.digest.length() && checksum == self.digest.checksum() {
            return AnswerEvent::End;
        }
        log::error!(
            target: LOG_TARGET,
            attempt:% = self.attempt;
            "length or checksum of the answer does not match: got {} bytes, expected {length}",
            self.digest.length()
        );
        AnswerEvent::Failed(Failure::may_have_run(Reason::ConnectionLost))
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
        if now.since(disconnected_since) > RESUME_LIMIT {
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
            // No process listens at the address any more, so the incarnation and its answers are
            // gone.
            Err(CallError::ConnectionRefused) => {
                return Err(Failure::may_have_run(Reason::ConnectionLost));
            }
            Err(CallError::NoAnswer) => {}
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
