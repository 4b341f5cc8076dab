//! Memory for the responses that are kept until their routers have received them.

use {
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Part of the memory that one response may take. A backend server in trouble answers without end, and may do
/// so to several requests at a time; the others need the rest.
const SHARE_DIVISOR: usize = 8;

/// Memory that all responses of a sidecar share. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    common: Arc<Semaphore>,
    share_bytes: usize,
}

impl Budget {
    /// Creates a budget of a number of bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            common: Arc::new(Semaphore::new(bytes)),
            share_bytes: (bytes / SHARE_DIVISOR).max(1),
        }
    }

    /// Number of bytes that no response has reserved.
    pub fn available(&self) -> usize {
        self.common.available_permits()
    }

    /// The share of a response.
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            own: Arc::new(Semaphore::new(self.share_bytes)),
        }
    }
}

/// Memory that one response may take. Clones share it.
#[derive(Clone, Debug)]
pub struct Share {
    budget: Budget,
    own: Arc<Semaphore>,
}

/// Reserved memory, which is returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    _own: OwnedSemaphorePermit,
    _common: OwnedSemaphorePermit,
}

impl Share {
    /// Waits until there is room for a number of bytes. More than the share count as the whole of it.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.budget.share_bytes);
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        let acquire =
            |semaphore: &Arc<Semaphore>| Arc::clone(semaphore).acquire_many_owned(permits);
        let closed = "the semaphores are never closed";
        Reservation {
            _own: acquire(&self.own).await.expect(closed),
            _common: acquire(&self.budget.common).await.expect(closed),
        }
    }

    /// Whether the next bytes have to wait until others are released.
    pub fn is_exhausted(&self) -> bool {
        self.own.available_permits() == 0 || self.budget.available() == 0
    }
}
