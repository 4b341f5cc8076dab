//! The answer of a granted attempt, over as many connections as it takes.

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

/// Time for which a silent sidecar is asked again.
const RESUME_LIMIT: Duration = Duration::from_secs(10);

/// Pause before it is asked again.
const RESUME_BACKOFF: Duration = Duration::from_millis(100);

/// Bytes received between two acknowledgements.
const ACKNOWLEDGE_INTERVAL_BYTES: u64 = 1024 * 1024;

/// One step of an answer.
#[derive(Debug)]
pub enum Step {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP headers.
        headers: Vec<Header>,
    },
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The body is complete, and its length and checksum are right.
    End,
    /// The answer will not be complete.
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
    silent_since: Option<Timestamp>,
}

impl Answer {
    /// The answer of an attempt at `peer`.
    pub fn new(context: &Context, peer: &Peer, granted: Granted) -> Self {
        Self {
            context: context.clone(),
            peer: peer.clone(),
            attempt: granted.attempt,
            frames: granted.frames,
            head_received: false,
            digest: Digest::new(),
            acknowledged: 0,
            silent_since: None,
        }
    }

    /// The next step. Can be dropped and called again without losing one.
    pub async fn next(&mut self) -> Step {
        loop {
            let Some(frames) = &mut self.frames else {
                match self.reconnect().await {
                    Ok(()) => continue,
                    Err(failure) => return Step::Failed(failure),
                }
            };
            let Ok(frame) = frames.next().await else {
                log::info!(attempt:% = self.attempt, sidecar:% = self.peer; "connection lost");
                self.frames = None;
                continue;
            };
            self.silent_since = None;
            if let Some(step) = self.take(frame) {
                return step;
            }
        }
    }

    /// Acknowledges the whole answer.
    pub async fn acknowledge_all(&self) {
        let message = self.acknowledgement(true);
        self.context.peers.acknowledge(&self.peer, &message).await;
    }

    /// Tells the sidecar that nobody wants the answer.
    pub async fn cancel(&self) {
        self.context.peers.cancel(&self.peer, self.attempt).await;
    }

    fn take(&mut self, frame: Frame) -> Option<Step> {
        match frame {
            Frame::Heartbeat { .. } | Frame::Ready => None,
            Frame::Head { status, headers } => {
                self.head_received = true;
                Some(Step::Head { status, headers })
            }
            Frame::Chunk { offset, bytes } => self.take_chunk(offset, bytes),
            Frame::End { length, checksum } => Some(self.take_end(length, checksum)),
            Frame::Failed(failure) => Some(Step::Failed(
                self.granted_failure(failure_from_wire(failure)),
            )),
        }
    }

    fn take_chunk(&mut self, offset: u64, bytes: Bytes) -> Option<Step> {
        if offset != self.digest.length() {
            log::error!(attempt:% = self.attempt; "the answer has a gap");
            return Some(Step::Failed(Failure::may_have_run(Reason::ConnectionLost)));
        }
        self.digest.update(&bytes);
        let received = self.digest.length();
        if received - self.acknowledged >= ACKNOWLEDGE_INTERVAL_BYTES {
            self.acknowledged = received;
            self.acknowledge_progress();
        }
        Some(Step::Bytes(bytes))
    }

    fn take_end(&self, length: u64, checksum: u64) -> Step {
        if length == self.digest.length() && checksum == self.digest.checksum() {
            return Step::End;
        }
        log::error!(attempt:% = self.attempt; "length or checksum of the answer is wrong");
        Step::Failed(Failure::may_have_run(Reason::ConnectionLost))
    }

    /// A failure after bytes have come back cannot be a proof that nothing ran.
    fn granted_failure(&self, failure: Failure) -> Failure {
        if self.head_received && failure.verdict == Verdict::NotRun {
            return Failure::may_have_run(failure.reason);
        }
        failure
    }

    async fn reconnect(&mut self) -> Result<(), Failure> {
        let now = self.context.clock.now();
        let silent_since = *self.silent_since.get_or_insert(now);
        if now.since(silent_since) > RESUME_LIMIT {
            return Err(Failure::may_have_run(Reason::ConnectionLost));
        }
        if silent_since != now {
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
            // Nobody listens there any more: the incarnation and its answers are gone.
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
