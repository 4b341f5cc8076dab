//! Broadcasts this gateway's summaries to the streams of its peers.

use {bytes::Bytes, tamarackdale_core::cell::Scope, tokio::sync::broadcast};

/// Number of summaries that a slow reader may lag behind before it gets a full summary instead.
const CAPACITY: usize = 8;

/// An encoded summary.
#[derive(Clone)]
pub struct EncodedSummary {
    /// For peers that have not stated that they understand the extensions.
    pub plain: Bytes,
    /// For the others; the same if there are none.
    pub extended: Bytes,
}

/// Senders of the summaries, one per group of peers.
pub struct SummaryBroadcast {
    near: broadcast::Sender<EncodedSummary>,
    far: broadcast::Sender<EncodedSummary>,
}

impl Default for SummaryBroadcast {
    fn default() -> Self {
        let (near, _) = broadcast::channel(CAPACITY);
        let (far, _) = broadcast::channel(CAPACITY);
        Self { near, far }
    }
}

impl SummaryBroadcast {
    /// Subscribes to the summaries for one group of peers.
    pub fn subscribe(&self, scope: Scope) -> broadcast::Receiver<EncodedSummary> {
        self.sender(scope).subscribe()
    }

    /// Whether any peer of the group is subscribed.
    pub fn has_subscribers(&self, scope: Scope) -> bool {
        self.sender(scope).receiver_count() > 0
    }

    /// Sends an encoded summary to one group of peers.
    pub fn send(&self, scope: Scope, summary: EncodedSummary) {
        // Sending fails only while no peer is subscribed.
        let _ = self.sender(scope).send(summary);
    }

    fn sender(&self, scope: Scope) -> &broadcast::Sender<EncodedSummary> {
        match scope {
            Scope::Near => &self.near,
            Scope::Far => &self.far,
        }
    }
}
