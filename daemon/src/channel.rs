//! Bounded channels to worker threads.

use {
    crossbeam_channel::{Receiver, Sender, TrySendError, bounded},
    std::time::Duration,
    tamarackdale_core::failure::{Failure, Reason},
    tokio::sync::oneshot,
};

/// Pause before a message that must not be lost is sent again to a full channel.
const RETRY_BACKOFF: Duration = Duration::from_millis(2);

/// Sending end of a bounded channel to a worker thread.
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
    /// Creates a channel that holds at most `capacity` messages; returns both ends.
    pub fn new(capacity: usize) -> (Self, Receiver<T>) {
        let (sender, receiver) = bounded(capacity);
        (Self { sender }, receiver)
    }

    /// Sends a message without waiting.
    ///
    /// Fails as not run, with [`Reason::Full`] or, when the receiver is gone, [`Reason::Closing`].
    pub fn send(&self, message: T) -> Result<(), Failure> {
        self.sender.try_send(message).map_err(|error| match error {
            TrySendError::Full(_) => Failure::not_run(Reason::Full),
            TrySendError::Disconnected(_) => Failure::not_run(Reason::Closing),
        })
    }

    /// Sends a message that must not be lost. While the channel is full, a task on the caller's
    /// runtime retries, so later messages may overtake this one.
    pub fn send_with_retry(&self, message: T)
    where
        T: Send + 'static,
    {
        if let Err(TrySendError::Full(message)) = self.sender.try_send(message) {
            tokio::spawn(self.clone().retry(message));
        }
    }

    /// Retries until the channel has room or the receiver is gone.
    async fn retry(self, message: T) {
        let mut message = message;
        while let Err(TrySendError::Full(returned)) = self.sender.try_send(message) {
            message = returned;
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
    }

    /// Sends a message that carries a reply channel, and waits for the reply.
    ///
    /// Fails like [`BoundedSender::send`] if the message was not sent. A worker that ends without
    /// a reply may have acted on the message, so the failure is then [`Reason::Closing`] with the
    /// verdict that the request may have run.
    pub async fn ask<R>(
        &self,
        message: impl FnOnce(oneshot::Sender<R>) -> T,
    ) -> Result<R, Failure> {
        let (reply, response) = oneshot::channel();
        self.send(message(reply))?;
        response
            .await
            .map_err(|_| Failure::may_have_run(Reason::Closing))
    }
}
