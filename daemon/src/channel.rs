//! Bounded rings between duties.

use {
    crossbeam_channel::{Receiver, Sender, TrySendError, bounded},
    std::time::Duration,
    tamarackdale_core::failure::{Failure, Reason},
    tokio::sync::oneshot,
};

/// Pause before a message that must not be lost is put in a full ring again.
const FULL_BACKOFF: Duration = Duration::from_millis(2);

/// Sending end of a ring.
pub struct BoundedSender<T> {
    sender: Sender<T>,
}

impl<T> Clone for BoundedSender<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<T> BoundedSender<T> {
    /// A ring that holds at most `capacity` messages, and its receiving end.
    pub fn new(capacity: usize) -> (Self, Receiver<T>) {
        let (sender, receiver) = bounded(capacity);
        (Self { sender }, receiver)
    }

    /// Puts a message in the ring; never waits.
    ///
    /// Fails as not run, with [`Reason::Full`] or, when the duty has ended, [`Reason::Closing`].
    pub fn send(&self, message: T) -> Result<(), Failure> {
        self.sender.try_send(message).map_err(|error| match error {
            TrySendError::Full(_) => Failure::not_run(Reason::Full),
            TrySendError::Disconnected(_) => Failure::not_run(Reason::Closing),
        })
    }

    /// Puts a message in the ring that must not be lost; while the ring is full, a task on the
    /// caller's runtime tries again, and the message may be overtaken.
    pub fn send_with_retry(&self, message: T)
    where
        T: Send + 'static,
    {
        if let Err(TrySendError::Full(message)) = self.sender.try_send(message) {
            tokio::spawn(self.clone().deliver(message));
        }
    }

    /// Puts a message in the ring that must not be lost, trying again while the ring is full.
    async fn deliver(self, message: T) {
        let mut message = message;
        while let Err(TrySendError::Full(returned)) = self.sender.try_send(message) {
            message = returned;
            tokio::time::sleep(FULL_BACKOFF).await;
        }
    }

    /// Sends a message built around a reply slot, and waits for the reply.
    ///
    /// Fails like [`BoundedSender::send`] if the message was not sent. A duty that ends without a reply
    /// may have acted on the message, so that failure is [`Reason::Closing`], may have run.
    pub async fn ask<R>(
        &self,
        message: impl FnOnce(oneshot::Sender<R>) -> T,
    ) -> Result<R, Failure> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply))?;
        answer
            .await
            .map_err(|_| Failure::may_have_run(Reason::Closing))
    }
}
